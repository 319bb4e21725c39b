package forwarder

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Meter counts the requests that targets began to run; *meter.Meter implements it.
type Meter interface {
	// RecordStart records that a target began to run a request of an account.
	RecordStart(account identifier.AccountName, at time.Time)
}

// noMeter counts nothing.
type noMeter struct{}

// RecordStart implements Meter.
func (noMeter) RecordStart(identifier.AccountName, time.Time) {}

// WithMeter makes the Forwarder record the starts of requests that are not owed.
func WithMeter(m Meter) Option { return func(f *Forwarder) { f.meter = m } }

const (
	// startDelay is the time from the sending of a request to its start at the target; round
	// trips take a few milliseconds.
	startDelay = time.Millisecond
	// minBrokenRun is the time from which an attempt that breaks off without a response counts as
	// begun. Targets with too many connections reset further ones within a round trip.
	minBrokenRun = 10 * time.Millisecond
)

// recordPlainStart records the start of an attempt that began at a time and whose result is
// known.
func (f *Forwarder) recordPlainStart(r Request, began time.Time, response *sender.Response, err error) {
	switch {
	case r.Owed || errors.Is(err, sender.ErrNotSent):
		return
	case response == nil:
		if f.clock.Since(began) < minBrokenRun {
			return
		}
	case response.NotRun:
		return
	case !response.SentAt.IsZero():
		began = response.SentAt
	}
	f.meter.RecordStart(r.Account, began.Add(startDelay))
}

// recordStreamStart records that the first event of an attempt has arrived.
func (f *Forwarder) recordStreamStart(r Request) {
	if !r.Owed {
		f.meter.RecordStart(r.Account, f.clock.Now())
	}
}

// InFlight returns how many requests of this process are open at a target.
func (f *Forwarder) InFlight(target identifier.TargetName) int { return f.router.InFlight(target) }
