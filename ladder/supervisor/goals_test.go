package supervisor_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
)

// staticConfiguration gives every sidecar the model advice.
type staticConfiguration struct{}

func (staticConfiguration) For(identifier.ServiceName, int, int) (messenger.Configuration, bool) {
	return messenger.Configuration{Revision: 1, Slots: 1, Model: "advice"}, true
}

// Guards against goals that spread only with heartbeats: a trainer announces a version
// to the first entry of a chain in which one sidecar links each entry to the next.
// Heartbeats are an hour apart.
func TestGoals_ReachEveryEntryWithoutAHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 5
		ctx, cancel := context.WithCancel(t.Context())
		clock, network := clockwork.NewRealClock(), faker.NewNetwork()
		heartbeats := heartbeater.Options{Interval: time.Hour, Deadline: 3 * time.Hour}
		var all []*converger.Goals
		for n := range entries {
			goals := converger.NewGoals(clock)
			d := dispatcher.New(clock, router.New(clock, router.NewRandom(1), router.RoundRobin{}), heartbeater.New(clock, heartbeats),
				limiter.NewRetryBudget(0, 0), goals, staticConfiguration{}, dispatcher.DefaultOptions())
			network.Listen(fmt.Sprintf("entry-%d", n), func(_ string, l messenger.Link) { _ = d.Serve(ctx, l) })
			go announce(ctx, d, goals)
			all = append(all, goals)
		}
		for n := range entries - 1 {
			o := supervisor.Options{
				Executor: executor.DefaultOptions(), Heartbeats: heartbeats, ListInterval: time.Hour,
				StaticEntries: []string{fmt.Sprintf("entry-%d", n), fmt.Sprintf("entry-%d", n+1)}, MaxLinks: 2,
			}
			o.Executor.Target, o.Executor.Service = identifier.TargetName(fmt.Sprintf("engine-%d", n)), "advice-models"
			o.Executor.Incarnation, o.Executor.ModelEngine = identifier.NewIncarnation(), true
			engine := faker.NewEngine(clock, o.Executor.Target, faker.NewLedger(), faker.EngineOptions{Slots: 1, LoadTime: time.Minute})
			go supervisor.New(clock, engine, network.Dialer(string(o.Executor.Target)), nil, o).Run(ctx)
		}
		synctest.Wait()
		all[0].Learn([]messenger.WeightGoal{{Model: "advice", Version: 7}})
		synctest.Wait()
		var got []identifier.WeightVersion
		for _, g := range all {
			got = append(got, g.Newest("advice"))
		}
		if diff := cmp.Diff([]identifier.WeightVersion{7, 7, 7, 7, 7}, got); diff != "" {
			t.Errorf("goal at each entry before any heartbeat (-want +got):\n%s", diff)
		}
		cancel()
		network.Wait()
	})
}

// announce sends new goals to the sidecars, as a coordinator does.
func announce(ctx context.Context, d *dispatcher.Dispatcher, g *converger.Goals) {
	for {
		changed := g.Changed()
		d.AnnounceGoals(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
