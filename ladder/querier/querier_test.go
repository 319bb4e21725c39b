package querier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

func TestServe_PanicClosesOnlyOneLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := faker.NewNetwork()
		n.Listen("peer", func(_ string, l messenger.Link) {
			Serve(ctx, l, func(_ context.Context, q messenger.Question) messenger.Reply {
				if !q.Demand {
					panic("unexpected question")
				}
				return messenger.Reply{}
			})
		})
		querier := New(clockwork.NewRealClock(), n)
		askCtx, cancelAsk := context.WithTimeout(ctx, 10*time.Second)
		defer cancelAsk()
		start := time.Now()
		if a, err := querier.Ask(askCtx, "peer", messenger.Question{}); err == nil || time.Since(start) > time.Second {
			t.Errorf("got reply %+v, error %v after %s", a, err, time.Since(start))
		}
		time.Sleep(2 * peerBackoff)
		if _, err := querier.Ask(ctx, "peer", messenger.Question{Demand: true}); err != nil {
			t.Errorf("the next question: %v", err)
		}
		cancel()
		n.Wait()
	})
}
