package throttler

import (
	"context"
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// limitsTimeout bounds the wait for the limits that another host knows.
const limitsTimeout = time.Second

// Limits returns the limits in force that this host knows, for a host that has started.
func (t *Throttler) Limits() (list []messenger.TargetLimit) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for of, known := range t.targets {
		if known.limit.Limited {
			list = append(list, t.toMessage(of, known))
		}
	}
	return list
}

// collectLimits asks other hosts which limits they know. Without their answers, this host
// hears of a limit with the first response of the target.
func (t *Throttler) collectLimits(ctx context.Context, members []string) {
	ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == t.options.Self })
	querier.AskAll(ctx, t.options.Peers, others, messenger.Question{Limits: true}, func(r messenger.Reply) { t.learnLimits(r.Limits) })
}

func (t *Throttler) learnLimits(list []messenger.TargetLimit) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, l := range list {
		t.learn(cataloger.Incarnation{Name: l.Target, StartID: l.StartID}, fromMessage(l.Limit), t.heardAt(l.Limit))
	}
}

// reportWithdrawal tells the host that grants the target's permits that the limit is
// withdrawn. That host tells all others when they ask for a permit; otherwise each would
// hear of it only with a permit of its own.
func (t *Throttler) reportWithdrawal(l messenger.TargetLimit) {
	go func() {
		_ = recoverer.CatchPanic("report of a withdrawn limit", func() { // already logged
			t.ask(context.Background(), messenger.PermitCall{Target: l})
		})
	}()
}
