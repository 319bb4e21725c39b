package scheduler

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/forwarder"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Guards against a first pause after a refusal that is longer than scorerRetryDelay: most
// scorers have room again by then.
func TestRecord_PausesDoubleFromTheFirstRefusalOn(t *testing.T) {
	var calls scorerCalls
	var pauses []time.Duration
	for _, o := range []forwarder.Outcome{
		forwarder.NotRun{},
		forwarder.NotRun{},
		forwarder.NotRun{},
		forwarder.NotRun{},
		forwarder.NotRun{},
		forwarder.Response{Status: http.StatusInternalServerError},
		forwarder.Response{Status: http.StatusTooManyRequests},
	} {
		calls.record(o)
		pauses = append(pauses, calls.pause())
	}
	ms := time.Millisecond
	want := []time.Duration{50 * ms, 100 * ms, 200 * ms, 400 * ms, 400 * ms, 50 * ms, 50 * ms}
	if diff := cmp.Diff(want, pauses); diff != "" {
		t.Error(diff)
	}
}

// Guards against scoring calls that flood scorers while these refuse them.
func TestRun_ScoringCallsBackOffWhileScorersRefuse(t *testing.T) {
	const items, refusing = 8, 6 * time.Second
	var calmAt time.Time
	inTestEnv(t, false, func(cataloger.Target, sender.Call, int) faker.Behaviour { return healthy() }, func(t *testing.T, env *testEnv) {
		env.scorers = func(cataloger.Target, sender.Call, int) faker.Behaviour {
			if time.Now().Before(calmAt) {
				return faker.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true}
			}
			return faker.Behaviour{Delay: 50 * time.Millisecond}
		}
		calmAt = time.Now().Add(refusing)
		env.submit(t, items)
		time.Sleep(refusing + time.Second)
		calls := 0
		for _, c := range env.targets.Calls() {
			if c.Target == "x" || c.Target == "y" {
				calls++
			}
		}
		// Each call asks both scorers, once in maxScorerRetryDelay and a few times before.
		if most := items * 2 * int(refusing/maxScorerRetryDelay+6); calls > most {
			t.Errorf("%d calls to scorers in %s, want at most %d", calls, refusing, most)
		}
		if n := len(env.results(t)); n != items {
			t.Errorf("%d of %d items are done a second after the scorers took calls again", n, items)
		}
	})
}
