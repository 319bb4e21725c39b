package verb

import (
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// tokensSlope: what a token costs that is streamed to a live caller as it
// comes. Tokens of samples come in full chunks; see the samples slope.
var tokensSlope = slope{
	name: "tokens", grows: "tokens streamed one by one", sizes: []int{4000, 8000, 16_000, 32_000},
	columns: []string{"processor ms", "bytes", "frames"},
	measure: measureTokens,
}

const (
	tokenStreams = 20
	tokenGap     = time.Millisecond
	tokenBytes   = 4
)

func measureTokens(size int) (reading, error) {
	target := runner.FakeTarget{Chunks: size / tokenStreams, ChunkTokens: 1, ChunkBytes: tokenBytes, ChunkInterval: tokenGap}
	r, err := runner.New(runner.NewDocument(1, 0), runner.ServiceEngine, requestLinks, func() caller.Target { return target })
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	failures := make(chan error, tokenStreams)
	cost := r.MeasureUsage(func() {
		var tasks sync.WaitGroup
		for range tokenStreams {
			tasks.Go(func() { failures <- stream(r) })
		}
		tasks.Wait()
	})
	for range tokenStreams {
		if err := <-failures; err != nil {
			return nil, err
		}
	}
	return readingOf(cost), nil
}

func stream(r *runner.Deployment) error {
	return complete(r, coordinator.Call{
		Service: runner.ServiceEngine, Name: "generate", Body: []byte(`{"prompt":"p"}`),
		Stream: func([]byte) error { return nil },
	})
}
