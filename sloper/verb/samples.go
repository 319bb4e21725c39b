package verb

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// samplesBenchmark measures the cost of a trainer's samples from submission to
// delivery. A sample has 350 tokens, the mean of the design load of 2.2 million
// tokens per second over 6,300 requests.
var samplesBenchmark = benchmark{
	name: "samples", sizeUnit: "samples of one trainer", sizes: []int{256, 512, 1024, 2048},
	columns: []string{"processor ms", "bytes", "frames", "memory KB ready"},
	run:     measureSamples,
}

const (
	sampleLinkCount  = 10
	samplesPerGroup  = 8
	tokensPerSample  = 350
	sampleTokenBytes = 4
	sampleTimeout    = time.Minute
)

func measureSamples(size int) (measurement, error) {
	target := runner.FakeTarget{Chunks: tokensPerSample, ChunkTokens: 1, ChunkBytes: sampleTokenBytes}
	deployment, err := runner.New(runner.NewDocument(1, 0), runner.ServiceEngine, sampleLinkCount, func() caller.Target { return target })
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	trainerSessions := deployment.Coordinator.Deliverer()
	plan, refusal := deployment.Coordinator.TrainerPlan(runner.TeamKey(0), runner.ModelAdvice)
	if refusal != authorizer.RefusalNone {
		return nil, errors.Errorf("trainer refused: %s", refusal)
	}
	if err := trainerSessions.Open(deliverer.OpenRequest{Model: runner.ModelAdvice, Session: 1}, plan); err != nil {
		return nil, err
	}
	before := runner.MemoryInUse()
	var memory uint64
	cost := deployment.MeasureUsage(func() {
		if err = submitSamples(trainerSessions, size); err != nil {
			return
		}
		if err = waitReady(trainerSessions, size); err != nil {
			return
		}
		memory = runner.MemoryInUse() - before
		err = fetchSamples(trainerSessions, size)
	})
	result := usageMeasurement(cost)
	result["memory KB ready"] = float64(memory) / 1024
	return result, err
}

func submitSamples(d *deliverer.Deliverer, size int) error {
	var groups []deliverer.Group
	for n := range size / samplesPerGroup {
		groups = append(groups, deliverer.Group{
			ID: identifier.GroupID(fmt.Sprintf("group-%d", n)), Body: []byte(`{"prompt":"p","max-tokens":350}`),
			Samples: samplesPerGroup, ExpectedTokens: tokensPerSample,
		})
	}
	return d.Submit(deliverer.SubmitRequest{Model: runner.ModelAdvice, Session: 1, Groups: groups})
}

func waitReady(d *deliverer.Deliverer, size int) error {
	for until := time.Now().Add(sampleTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if d.Sessions()[0].Ready == size {
			return nil
		}
	}
	return errors.Errorf("samples not ready within %s: %+v", sampleTimeout, d.Sessions())
}

func fetchSamples(d *deliverer.Deliverer, size int) error {
	f := deliverer.FetchRequest{Model: runner.ModelAdvice, Session: 1, Version: 1, Limit: 64}
	for int(f.After) < size {
		b, err := d.Fetch(context.Background(), f)
		if err != nil {
			return err
		}
		f.After += identifier.SequenceNumber(len(b.Samples))
	}
	return nil
}
