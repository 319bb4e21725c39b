package admitter

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// catalog has the plain service s, whose targets have six places, and the engines e.
type catalog struct{ targets []cataloger.Target }

func (c *catalog) ReadyTargets(identifier.ServiceName) []cataloger.Target { return c.targets }

func (*catalog) Configuration() *cataloger.Configuration {
	return &cataloger.Configuration{Services: map[identifier.ServiceName]cataloger.Service{
		"s": {Name: "s", MaxConnections: 40}, "e": {Name: "e", Engine: &cataloger.Engine{Slots: 6}},
	}}
}

var (
	crowded = Result{Verdict: VerdictServed, Load: &sender.Load{Running: 6, Waiting: 9, Places: 6}}
	refusal = Result{Verdict: VerdictRefused, Load: &sender.Load{Running: 6, Waiting: 24, Places: 6}}
	idle    = Result{Verdict: VerdictServed, Load: &sender.Load{Running: 1, Places: 6}}
)

func newAdmitter(hosts int) (*Admitter, *catalog) {
	c := &catalog{targets: []cataloger.Target{{Name: "a", Service: "s", Slots: 6}, {Name: "b", Service: "s", Slots: 6}}}
	return New(clockwork.NewRealClock(), c, Options{Hosts: func() int { return hosts }}), c
}

// send admits a request that ends after took with the given result.
func send(t *testing.T, a *Admitter, r Request, took time.Duration, result Result) {
	t.Helper()
	ticket, err := a.Admit(context.Background(), "s", r)
	if err != nil {
		t.Fatal(err)
	}
	ticket.Sent("a")
	time.Sleep(took)
	ticket.Done(result)
}

func live(left time.Duration) Request {
	now := time.Now()
	return Request{ID: "live", Arrived: now, Goal: now.Add(150 * time.Millisecond), Deadline: now.Add(left), Priority: 2}
}

// Guards against admission that begins without a sign, that lasts, or that covers engines.
func TestAdmit_IsInForceForTwoSecondsAfterASign(t *testing.T) {
	for name, sign := range map[string]Result{"crowded": crowded, "refusal": refusal} {
		synctest.Test(t, func(t *testing.T) {
			a, _ := newAdmitter(1)
			var got []bool
			send(t, a, live(time.Second), time.Millisecond, idle)
			got = append(got, a.InForce("s"))
			send(t, a, live(time.Second), time.Millisecond, sign)
			got = append(got, a.InForce("s"), a.InForce("e"))
			time.Sleep(signRetention)
			got = append(got, a.InForce("s"))
			time.Sleep(time.Millisecond)
			got = append(got, a.InForce("s"))
			if diff := cmp.Diff([]bool{false, true, false, true, false}, got); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
			if ticket, err := a.Admit(context.Background(), "e", live(time.Second)); ticket != nil || err != nil {
				t.Errorf("%s: a request to an engine has ticket %v, error %v", name, ticket, err)
			}
		})
	}
}

// Guards against requests that wait in the order of their arrival.
func TestAdmit_TheMostCostlyDelayIsEndedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(12) // a limit of one send
		send(t, a, live(time.Second), 30*time.Millisecond, crowded)
		busy, err := a.Admit(context.Background(), "s", live(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		left := func(n int) func() int { return func() int { return n } }
		var got []string
		var tasks conc.WaitGroup
		for _, r := range []Request{
			{ID: "can wait", Owed: true, Arrived: now, Deadline: now.Add(time.Minute), GroupLeft: left(6)},
			{ID: "last of a group", Owed: true, Arrived: now, Deadline: now.Add(time.Minute), GroupLeft: left(1)},
			{ID: "due", Owed: true, Arrived: now, Deadline: now.Add(-time.Second), GroupLeft: left(6)},
			{ID: "live", Arrived: now, Goal: now.Add(time.Second), Deadline: now.Add(time.Minute)},
		} {
			tasks.Go(func() {
				ticket, err := a.Admit(context.Background(), "s", r)
				if err != nil {
					t.Error(err)
					return
				}
				got = append(got, r.ID) // one at a time is in flight
				time.Sleep(30 * time.Millisecond)
				ticket.Done(Result{})
			})
			synctest.Wait()
		}
		busy.Done(Result{})
		tasks.Wait()
		if diff := cmp.Diff([]string{"due", "live", "last of a group", "can wait"}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against calls that are refused although the targets have room.
func TestAdmit_RefusesNothingWhileHalfOfThePlacesAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(1000)
		send(t, a, live(time.Second), 30*time.Millisecond, crowded)
		send(t, a, Request{Owed: true}, 30*time.Millisecond, idle)
		if _, err := a.Admit(context.Background(), "s", live(40*time.Millisecond)); err != nil {
			t.Error(err)
		}
	})
}

