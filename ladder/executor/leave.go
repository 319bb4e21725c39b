package executor

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Leave makes the executor refuse every later Start, and tells all entries.
// Further calls have no effect.
func (e *Executor) Leave(ctx context.Context) {
	e.mutex.Lock()
	alreadyLeaving := e.leaving
	if !alreadyLeaving {
		e.leaving, e.leftAt = true, e.clock.Now()
	}
	e.mutex.Unlock()
	if !alreadyLeaving {
		e.Announce(ctx)
	}
}

// CancelAll ends all work that has no result yet: queued work is refused and
// never runs, running work is cancelled.
func (e *Executor) CancelAll() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for k, a := range e.attempts {
		if e.queue.Remove(k.request, k.attempt) {
			e.finish(a, *e.newRefusal(a.start, messenger.RefusedLeaving, retryAfterLeaving))
			continue
		}
		a.cancel()
	}
}

// drainPollInterval is the interval at which remaining work is checked.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until every response has been received and MinDrainTime is over,
// or ctx ends. It returns the number of responses left.
func (e *Executor) Drain(ctx context.Context) int {
	for {
		remaining, minTimeOver := e.undelivered()
		if remaining == 0 && minTimeOver {
			return 0
		}
		select {
		case <-ctx.Done():
			return remaining
		case <-e.clock.After(drainPollInterval):
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// undelivered counts the responses that may still be received, and reports
// whether MinDrainTime is over. A response whose link failed counts for
// MinDrainTime, the time that a link may take to reconnect.
func (e *Executor) undelivered() (count int, minTimeOver bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	for _, a := range e.attempts {
		if a.delivered {
			continue
		}
		_, linked := e.links[a.ownerLink]
		if a.result == nil || linked || now.Sub(later(a.endedAt, a.linkLostAt)) < e.options.MinDrainTime {
			count++
		}
	}
	return count, now.Sub(e.leftAt) >= e.options.MinDrainTime
}
