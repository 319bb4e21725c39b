package executor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
)

// unexpected is a target whose answer to the request "first" nobody thought of.
type unexpected struct{ *faker.Service }

func (u unexpected) Do(ctx context.Context, work caller.Work, sink func(caller.Piece) error) (int, error) {
	if work.Request == "first" {
		panic("unexpected answer")
	}
	return u.Service.Do(ctx, work, sink)
}

func TestRun_AnUnexpectedErrorEndsOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		beats := heartbeater.New(clock, heartbeater.Options{Interval: time.Hour, Deadline: 2 * time.Hour})
		target := unexpected{faker.NewService(clock, "stock-1", faker.NewLedger(), time.Second)}
		e := executor.New(clock, target, queuer.New(clock, queuer.PlainPriority{}, 1, 1), beats, converger.NewGoals(clock), executor.DefaultOptions())
		ctx, cancel := context.WithCancel(t.Context())
		near, far := messenger.NewPipe()
		go e.Run(ctx)
		go func() { _ = e.Serve(ctx, near) }()
		got := make(map[identifier.RequestID]messenger.EndReason)
		for _, id := range []identifier.RequestID{"first", "second"} {
			if err := far.Send(ctx, messenger.Start{Request: id, Attempt: 1, Body: []byte(id), Timeout: time.Minute}); err != nil {
				t.Fatal(err)
			}
			for got[id] == "" {
				m, err := far.Receive(ctx)
				if err != nil {
					t.Fatal(err)
				}
				if end, ok := m.(messenger.End); ok {
					got[end.Request] = end.Reason
				}
			}
		}
		want := map[identifier.RequestID]messenger.EndReason{"first": messenger.EndTargetFailed, "second": messenger.EndWhole}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		cancel()
		synctest.Wait()
	})
}