// Guards against requests that wait for a service without targets.
func TestAdmit_WithoutTargetsNothingWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := newAdmitter(1000)
		send(t, a, live(time.Second), 30*time.Millisecond, refusal)
		c.targets = nil
		start := time.Now()
		for range 20 {
			if _, err := a.Admit(context.Background(), "s", Request{Owed: true}); err != nil {
				t.Error(err)
			}
		}
		if waited := time.Since(start); waited > 0 {
			t.Errorf("waited %s", waited)
		}
	})
}

// Guards against limits that are exceeded, sends that are lost count of, requests of jobs that are
// refused and requests that are never decided, whatever targets respond.
func TestAdmit_Properties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(1, 400).Draw(rt, "hosts")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			a, _ := newAdmitter(hosts)
			send(t, a, live(time.Second), 30*time.Millisecond, refusal)
			var tasks conc.WaitGroup
			for n, s := range steps {
				time.Sleep(s.after)
				tasks.Go(func() { s.play(t, a, n) })
			}
			tasks.Wait()
			if s := a.services["s"]; s.inFlight != 0 || s.owedInFlight != 0 || len(s.queue) != 0 {
				t.Errorf("%d in flight, %d of them owed, %d wait at the end", s.inFlight, s.owedInFlight, len(s.queue))
			}
		})
	})
}

// step is one request of a random load.
type step struct {
	after, took, left time.Duration
	owed              bool
	priority          int
	result            Result
}

func drawStep(t *rapid.T) step {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	return step{
		after: ms("after", 40), took: ms("took", 200), left: ms("left", 2000), owed: rapid.Bool().Draw(t, "owed"), priority: rapid.IntRange(0, 4).Draw(t, "priority"),
		result: rapid.SampledFrom([]Result{idle, idle, crowded, refusal, {}, {Verdict: VerdictServed}, {Verdict: VerdictRefused}}).Draw(t, "result"),
	}
}

func (s step) play(t *testing.T, a *Admitter, n int) {
	r := live(s.left)
	r.ID, r.Owed, r.Priority = fmt.Sprint(n), s.owed, s.priority
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if !s.owed {
		ctx, cancel = context.WithTimeout(ctx, s.left)
		defer cancel()
	}
	ticket, err := a.Admit(ctx, "s", r)
	var refused Refused
	switch {
	case s.owed && err != nil:
		t.Errorf("a request of a job ends with %v", err)
	case errors.As(err, &refused) && (refused.RetryAfter < minRetryAfter || refused.RetryAfter > maxRetryAfter):
		t.Errorf("refused, retry after %s", refused.RetryAfter)
	}
	if err != nil {
		return
	}
	a.mutex.Lock()
	v := a.services["s"]
	most := max(1, int(limitHeadroom*float64(v.places())))
	if room := v.hasRoom(time.Now()); v.inFlight > most && !room {
		t.Errorf("%d in flight, at most %d may be", v.inFlight, most)
	}
	a.mutex.Unlock()
	ticket.Sent("a")
	time.Sleep(s.took)
	ticket.Done(s.result)
	ticket.Done(s.result)
}
