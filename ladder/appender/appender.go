// Package appender appends to and reads from the platform's append-only log.
package appender

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The streams that the system keeps in the log.
const (
	// StreamConfiguration carries proposed documents, withdrawals and
	// carry-forward records.
	StreamConfiguration identifier.StreamName = "configuration"
	// StreamClaims carries claims on idempotency keys.
	StreamClaims identifier.StreamName = "claims"
)

// ErrUnavailable says that the log refused before any effect; the caller may
// append again.
var ErrUnavailable = errors.New("log unavailable")

// ErrOutcomeUnknown says that an append may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("answer of the log lost")

// Record is one entry of a stream.
type Record struct {
	// Offset grows by one from record to record of a stream, from 0.
	Offset identifier.LogOffset `json:"offset"`
	// Time is the log's own clock at the append.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Page is what one read returns.
type Page struct {
	// FirstRetained is the oldest offset that retention has left readable. A
	// reader that asked for an older one has a gap.
	FirstRetained identifier.LogOffset `json:"first-kept"`
	// Next is the offset after the newest record of the stream.
	Next    identifier.LogOffset `json:"next"`
	Records []Record             `json:"records"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds the records in order, all or none, and returns the first
	// one's offset. ErrUnavailable means no effect, ErrAnswerLost either.
	Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (identifier.LogOffset, error)
	// Read returns up to limit records from offset from (or from FirstKept,
	// if that is later). It waits for a first record until ctx ends or the
	// service's own poll time is over, then returns an empty page.
	Read(ctx context.Context, stream identifier.StreamName, from identifier.LogOffset, limit int) (Page, error)
}
