package appender

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A caller must not wait for seconds to learn that the log is down if other callers
// have just learned it. An open circuit lets one call through as a probe after a short
// time, and closes as soon as a probe succeeds. Appends and reads have a circuit each,
// since either may fail alone; while reads fail nothing is appended, since it could not
// be read back. An entry reads all the time, so its own reads probe the log and no
// caller's request has to.

const (
	// failuresToOpen is the number of consecutive failures that open a circuit; a
	// single lost answer is normal.
	failuresToOpen = 3
	// openTime is how long an open circuit rejects calls before it lets a probe
	// through.
	openTime = time.Second
	// readFailureMemory is how long after a failed read appends are rejected. It is
	// longer than a read takes to fail.
	readFailureMemory = 15 * time.Second
)

// CircuitBreaker is a Log that fails fast while the underlying log is known to be down.
type CircuitBreaker struct {
	log                        Log
	appendCircuit, readCircuit circuit
}

// NewCircuitBreaker returns a CircuitBreaker in front of log.
func NewCircuitBreaker(clock clockwork.Clock, log Log) *CircuitBreaker {
	return &CircuitBreaker{log: log, appendCircuit: circuit{clock: clock}, readCircuit: circuit{clock: clock}}
}

// Append implements Log. Appends that the circuit breaker rejects have no effect.
func (b *CircuitBreaker) Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (first identifier.LogOffset, err error) {
	if b.readCircuit.recentlyFailed() || !b.appendCircuit.allow() {
		return 0, errors.WithMessage(ErrUnavailable, "circuit open")
	}
	defer func() { b.appendCircuit.recordResult(ctx, err) }()
	return b.log.Append(ctx, stream, records)
}

// Read implements Log.
func (b *CircuitBreaker) Read(ctx context.Context, stream identifier.StreamName, from identifier.LogOffset, limit int) (p Page, err error) {
	if !b.readCircuit.allow() {
		return p, errors.WithMessage(ErrUnavailable, "circuit open")
	}
	defer func() { b.readCircuit.recordResult(ctx, err) }()
	return b.log.Read(ctx, stream, from, limit)
}

// circuit lets calls through as long as they succeed.
type circuit struct {
	clock clockwork.Clock

	mutex sync.Mutex
	// failures is the number of failures since the last success.
	failures int
	// probeAt is when an open circuit lets the next probe through.
	probeAt time.Time
	// failedAt is the time of the last failure.
	failedAt time.Time
}

// recentlyFailed reports whether the most recent calls have failed, and not long ago.
func (c *circuit) recentlyFailed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failures >= failuresToOpen && c.clock.Since(c.failedAt) < readFailureMemory
}

// allow reports whether a call may proceed.
func (c *circuit) allow() bool {
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

// recordResult records the result of a call. A call that its caller cancelled is
// ignored.
func (c *circuit) recordResult(ctx context.Context, err error) {
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
