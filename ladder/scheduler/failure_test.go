package scheduler

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// working answers after the work, or with 504 at the deadline that it was given.
func working(work time.Duration) behaviourFunc {
	return func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		if c.TimeLeft > 0 && c.TimeLeft < work {
			return faker.Behaviour{Delay: c.TimeLeft, Status: http.StatusGatewayTimeout}
		}
		return faker.Behaviour{Delay: work}
	}
}

// answeringFirst answers the first n calls of each item or scorer with a status.
func answeringFirst(n, status int, then func() faker.Behaviour) behaviourFunc {
	seen := make(map[string]int)
	return func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		if seen[c.ID]++; seen[c.ID] <= n {
			return faker.Behaviour{Status: status}
		}
		return then()
	}
}

// Guards against items that are errored because their scoring calls took longer than a time
// limit of the system's own.
func TestRun_TimeLimitsOfScoringCallsFailNoItem(t *testing.T) {
	const items = 4
	for _, work := range []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
		t.Run(work.String(), func(t *testing.T) {
			inTestEnv(t, false, answeringFirst(0, 0, healthy), func(t *testing.T, env *testEnv) {
				env.scorers = working(work)
				env.publishNewer(func(_, scores *cataloger.Route) { scores.Timeout = 400 * time.Millisecond })
				env.applyNewer()
				env.submit(t, items)
				time.Sleep(35 * time.Second)
				wantCompleted(t, env, items)
			})
		})
	}
}

// Guards against items that are errored by answers other than 500 and 422.
func TestRun_OnlyErrorsOfTargetsThemselvesFailItems(t *testing.T) {
	const items, calls = 2, 12
	answer := func() faker.Behaviour { return faker.Behaviour{Delay: 50 * time.Millisecond} }
	for _, status := range []int{
		http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusNotImplemented,
		http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	} {
		for name, b := range map[string]struct{ engines, scorers behaviourFunc }{
			"engines": {engines: answeringFirst(calls, status, healthy), scorers: answeringFirst(0, 0, answer)},
			"scorers": {engines: answeringFirst(0, 0, healthy), scorers: answeringFirst(calls, status, answer)},
		} {
			t.Run(fmt.Sprintf("%s, %d", name, status), func(t *testing.T) {
				inTestEnv(t, false, b.engines, func(t *testing.T, env *testEnv) {
					env.scorers = b.scorers
					env.submit(t, items)
					time.Sleep(30 * time.Second)
					wantCompleted(t, env, items)
				})
			})
		}
	}
}

func wantCompleted(t *testing.T, env *testEnv, items int) {
	t.Helper()
	want := make(map[identifier.ItemID]jobstorer.ResultState)
	for n := range items {
		want[identifier.ItemID(fmt.Sprintf("i%02d", n))] = jobstorer.ResultCompleted
	}
	if diff := cmp.Diff(want, env.states(t)); diff != "" {
		t.Error(diff)
	}
}

// Guards against items that are completed without a text because a target ended its response
// before the first event.
func TestRun_ATextWithoutEventsIsNotComplete(t *testing.T) {
	const items = 3
	seen := make(map[string]bool)
	engines := func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		if !seen[c.ID] {
			seen[c.ID] = true
			return faker.Behaviour{Events: 20, NoEvents: true, Version: 2}
		}
		return healthy()
	}
	inTestEnv(t, false, engines, func(t *testing.T, env *testEnv) {
		env.submit(t, items)
		time.Sleep(10 * time.Second)
		wantCompleted(t, env, items)
		for id, r := range env.results(t) {
			if diff := cmp.Diff(string(expectedText(20)), string(r.Text)); diff != "" {
				t.Errorf("%s: %s", id, diff)
			}
		}
	})
}
