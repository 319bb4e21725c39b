package verb

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/sloper/rig"
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
	r, err := rig.New(rig.NewDocument(50, 0), rig.ServicePlain, changeLinks, func() caller.Target { return rig.Target{} })
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	documents := make([]rig.Document, 0, size)
	for n := range size {
		documents = append(documents, rig.NewDocument(50, identifier.Revision(n+1)))
	}
	records, err := r.Prepare(documents)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	cost := r.Spend(func() {
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
