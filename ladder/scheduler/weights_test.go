package scheduler

import (
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// splitRoute splits the route of the jobs between a service of two targets and one of one target,
// from the moment at which it returns.
func (env *testEnv) splitRoute(engines, spare int) {
	env.catalog.TargetSink().Apply([]storer.Record{{Key: "c", Value: []byte("spare")}})
	env.newer.Services["spare"] = cataloger.Service{Name: "spare", Engine: &cataloger.Engine{Slots: 4}}
	env.publishNewer(func(jobs, _ *cataloger.Route) {
		jobs.Shares = []cataloger.TrafficShare{{Service: "engines", Weight: engines}, {Service: "spare", Weight: spare}}
	})
	env.applyNewer()
}

// runsAt counts the calls of items at each service since a moment.
func (env *testEnv) runsAt(since time.Time) map[identifier.ServiceName]int {
	counts := make(map[identifier.ServiceName]int)
	for _, c := range env.targets.Calls() {
		if c.At.Before(since) {
			continue
		}
		switch c.Target {
		case "a", "b":
			counts["engines"]++
		case "c":
			counts["spare"]++
		}
	}
	return counts
}

// Guards against items that run on a service whose weight is 0: new ones, those that go on after a
// target has broken off, those that were accepted before, and those of slow targets.
func TestRun_NoItemRunsOnAServiceWithoutWeight(t *testing.T) {
	for name, b := range map[string]behaviourFunc{
		"all well": func(cataloger.Target, sender.Call, int) faker.Behaviour { return healthy() },
		"streams break off": func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
			b := healthy()
			if n%2 == 0 {
				b.BreakAfter = identifier.EventNumber(1 + n%17)
			}
			return b
		},
		"slow": func(target cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
			b := faker.Behaviour{Events: 60, Gap: eventGap, Version: 2}
			if target.Name == "c" {
				b.Gap = 4 * eventGap
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			inTestEnv(t, false, b, func(t *testing.T, env *testEnv) {
				env.submitAs(t, "before", 2, 24)
				time.Sleep(300 * time.Millisecond)
				env.splitRoute(0, 1)
				changed := time.Now()
				env.submit(t, 24)
				time.Sleep(2 * time.Minute)
				if got := env.runsAt(changed); got["engines"] > 0 || got["spare"] == 0 {
					t.Errorf("items by service after the change: %v", got)
				}
				for _, job := range []identifier.JobID{"before", "j"} {
					if got := len(env.resultsOf(t, job)); got != 24 {
						t.Errorf("%s: %d results", job, got)
					}
				}
			})
		})
	}
}

// Guards against weights other than 0 that items ignore.
func TestRun_ItemsFollowTheWeights(t *testing.T) {
	inTestEnv(t, false, func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Events: 1, Gap: time.Millisecond, Version: 2}
	}, func(t *testing.T, env *testEnv) {
		env.splitRoute(9, 1)
		const items = 120
		env.submit(t, items)
		time.Sleep(time.Minute)
		if got := env.runsAt(time.Time{}); got["spare"] < items/20 || got["spare"] > 3*items/20 {
			t.Errorf("items by service at weights 9 and 1: %v", got)
		}
	})
}

// Guards against items that wait for ever for a service whose targets are gone or full, while
// another one with a weight has room.
func TestRun_ItemsOverflowToOtherServicesWithAWeight(t *testing.T) {
	for name, remove := range map[string]bool{"gone": true, "full": false} {
		t.Run(name, func(t *testing.T) {
			inTestEnv(t, false, func(target cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
				if target.Name == "c" {
					return faker.Behaviour{Events: 20, Gap: 30 * time.Second, Version: 2}
				}
				return healthy()
			}, func(t *testing.T, env *testEnv) {
				env.splitRoute(1, 99)
				if remove {
					env.catalog.TargetSink().Apply([]storer.Record{{Key: "c"}})
				}
				env.submit(t, 24)
				time.Sleep(5 * time.Second)
				if got := len(env.results(t)); got < 12 {
					t.Errorf("%d of 24 items done", got)
				}
			})
		})
	}
}
