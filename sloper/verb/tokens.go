package verb

import (
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// tokensBenchmark: what a token costs that is streamed to a live caller as it
// comes. Tokens of samples come in full chunks; see the samples slope.
var tokensBenchmark = benchmark{
	name: "tokens", sizeUnit: "tokens streamed one by one", sizes: []int{4000, 8000, 16_000, 32_000},
	columns: []string{"processor ms", "bytes", "frames"},
	run: measureTokens,
}

const (
	streamCount = 20
	tokenInterval     = time.Millisecond
	tokenBytes   = 4
)

func measureTokens(size int) (measurement, error) {
	target := runner.FakeTarget{Chunks: size / streamCount, ChunkTokens: 1, ChunkBytes: tokenBytes, ChunkInterval: tokenInterval}
	r, err := runner.New(runner.NewDocument(1, 0), runner.ServiceEngine, requestLinkCount, func() caller.Target { return target })
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	failures := make(chan error, streamCount)
	cost := r.MeasureUsage(func() {
		var tasks sync.WaitGroup
		for range streamCount {
			tasks.Go(func() { failures <- streamTokens(r) })
		}
		tasks.Wait()
	})
	for range streamCount {
		if err := <-failures; err != nil {
			return nil, err
		}
	}
	return usageMeasurement(cost), nil
}

func streamTokens(r *runner.Deployment) error {
	return completeCall(r, coordinator.Call{
		Service: runner.ServiceEngine, Name: "generate", Body: []byte(`{"prompt":"p"}`),
		Stream: func([]byte) error { return nil },
	})
}
