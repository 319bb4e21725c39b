package verb

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// targetsBenchmark measures the cost of choosing among a growing number of
// targets.
var targetsBenchmark = benchmark{
	name: "targets", sizeUnit: "targets to choose from", sizes: []int{20, 40, 80, 160},
	columns: []string{"processor µs a choice"},
	run:     measureTargets,
}

const choiceCount = 20_000

func measureTargets(size int) (measurement, error) {
	r := router.New(clockwork.NewRealClock(), router.NewRandom(1), router.LeastExpectedWait{})
	candidates := make([]router.Candidate, 0, size)
	for n := range size {
		candidates = append(candidates, router.Candidate{Target: identifier.TargetName(fmt.Sprintf("target-%d", n))})
	}
	cpuTime := runner.MeasureCPU(func() {
		for range choiceCount {
			target, _ := r.Choose(append([]router.Candidate(nil), candidates...), router.Monitored)
			r.RecordChunk(target, time.Millisecond, true)
			r.Done(target, router.Monitored)
		}
	})
	return measurement{"processor µs a choice": float64(cpuTime.Microseconds()) / choiceCount}, nil
}
