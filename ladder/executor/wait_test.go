package executor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Two requests of three seconds each run on one slot, so the second waits three
// seconds in the queue.
func TestEnd_ReportsQueueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		e := newExecutor(clock, faker.NewService(clock, "stock-1", faker.NewLedger(), 3*time.Second), 1)
		ctx, cancel := context.WithCancel(t.Context())
		entryLink := serve(ctx, e)
		go e.Run(ctx)
		for _, id := range []identifier.RequestID{"first", "second"} {
			start(ctx, t, entryLink, id)
			synctest.Wait()
		}
		got := make(map[identifier.RequestID]time.Duration)
		for len(got) < 2 {
			end := nextEnd(ctx, t, entryLink)
			got[end.Request] = end.QueueTime
		}
		if diff := cmp.Diff(map[identifier.RequestID]time.Duration{"first": 0, "second": 3 * time.Second}, got); diff != "" {
			t.Errorf("queue times (-want +got):\n%s", diff)
		}
		cancel()
		synctest.Wait()
	})
}
