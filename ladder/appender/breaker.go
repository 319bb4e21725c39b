package appender

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A caller must not wait for seconds to learn that the log is down when others
// have just learned it. The memory is short: after it one call goes through as
// a probe, and the next ones as soon as that one succeeds. Appends and reads
// have a circuit each, since either may fail alone; while reads fail nobody
// appends, since what was appended could not be read back. So an entry, which
// reads all the time, never needs a caller as a probe.

const (
	// failuresToOpen is how many failures in a row, without a success between,
	// open a circuit: a single lost answer is ordinary.
	failuresToOpen = 3
	// openTime is how long an open circuit fails calls before a probe.
	openTime = time.Second
	// readMemory is how long failed reads keep appends from the log. It is
	// longer than one read takes to fail.
	readMemory = 15 * time.Second
)

// CircuitBreaker is a Log that fails fast while the log behind it is known to be
// down.
type CircuitBreaker struct {
	log           Log
	appends, read circuit
}

// NewCircuitBreaker returns a Breaker in front of log.
func NewCircuitBreaker(clock clockwork.Clock, log Log) *CircuitBreaker {
	return &CircuitBreaker{log: log, appends: circuit{clock: clock}, read: circuit{clock: clock}}
}

// Append implements Log. What it fails by itself has had no effect.
func (b *CircuitBreaker) Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (first identifier.LogOffset, err error) {
	if b.read.down() || !b.appends.enter() {
		return 0, errors.WithMessage(ErrUnavailable, "circuit open")
	}
	defer func() { b.appends.leave(ctx, err) }()
	return b.log.Append(ctx, stream, records)
}

// Read implements Log.
func (b *CircuitBreaker) Read(ctx context.Context, stream identifier.StreamName, from identifier.LogOffset, limit int) (p Page, err error) {
	if !b.read.enter() {
		return p, errors.WithMessage(ErrUnavailable, "circuit open")
	}
	defer func() { b.read.leave(ctx, err) }()
	return b.log.Read(ctx, stream, from, limit)
}

// circuit lets calls through while they succeed.
type circuit struct {
	clock clockwork.Clock

	mutex sync.Mutex
	// failures counts those since the last success.
	failures int
	// probeAt is when an open circuit lets the next probe through.
	probeAt time.Time
	// failedAt is the time of the last failure.
	failedAt time.Time
}

// down says whether the last calls have failed, and not long ago.
func (c *circuit) down() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failures >= failuresToOpen && c.clock.Since(c.failedAt) < readMemory
}

// enter says whether a call may go through.
func (c *circuit) enter() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failures < failuresToOpen {
		return true
	}
	now := c.clock.Now()
	if now.Before(c.probeAt) {
		return false
	}
	c.probeAt = now.Add(openTime)
	return true
}

// leave notes how a call ended. One that its caller gave up says nothing.
func (c *circuit) leave(ctx context.Context, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case err == nil:
		c.failures = 0
	case ctx.Err() == context.Canceled:
	default:
		c.failures++
		c.failedAt = c.clock.Now()
		c.probeAt = c.failedAt.Add(openTime)
	}
}
