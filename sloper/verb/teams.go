package verb

import (
	"runtime"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// teamsBenchmark measures what the size of the document costs in memory, when
// it is first read and at each change.
var teamsBenchmark = benchmark{
	name: "teams", sizeUnit: "teams, each with two grants", sizes: []int{50, 100, 200, 400},
	columns: []string{"first reading ms", "one change ms", "record bytes", "memory KB"},
	run:     measureTeams,
}

// timedChanges is the number of changes over which the cost is averaged.
const timedChanges = 5

func measureTeams(size int) (measurement, error) {
	last := runner.NewDocument(size, 0)
	first, err := proposalRecord(nil, last, 0)
	if err != nil {
		return nil, err
	}
	changes := make([]appender.Record, 0, timedChanges)
	for n := range timedChanges {
		d := runner.NewDocument(size, identifier.Revision(n+1))
		d.Teams[0].Burst = n + 1
		record, err := proposalRecord(&last, d, n+1)
		if err != nil {
			return nil, err
		}
		last = d
		changes = append(changes, record)
	}
	before := runner.MemoryInUse()
	var state accepter.State
	var index *authorizer.Index
	apply := func(record appender.Record) {
		state, _ = state.Apply(record)
		index = authorizer.NewIndex(state.Document, index)
	}
	firstReadTime := runner.MeasureCPU(func() { apply(first) })
	memory := runner.MemoryInUse() - before
	changesTime := runner.MeasureCPU(func() {
		for _, record := range changes {
			apply(record)
		}
	})
	runtime.KeepAlive(index)
	return measurement{
		"first reading ms": firstReadTime.Seconds() * 1000,
		"one change ms":    changesTime.Seconds() * 1000 / timedChanges,
		"record bytes":     float64(len(changes[0].Data)),
		"memory KB":        float64(memory) / 1024,
	}, nil
}

func proposalRecord(base *runner.Document, d runner.Document, offset int) (appender.Record, error) {
	data, err := runner.EncodeProposal(base, d)
	return appender.Record{Offset: identifier.LogOffset(offset), Time: time.Now(), Data: data}, err
}
