package admitter

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Guards against the calls of batch jobs that give way for as long as an overload lasts: the
// targets' queues are too long for the limit of these calls, but not for that of all.
func TestAdmit_CallsOfBatchJobsGiveWayForABoundedTime(t *testing.T) {
	busy := Result{Verdict: VerdictServed, Load: &sender.Load{Running: 6, Waiting: 4, Places: 6}}
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(1)
		send(t, a, live(time.Second), time.Millisecond, refusal)
		var done atomic.Int64
		var tasks conc.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		const calls = 300
		for range calls {
			tasks.Go(func() {
				ticket, err := a.Admit(ctx, "s", Request{Owed: true, Arrived: time.Now(), Deadline: time.Now().Add(7 * time.Second)})
				if err != nil {
					return
				}
				ticket.Sent("b")
				time.Sleep(30 * time.Millisecond)
				ticket.Done(busy)
				done.Add(1)
			})
		}
		time.Sleep(3 * time.Second)
		n := done.Load()
		cancel()
		tasks.Wait()
		if n < calls {
			t.Errorf("%d of %d calls were sent within 3 s", n, calls)
		}
	})
}
