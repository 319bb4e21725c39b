package verb

import (
	"sync"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// requestsBenchmark measures the cost of a short call from the coordinator of
// the entry to the answer of the target. The HTTP exchanges with the caller and
// the target are not included.
var requestsBenchmark = benchmark{
	name: "requests", sizeUnit: "calls", sizes: []int{500, 1000, 2000, 4000},
	columns: []string{"processor ms", "bytes", "frames"},
	run:     measureRequests,
}

const (
	requestLinkCount = 10
	callerCount      = 8
)

func measureRequests(size int) (measurement, error) {
	deployment, err := runner.New(runner.NewDocument(1, 0), runner.ServicePlain, requestLinkCount, func() caller.Target { return runner.FakeTarget{} })
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	failures := make(chan error, size)
	cost := deployment.MeasureUsage(func() {
		var callers sync.WaitGroup
		for range callerCount {
			callers.Go(func() {
				for range size / callerCount {
					if err := callLookup(deployment); err != nil {
						failures <- err
					}
				}
			})
		}
		callers.Wait()
	})
	select {
	case err := <-failures:
		return nil, err
	default:
	}
	return usageMeasurement(cost), nil
}

func callLookup(deployment *runner.Deployment) error {
	return completeCall(deployment, coordinator.Call{
		Service: runner.ServicePlain, Name: "lookup", Body: []byte(`{"part":"prism-drop","branch":"chiang-mai"}`),
	})
}
