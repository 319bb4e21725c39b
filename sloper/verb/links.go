package verb

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// linksBenchmark measures what idle links to sidecars cost an entry.
var linksBenchmark = benchmark{
	name: "links", sizeUnit: "links to sidecars", sizes: []int{20, 40, 80, 160},
	columns: []string{"bytes/s", "frames/s", "processor ms/s", "memory KB"},
	run:     measureLinks,
}

// linkObservationTime is the duration for which idle links are observed.
const linkObservationTime = 6 * time.Second

// settleTime is the delay before a measurement on new links, because at the
// start each target is told of the others.
const settleTime = 2 * time.Second

func measureLinks(size int) (measurement, error) {
	before := runner.MemoryInUse()
	deployment, err := runner.New(runner.NewDocument(1, 0), runner.ServicePlain, size, func() caller.Target { return runner.FakeTarget{} })
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	time.Sleep(settleTime)
	cost := deployment.MeasureUsage(func() { time.Sleep(linkObservationTime) })
	seconds := linkObservationTime.Seconds()
	return measurement{
		"bytes/s":        float64(cost.Bytes) / seconds,
		"frames/s":       float64(cost.Frames) / seconds,
		"processor ms/s": cost.CPU.Seconds() * 1000 / seconds,
		"memory KB":      (float64(runner.MemoryInUse()) - float64(before)) / 1024,
	}, nil
}
