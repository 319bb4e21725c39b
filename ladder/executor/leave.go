package executor

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Leave makes every later Start refused and tells all entries. Leaving again
// changes nothing.
func (e *Executor) Leave(ctx context.Context) {
	e.mutex.Lock()
	again := e.leaving
	if !again {
		e.leaving, e.leftAt = true, e.clock.Now()
	}
	e.mutex.Unlock()
	if !again {
		e.Announce(ctx)
	}
}

// CancelAll ends all work that has no answer yet: what waits is refused and never
// runs, what runs is cancelled.
func (e *Executor) CancelAll() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for k, j := range e.jobs {
		if e.queue.Remove(k.request, k.attempt) {
			e.finish(j, *e.refused(j.start, messenger.RefusedLeaving, retryAfterLeaving))
			continue
		}
		j.cancel()
	}
}

// drainPoll is the time between two looks at what is left.
const drainPoll = 20 * time.Millisecond

// Drain waits until every answer has been taken and Linger is over, or ctx
// ends. It returns how many answers were left.
func (e *Executor) Drain(ctx context.Context) int {
	for {
		left, lingered := e.left()
		if left == 0 && lingered {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-e.clock.After(drainPoll):
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// left counts the answers that somebody may still take, and says whether
// Linger is over. An answer whose entry is gone is waited for as long as a link
// may take to come back.
func (e *Executor) left() (left int, lingered bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	for _, j := range e.jobs {
		if j.taken {
			continue
		}
		_, linked := e.links[j.owner]
		if j.answer == nil || linked || now.Sub(later(j.endedAt, j.lostAt)) < e.options.MinDrainTime {
			left++
		}
	}
	return left, now.Sub(e.leftAt) >= e.options.MinDrainTime
}
