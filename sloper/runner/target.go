package runner

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// FakeTarget answers without computing anything. With Chunks set it streams
// tokens like a model engine; otherwise it returns the request body like a
// plain service.
type FakeTarget struct {
	// Chunks is the number of chunks in an answer, each of ChunkTokens tokens
	// and ChunkBytes bytes.
	Chunks, ChunkTokens, ChunkBytes int
	// ChunkInterval is the delay before each chunk.
	ChunkInterval time.Duration
}

// Do implements caller.Target.
func (t FakeTarget) Do(_ context.Context, w caller.Work, sink func(caller.Chunk) error) (int, error) {
	if t.Chunks == 0 {
		return 200, sink(caller.Chunk{Data: w.Body})
	}
	data := make([]byte, t.ChunkBytes)
	for n := range data {
		data[n] = 'w'
	}
	for range t.Chunks {
		time.Sleep(t.ChunkInterval)
		if err := sink(caller.Chunk{Data: data, Tokens: identifier.TokenCount(t.ChunkTokens), Version: 1}); err != nil {
			return 0, err
		}
	}
	return 200, nil
}

// Cancel implements caller.Target.
func (FakeTarget) Cancel(context.Context, identifier.RequestID) error { return nil }

// State implements caller.Target.
func (FakeTarget) State(context.Context) (caller.State, error) {
	return caller.State{BootID: "boot", Version: 1, Loaded: []identifier.WeightVersion{1}}, nil
}

// Load implements caller.Target.
func (FakeTarget) Load(context.Context, caller.WeightCommand) error { return nil }

// Switch implements caller.Target.
func (FakeTarget) Switch(context.Context, caller.WeightCommand) error { return nil }
