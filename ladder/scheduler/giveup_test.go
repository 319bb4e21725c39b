package scheduler

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

var operators = storer.Partition{Topic: "operators"}

// silentLongPolls is a store whose connections go silent when they wait for a record.
type silentLongPolls struct{ storer.Log }

func (s silentLongPolls) Read(ctx context.Context, p storer.Partition, from identifier.LogOffset, wait time.Duration) (storer.Page, error) {
	if wait > 0 {
		<-ctx.Done()
		return storer.Page{}, appender.ErrOutcomeUnknown
	}
	return s.Log.Read(ctx, p, from, wait)
}

// publishNewer publishes the newer configuration after change.
func (env *testEnv) publishNewer(change func(jobs, scores *cataloger.Route)) {
	change(&env.newer.Routes[0], &env.newer.Routes[1])
	env.store.Put(operators, storer.Record{Key: "config", Value: []byte(newerConfiguration)})
}

func (env *testEnv) states(t *testing.T) map[identifier.ItemID]jobstorer.ResultState {
	t.Helper()
	states := make(map[identifier.ItemID]jobstorer.ResultState)
	for id, r := range env.results(t) {
		states[id] = r.State
	}
	return states
}

// applyNewer makes the newer configuration known to the catalog.
func (env *testEnv) applyNewer() {
	env.catalog.PublishedSink().Apply([]storer.Record{{Key: "config", Value: []byte(newerConfiguration)}})
}

// failingFirst answers the first n calls of each item or scorer with 500.
func failingFirst(n int, then func() faker.Behaviour) behaviourFunc {
	return answeringFirst(n, http.StatusInternalServerError, then)
}

// refusingFor refuses all calls for a while after the first one.
func refusingFor(d time.Duration) behaviourFunc {
	var first time.Time
	return func(cataloger.Target, sender.Call, int) faker.Behaviour {
		if first.IsZero() {
			first = time.Now()
		}
		if time.Since(first) < d {
			return faker.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true}
		}
		return healthy()
	}
}

// Guards against items that are errored because their host has an older configuration than
// the one under which their job was accepted.
func TestRun_NoItemIsGivenUpUnderAnOutdatedConfiguration(t *testing.T) {
	const completed = jobstorer.ResultCompleted
	answer := func() faker.Behaviour { return faker.Behaviour{Delay: 50 * time.Millisecond} }
	cases := map[string]struct {
		engines, scorers behaviourFunc
		change           func(jobs, scores *cataloger.Route)
		wait             time.Duration
	}{
		"a route was added": {
			engines: failingFirst(0, healthy), scorers: failingFirst(0, answer), wait: 10 * time.Second,
			change: func(jobs, _ *cataloger.Route) { jobs.Host = "new" },
		},
		"the time of items was raised": {
			engines: refusingFor(60 * time.Second), scorers: failingFirst(0, answer), wait: 70 * time.Second,
			change: func(jobs, _ *cataloger.Route) { jobs.GiveUpAfter = 200 * time.Second },
		},
		"more attempts of items are allowed": {
			engines: failingFirst(4, healthy), scorers: failingFirst(0, answer), wait: 20 * time.Second,
			change: func(jobs, _ *cataloger.Route) { jobs.MaxAttempts = 5 },
		},
		"more attempts of scoring calls are allowed": {
			engines: failingFirst(0, healthy), scorers: failingFirst(6, answer), wait: 20 * time.Second,
			change: func(_, scores *cataloger.Route) { scores.MaxAttempts = 4 },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inTestEnv(t, false, c.engines, func(t *testing.T, env *testEnv) {
				env.scorers = c.scorers
				env.publishNewer(c.change)
				s := jobstorer.Submission{ID: "j", Host: env.newer.Routes[0].Host, Path: "/p/", Model: "m", MinVersion: 2, Items: []jobstorer.Item{
					{ID: "i00", Path: "/p/x", MaxTokens: 100, Scorer: &jobstorer.Scorer{ID: "s00", Host: "h", Path: "/s/x"}},
				}}
				if err := env.jobs.Accept(context.Background(), s); err != nil {
					t.Fatal(err)
				}
				time.Sleep(c.wait)
				want := map[identifier.ItemID]jobstorer.ResultState{"i00": completed}
				if diff := cmp.Diff(want, env.states(t)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// Guards against items that are never given up although their route was removed.
func TestRun_ItemsOfARemovedRouteAreGivenUp(t *testing.T) {
	engines := func(cataloger.Target, sender.Call, int) faker.Behaviour { return faker.Behaviour{Silent: true} }
	inTestEnv(t, false, engines, func(t *testing.T, env *testEnv) {
		env.submit(t, 2)
		time.Sleep(time.Second)
		env.publishNewer(func(jobs, _ *cataloger.Route) { jobs.Host = "another" })
		env.applyNewer()
		time.Sleep(2 * time.Second)
		want := map[identifier.ItemID]jobstorer.ResultState{"i00": jobstorer.ResultFailed, "i01": jobstorer.ResultFailed}
		if diff := cmp.Diff(want, env.states(t)); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against items that are given up while the newest configuration can't be read.
func TestRun_NoItemIsGivenUpWithoutTheNewestConfiguration(t *testing.T) {
	inTestEnv(t, false, failingFirst(100, healthy), func(t *testing.T, env *testEnv) {
		env.published.(*unreadable).lost.Store(true)
		env.submit(t, 1)
		time.Sleep(10 * time.Second)
		if diff := cmp.Diff(map[identifier.ItemID]jobstorer.ResultState{}, env.states(t)); diff != "" {
			t.Error(diff)
		}
		if n := len(env.targets.Calls()); n != 3 {
			t.Errorf("the item was run %d times, want 3", n)
		}
		env.published.(*unreadable).lost.Store(false)
		time.Sleep(3 * time.Second)
		want := map[identifier.ItemID]jobstorer.ResultState{"i00": jobstorer.ResultFailed}
		if diff := cmp.Diff(want, env.states(t)); diff != "" {
			t.Error(diff)
		}
	})
}

// unreadable is a ConfigurationReader that fails while lost is set.
type unreadable struct {
	storer.Refresher
	lost atomic.Bool
}

func (u *unreadable) Refresh(ctx context.Context) error {
	if u.lost.Load() {
		return appender.ErrUnavailable
	}
	return u.Refresher.Refresh(ctx)
}
