package verb

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// changesSlope: what a change costs to spread over an entry's links, over and
// above the same time without one.
var changesSlope = slope{
	name: "changes", grows: "changes in 4 s over 40 links", sizes: []int{0, 8, 16, 32},
	columns: []string{"bytes", "frames", "processor ms"},
	measure: measureChanges,
}

const (
	changeTime  = 4 * time.Second
	changeLinks = 40
)

func measureChanges(size int) (reading, error) {
	r, err := runner.New(runner.NewDocument(50, 0), runner.ServicePlain, changeLinks, func() caller.Target { return runner.FakeTarget{} })
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	documents := make([]runner.Document, 0, size)
	for n := range size {
		documents = append(documents, runner.NewDocument(50, identifier.Revision(n+1)))
	}
	records, err := r.EncodeProposals(documents)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	cost := r.MeasureUsage(func() {
		until := time.Now().Add(changeTime)
		for _, record := range records {
			if err = r.Publish(record); err != nil {
				return
			}
			time.Sleep(changeTime / time.Duration(2*size))
		}
		time.Sleep(time.Until(until))
	})
	return readingOf(cost), err
}
