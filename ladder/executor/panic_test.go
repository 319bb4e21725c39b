package executor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// panickingTarget is a target that panics while it runs the request "first".
type panickingTarget struct{ *faker.Service }

func (p panickingTarget) Do(ctx context.Context, work caller.Work, sink func(caller.Chunk) error) (int, error) {
	if work.Request == "first" {
		panic("unexpected answer")
	}
	return p.Service.Do(ctx, work, sink)
}

func TestRun_AnUnexpectedErrorEndsOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		e := newExecutor(clock, panickingTarget{faker.NewService(clock, "stock-1", faker.NewLedger(), time.Second)}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		entryLink := serve(ctx, e)
		go e.Run(ctx)
		got := make(map[identifier.RequestID]messenger.EndReason)
		for _, id := range []identifier.RequestID{"first", "second"} {
			start(ctx, t, entryLink, id)
			for got[id] == "" {
				end := nextEnd(ctx, t, entryLink)
				got[end.Request] = end.Reason
			}
		}
		want := map[identifier.RequestID]messenger.EndReason{"first": messenger.EndTargetFailed, "second": messenger.EndComplete}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		cancel()
		synctest.Wait()
	})
}
