package verb

import (
	"sync"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// requestsSlope: what a short call costs from the entry's front to the
// target's answer, without the caller's and the target's HTTP.
var requestsSlope = slope{
	name: "requests", grows: "calls", sizes: []int{500, 1000, 2000, 4000},
	columns: []string{"processor ms", "bytes", "frames"},
	measure: measureRequests,
}

const (
	requestLinks   = 10
	requestCallers = 8
)

func measureRequests(size int) (reading, error) {
	r, err := runner.New(runner.NewDocument(1, 0), runner.ServicePlain, requestLinks, func() caller.Target { return runner.FakeTarget{} })
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	failures := make(chan error, size)
	cost := r.MeasureUsage(func() {
		var tasks sync.WaitGroup
		for range requestCallers {
			tasks.Go(func() {
				for range size / requestCallers {
					if err := lookup(r); err != nil {
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
	return readingOf(cost), nil
}

func lookup(r *runner.Deployment) error {
	return complete(r, coordinator.Call{
		Service: runner.ServicePlain, Name: "lookup", Body: []byte(`{"part":"prism-drop","branch":"chiang-mai"}`),
	})
}
