package executor_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
)

// newExecutor returns an executor with one slot that sends no heartbeat during
// a test.
func newExecutor(clock clockwork.Clock, target caller.Target, queueLimit int) *executor.Executor {
	heartbeats := heartbeater.New(clock, heartbeater.Options{Interval: time.Hour, Deadline: 2 * time.Hour})
	queue := queuer.New(clock, queuer.StrictPriority{}, 1, queueLimit)
	return executor.New(clock, target, queue, heartbeats, converger.NewGoals(clock), executor.DefaultOptions())
}

// serve connects an entry to the executor and returns the entry's end.
func serve(ctx context.Context, e *executor.Executor) messenger.Link {
	sidecarLink, entryLink := messenger.NewPipe()
	go func() { _ = e.Serve(ctx, sidecarLink) }()
	return entryLink
}

// start sends a request with a timeout of one minute.
func start(ctx context.Context, t *testing.T, l messenger.Link, id identifier.RequestID) {
	t.Helper()
	if err := l.Send(ctx, messenger.Start{Request: id, Attempt: 1, Body: []byte(id), Timeout: time.Minute}); err != nil {
		t.Fatal(err)
	}
}

// nextEnd returns the next End message and discards the messages before it.
func nextEnd(ctx context.Context, t *testing.T, l messenger.Link) messenger.End {
	t.Helper()
	for {
		m, err := l.Receive(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if end, ok := m.(messenger.End); ok {
			return end
		}
	}
}
