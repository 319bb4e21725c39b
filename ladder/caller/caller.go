// Package caller hands work and orders to the one target beside a sidecar.
package caller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// ErrRefused says that the target refused before it started the work.
var ErrRefused = errors.New("target refused")

// ErrIncomplete says that the answer ended before its end marker: the work may
// have run, whole or in part.
var ErrIncomplete = errors.New("answer of the target broken off")

// ErrFenced says that an engine refused an order with an old fencing number.
var ErrFenced = errors.New("order has an old fencing number")

// Work is one call to a target.
type Work struct {
	Request identifier.RequestID
	Call    identifier.CallName
	Body    []byte
	// Priority is smaller for work to be served sooner.
	Priority int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Chunk is a part of an answer as it comes.
type Chunk struct {
	// Data is a piece of the body: for an engine, the text of some tokens.
	Data []byte
	// Tokens is how many tokens the piece has, 0 for a plain service.
	Tokens identifier.TokenCount
	// Version is the engine's own stamp of the weights that made the piece,
	// 0 where the engine gives none.
	Version identifier.WeightVersion
}

// State is what a target says of itself.
type State struct {
	// BootID changes whenever the target's process is started anew.
	BootID string `json:"boot-id"`
	// Version is the weight version in use, 0 for a plain service.
	Version identifier.WeightVersion `json:"version"`
	// Loaded lists the versions held ready in memory.
	Loaded []identifier.WeightVersion `json:"loaded"`
	// SwitchCount grows with each switch of weights, also to the same version.
	SwitchCount uint64 `json:"switch-count"`
	InFlight    int    `json:"in-flight"`
	Queued      int    `json:"queued"`
	Slots       int    `json:"slots"`
}

// WeightCommand tells an engine to load or switch to a version.
type WeightCommand struct {
	Model         identifier.ModelName     `json:"model"`
	Version       identifier.WeightVersion `json:"version"`
	FencingNumber identifier.FencingToken  `json:"fencing-number"`
}

// Target is the back end beside a sidecar, a model engine or a plain service.
type Target interface {
	// Do runs the work and gives its pieces to sink in order. It returns the
	// target's HTTP status and nil after a whole answer. ErrRefused means
	// that the work didn't start, ErrBroken that it may have run.
	Do(ctx context.Context, work Work, sink func(Chunk) error) (status int, err error)
	// Cancel asks an engine to stop the request; unknown ones are ignored.
	Cancel(ctx context.Context, request identifier.RequestID) error
	// State reads the target's own account of itself.
	State(ctx context.Context) (State, error)
	// Load orders an engine to fetch a version from the weight store.
	Load(ctx context.Context, order WeightCommand) error
	// Switch orders an engine to use a loaded version.
	Switch(ctx context.Context, order WeightCommand) error
}
