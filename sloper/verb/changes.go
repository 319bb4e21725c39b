package verb

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// changesBenchmark measures the cost of distributing configuration changes over
// the links of an entry. Size 0 gives the cost of the same period without a
// change.
var changesBenchmark = benchmark{
	name: "changes", sizeUnit: "changes in 4 s over 40 links", sizes: []int{0, 8, 16, 32},
	columns: []string{"bytes", "frames", "processor ms"},
	run:     measureChanges,
}

const (
	changePeriod    = 4 * time.Second
	changeLinkCount = 40
)

func measureChanges(size int) (measurement, error) {
	deployment, err := runner.New(runner.NewDocument(50, 0), runner.ServicePlain, changeLinkCount, func() caller.Target { return runner.FakeTarget{} })
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	documents := make([]runner.Document, 0, size)
	for n := range size {
		documents = append(documents, runner.NewDocument(50, identifier.Revision(n+1)))
	}
	records, err := deployment.EncodeProposals(documents)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	cost := deployment.MeasureUsage(func() {
		until := time.Now().Add(changePeriod)
		for _, record := range records {
			if err = deployment.Publish(record); err != nil {
				return
			}
			time.Sleep(changePeriod / time.Duration(2*size))
		}
		time.Sleep(time.Until(until))
	})
	return usageMeasurement(cost), err
}
