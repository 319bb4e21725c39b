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

// teamsSlope: what the size of the document costs, at rest and at a change.
var teamsSlope = slope{
	name: "teams", grows: "teams, each with two grants", sizes: []int{50, 100, 200, 400},
	columns: []string{"first reading ms", "one change ms", "record bytes", "memory KB"},
	measure: measureTeams,
}

// changesTimed is how many changes are averaged.
const changesTimed = 5

func measureTeams(size int) (reading, error) {
	last := runner.NewDocument(size, 0)
	first, err := recordOf(nil, last, 0)
	if err != nil {
		return nil, err
	}
	changes := make([]appender.Record, 0, changesTimed)
	for n := range changesTimed {
		d := runner.NewDocument(size, identifier.Revision(n+1))
		d.Teams[0].Burst = n + 1
		record, err := recordOf(&last, d, n+1)
		if err != nil {
			return nil, err
		}
		last = d
		changes = append(changes, record)
	}
	before := runner.MemoryInUse()
	var s accepter.State
	var x *authorizer.Index
	apply := func(record appender.Record) {
		s, _ = s.Apply(record)
		x = authorizer.NewIndex(s.Document, x)
	}
	opening := runner.MeasureCPU(func() { apply(first) })
	memory := runner.MemoryInUse() - before
	changing := runner.MeasureCPU(func() {
		for _, record := range changes {
			apply(record)
		}
	})
	runtime.KeepAlive(x)
	return reading{
		"first reading ms": opening.Seconds() * 1000,
		"one change ms":    changing.Seconds() * 1000 / changesTimed,
		"record bytes":     float64(len(changes[0].Data)),
		"memory KB":        float64(memory) / 1024,
	}, nil
}

func recordOf(base *runner.Document, d runner.Document, offset int) (appender.Record, error) {
	data, err := runner.EncodeProposal(base, d)
	return appender.Record{Offset: identifier.LogOffset(offset), Time: time.Now(), Data: data}, err
}
