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

func TestServe_AnUnexpectedErrorEndsOneLink(t *testing.T) {
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
		c := New(clockwork.NewRealClock(), n)
		asking, asked := context.WithTimeout(ctx, 10*time.Second)
		defer asked()
		begun := time.Now()
		if a, err := c.Ask(asking, "peer", messenger.Question{}); err == nil || time.Since(begun) > time.Second {
			t.Errorf("answered with %+v, %v after %s", a, err, time.Since(begun))
		}
		time.Sleep(2 * avoidFor)
		if _, err := c.Ask(ctx, "peer", messenger.Question{Demand: true}); err != nil {
			t.Errorf("the next question: %v", err)
		}
		cancel()
		n.Wait()
	})
}
