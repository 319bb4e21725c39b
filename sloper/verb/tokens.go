package verb

import (
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// tokensBenchmark measures the cost of a token that is streamed to a live
// caller as soon as it is generated. Tokens of samples are sent in full chunks
// instead; see samplesBenchmark.
var tokensBenchmark = benchmark{
	name: "tokens", sizeUnit: "tokens streamed one by one", sizes: []int{4000, 8000, 16_000, 32_000},
	columns: []string{"processor ms", "bytes", "frames"},
	run:     measureTokens,
}

const (
	streamCount   = 20
	tokenInterval = time.Millisecond
	tokenBytes    = 4
)

func measureTokens(size int) (measurement, error) {
	target := runner.FakeTarget{Chunks: size / streamCount, ChunkTokens: 1, ChunkBytes: tokenBytes, ChunkInterval: tokenInterval}
	deployment, err := runner.New(runner.NewDocument(1, 0), runner.ServiceEngine, requestLinkCount, func() caller.Target { return target })
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	failures := make(chan error, streamCount)
	cost := deployment.MeasureUsage(func() {
		var callers sync.WaitGroup
		for range streamCount {
			callers.Go(func() { failures <- streamTokens(deployment) })
		}
		callers.Wait()
	})
	for range streamCount {
		if err := <-failures; err != nil {
			return nil, err
		}
	}
	return usageMeasurement(cost), nil
}

func streamTokens(deployment *runner.Deployment) error {
	return completeCall(deployment, coordinator.Call{
		Service: runner.ServiceEngine, Name: "generate", Body: []byte(`{"prompt":"p"}`),
		Stream: func([]byte) error { return nil },
	})
}
