package executor

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// settleTime is how long a retiring link must have been without work before it
// is closed: its entry may have sent some before it heard.
const settleTime = time.Second

// ServeUntil is Serve, and once retire is closed ends without cutting anything
// off: the entry is told that this target leaves it, and the link is closed
// when its work is done.
func (e *Executor) ServeUntil(ctx context.Context, l messenger.Link, retire <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-retire:
			e.retire(ctx, l)
			cancel()
		case <-ctx.Done():
		}
	}()
	return e.Serve(ctx, l)
}

// retire returns when no work has been on the link for settleTime.
func (e *Executor) retire(ctx context.Context, l messenger.Link) {
	e.mutex.Lock()
	if _, up := e.links[l]; up {
		e.links[l] = true
	}
	e.mutex.Unlock()
	_ = e.beats.SendWithDeadline(ctx, l, e.heartbeat(l))
	for quiet := time.Duration(0); quiet < settleTime; quiet += drainPoll {
		select {
		case <-ctx.Done():
			return
		case <-e.clock.After(drainPoll):
		}
		if e.hasWork(l) {
			quiet = 0
		}
	}
}

func (e *Executor) hasWork(l messenger.Link) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, j := range e.jobs {
		if j.owner == l {
			return true
		}
	}
	return false
}
