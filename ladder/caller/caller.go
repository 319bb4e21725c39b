// Package caller sends work and weight commands to the one target beside a sidecar.
package caller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// ErrRefused means that the target refused before it started the work.
var ErrRefused = errors.New("target refused")

// ErrIncomplete means that the answer ended before its end marker: the work may
// have run completely or in part.
var ErrIncomplete = errors.New("incomplete answer from the target")

// ErrFenced means that an engine rejected a command with an old fencing number.
var ErrFenced = errors.New("weight command has an old fencing number")

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

// Chunk is a part of an answer, passed on as it arrives.
type Chunk struct {
	// Data is a part of the body: for an engine, the text of some tokens.
	Data []byte
	// Tokens is the number of tokens in the chunk, 0 for a plain service.
	Tokens identifier.TokenCount
	// Version is the weight version that produced the chunk, as stamped by the
	// engine, or 0 without a stamp.
	Version identifier.WeightVersion
}

// State is what a target reports about itself.
type State struct {
	// BootID changes whenever the target's process is restarted.
	BootID string `json:"boot-id"`
	// Version is the weight version in use, 0 for a plain service.
	Version identifier.WeightVersion `json:"version"`
	// Loaded lists the versions held in memory, ready for use.
	Loaded []identifier.WeightVersion `json:"loaded"`
	// SwitchCount grows with each switch of weights, even to the same version.
	SwitchCount uint64 `json:"switch-count"`
	InFlight    int    `json:"in-flight"`
	Queued      int    `json:"queued"`
	Slots       int    `json:"slots"`
}

// WeightCommand tells an engine to load a weight version or to switch to it.
type WeightCommand struct {
	Model         identifier.ModelName     `json:"model"`
	Version       identifier.WeightVersion `json:"version"`
	FencingNumber identifier.FencingToken  `json:"fencing-number"`
}

// Target is the back end beside a sidecar: a model engine or a plain service.
type Target interface {
	// Do runs the work and passes the chunks of the answer to sink in order. It
	// returns the target's HTTP status and nil after a complete answer.
	// ErrRefused means that the work didn't start, ErrIncomplete that it may
	// have run.
	Do(ctx context.Context, work Work, sink func(Chunk) error) (status int, err error)
	// Cancel asks an engine to stop the request; unknown ones are ignored.
	Cancel(ctx context.Context, request identifier.RequestID) error
	// State reads the state that the target reports.
	State(ctx context.Context) (State, error)
	// Load tells an engine to fetch a version from the weight store.
	Load(ctx context.Context, command WeightCommand) error
	// Switch tells an engine to use a loaded version.
	Switch(ctx context.Context, command WeightCommand) error
}
