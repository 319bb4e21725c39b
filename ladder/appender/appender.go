// Package appender appends to and reads from the platform's append-only log.
package appender

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The system's streams in the log.
const (
	// StreamConfiguration carries proposed documents, withdrawals and
	// checkpoints.
	StreamConfiguration identifier.StreamName = "configuration"
	// StreamClaims carries claims on idempotency keys.
	StreamClaims identifier.StreamName = "claims"
)

// ErrUnavailable means that the log refused the call without any effect; the caller may
// append again.
var ErrUnavailable = errors.New("log unavailable")

// ErrOutcomeUnknown means that an append may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("answer of the log lost")

// Record is one entry of a stream.
type Record struct {
	// Offset starts at 0 and increases by one from record to record of a stream.
	Offset identifier.LogOffset `json:"offset"`
	// Time is the log's time of the append.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// FirstRetained is the oldest offset that is still readable. A reader that
	// requested an older one has missed records.
	FirstRetained identifier.LogOffset `json:"first-kept"`
	// Next is the offset after the newest record of the stream.
	Next    identifier.LogOffset `json:"next"`
	Records []Record             `json:"records"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds all records in order, or none, and returns the first one's offset.
	// After ErrUnavailable it had no effect; after ErrOutcomeUnknown it may have had
	// one.
	Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (identifier.LogOffset, error)
	// Read returns up to limit records starting at offset from, or at FirstRetained if
	// that is later. It waits for a first record until ctx ends or the service's own
	// poll time is over, then returns an empty page.
	Read(ctx context.Context, stream identifier.StreamName, from identifier.LogOffset, limit int) (Page, error)
}
