package rig

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Target answers at once: a plain service with the body it was given, an
// engine with tokens in pieces.
type Target struct {
	// Pieces is how many pieces an answer has, each of PieceTokens tokens and
	// PieceBytes bytes.
	Pieces, PieceTokens, PieceBytes int
	// Gap is the time between pieces.
	Gap time.Duration
}

// Do implements caller.Target.
func (t Target) Do(_ context.Context, w caller.Work, sink func(caller.Chunk) error) (int, error) {
	if t.Pieces == 0 {
		return 200, sink(caller.Chunk{Data: w.Body})
	}
	data := make([]byte, t.PieceBytes)
	for n := range data {
		data[n] = 'w'
	}
	for range t.Pieces {
		time.Sleep(t.Gap)
		if err := sink(caller.Chunk{Data: data, Tokens: identifier.TokenCount(t.PieceTokens), Version: 1}); err != nil {
			return 0, err
		}
	}
	return 200, nil
}

// Cancel implements caller.Target.
func (Target) Cancel(context.Context, identifier.RequestID) error { return nil }

// State implements caller.Target.
func (Target) State(context.Context) (caller.State, error) {
	return caller.State{BootID: "boot", Version: 1, Loaded: []identifier.WeightVersion{1}}, nil
}

// Load implements caller.Target.
func (Target) Load(context.Context, caller.WeightCommand) error { return nil }

// Switch implements caller.Target.
func (Target) Switch(context.Context, caller.WeightCommand) error { return nil }
