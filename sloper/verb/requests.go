package verb

import (
	"sync"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// requestsBenchmark: what a short call costs from the entry's front to the
// target's answer, without the caller's and the target's HTTP.
var requestsBenchmark = benchmark{
	name: "requests", sizeUnit: "calls", sizes: []int{500, 1000, 2000, 4000},
	columns: []string{"processor ms", "bytes", "frames"},
	run: measureRequests,
}

const (
	requestLinkCount   = 10
	callerCount = 8
)

func measureRequests(size int) (measurement, error) {
	r, err := runner.New(runner.NewDocument(1, 0), runner.ServicePlain, requestLinkCount, func() caller.Target { return runner.FakeTarget{} })
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	failures := make(chan error, size)
	cost := r.MeasureUsage(func() {
		var tasks sync.WaitGroup
		for range callerCount {
			tasks.Go(func() {
				for range size / callerCount {
					if err := callLookup(r); err != nil {
						failures <- err
					}
				}
			})
		}
		tasks.Wait()
	})
	select {
	case err := <-failures:
		return nil, err
	default:
	}
	return usageMeasurement(cost), nil
}

func callLookup(r *runner.Deployment) error {
	return completeCall(r, coordinator.Call{
		Service: runner.ServicePlain, Name: "lookup", Body: []byte(`{"part":"prism-drop","branch":"chiang-mai"}`),
	})
}
