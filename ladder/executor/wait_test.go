package executor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
)

// TestEnd_SaysHowLongTheWorkWaited: two calls of three seconds, one slot.
func TestEnd_SaysHowLongTheWorkWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		beats := heartbeater.New(clock, heartbeater.Options{Interval: time.Hour, Deadline: 2 * time.Hour})
		target := faker.NewService(clock, "stock-1", faker.NewLedger(), 3*time.Second)
		q := queuer.New(clock, queuer.PlainPriority{}, 1, 1)
		e := executor.New(clock, target, q, beats, converger.NewGoals(clock), executor.DefaultOptions())
		ctx, cancel := context.WithCancel(t.Context())
		near, far := messenger.NewPipe()
		go e.Run(ctx)
		go func() { _ = e.Serve(ctx, near) }()
		for _, id := range []identifier.RequestID{"first", "second"} {
			if err := far.Send(ctx, messenger.Start{Request: id, Attempt: 1, Body: []byte(id), Timeout: time.Minute}); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		got := make(map[identifier.RequestID]time.Duration)
		for len(got) < 2 {
			m, err := far.Receive(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if end, ok := m.(messenger.End); ok {
				got[end.Request] = end.Waited
			}
		}
		if diff := cmp.Diff(map[identifier.RequestID]time.Duration{"first": 0, "second": 3 * time.Second}, got); diff != "" {
			t.Errorf("waited (-want +got):\n%s", diff)
		}
		cancel()
		synctest.Wait()
	})
}
