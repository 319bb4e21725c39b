package executor

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// retireQuietTime is how long a retiring link must have been without work
// before it is closed: its entry may have sent requests before it learned of
// the retirement.
const retireQuietTime = time.Second

// ServeUntil is like Serve, but ends gracefully once retire is closed: the
// entry is told that this target is leaving, and the link is closed when its
// work is done.
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

// retire returns when the link has been without work for retireQuietTime.
func (e *Executor) retire(ctx context.Context, l messenger.Link) {
	e.mutex.Lock()
	if _, linked := e.links[l]; linked {
		e.links[l] = true
	}
	e.mutex.Unlock()
	_ = e.heartbeats.SendWithDeadline(ctx, l, e.heartbeat(l))
	for quietTime := time.Duration(0); quietTime < retireQuietTime; quietTime += drainPollInterval {
		select {
		case <-ctx.Done():
			return
		case <-e.clock.After(drainPollInterval):
		}
		if e.hasWork(l) {
			quietTime = 0
		}
	}
}

func (e *Executor) hasWork(l messenger.Link) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, a := range e.attempts {
		if a.ownerLink == l {
			return true
		}
	}
	return false
}
