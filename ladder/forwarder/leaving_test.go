package forwarder

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const (
	// drainTime is how long after its word a leaving target may get requests.
	drainTime  = 2 * time.Second
	leaveGrace = drainTime / 2
)

// newLeavingForwarder returns a Forwarder with the targets a, b and c that hears when one of
// them leaves.
func newLeavingForwarder(b behaviourFunc) (*Forwarder, *faker.Targets) {
	clock := clockwork.NewRealClock()
	c := cataloger.New(clock, nameDecoder{}, cataloger.WithLeaveGrace(leaveGrace))
	targets := faker.NewTargets(clock, b)
	targets.TellDepartures(c)
	f := New(clock, c, &targetList{}, targets, &countingBlocklist{}, knownOrigins{}, router.NewSharedRandom(1))
	listSoftware(f, map[string]string{"a": "v1", "b": "v1", "c": "v1"})
	return f, targets
}

// Guards against requests of any kind that reach targets that have said that they leave.
func TestForward_NothingReachesLeavingTargetsAfterTheGrace(t *testing.T) {
	for name, c := range map[string]struct {
		route   cataloger.Route
		request Request
		// leaving are the targets that leave; answer is how they answer.
		leaving []identifier.TargetName
		answer  faker.Behaviour
	}{
		"success":                      {route(cataloger.KindAtMostOnce, 1), Request{}, []identifier.TargetName{"a"}, faker.Behaviour{Delay: time.Millisecond}},
		"failure, repeated":            {route(cataloger.KindIdempotent, 3), Request{}, []identifier.TargetName{"a"}, faker.Behaviour{Status: 500}},
		"refusal":                      {route(cataloger.KindAtMostOnce, 1), Request{}, []identifier.TargetName{"a"}, faker.Behaviour{Status: 503, NotRun: true}},
		"slow, hedged":                 {route(cataloger.KindIdempotent, 3), Request{}, []identifier.TargetName{"a", "b"}, faker.Behaviour{Delay: 300 * time.Millisecond}},
		"scoring call":                 {route(cataloger.KindIdempotent, 3), Request{Owed: true}, []identifier.TargetName{"a", "b"}, faker.Behaviour{Status: 500}},
		"stream":                       {streamRoute(), Request{}, []identifier.TargetName{"a", "b"}, faker.Behaviour{Events: 8, Gap: 10 * time.Millisecond}},
		"stream that breaks off":       {streamRoute(), Request{}, []identifier.TargetName{"a", "b"}, faker.Behaviour{Events: 8, Gap: 10 * time.Millisecond, BreakAfter: 2}},
		"stream that stalls":           {streamRoute(), Request{}, []identifier.TargetName{"a", "b"}, faker.Behaviour{Events: 8, Gap: 10 * time.Millisecond, PauseAfter: 2, Pause: 5 * time.Second}},
		"all of the service leave":     {route(cataloger.KindIdempotent, 3), Request{}, []identifier.TargetName{"a", "b", "c"}, faker.Behaviour{Delay: time.Millisecond}},
		"all leave, none may be tried": {route(cataloger.KindAtMostOnce, 1), Request{}, []identifier.TargetName{"a", "b", "c"}, faker.Behaviour{Status: 503, NotRun: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				saidAt := make(map[identifier.TargetName]time.Time)
				f, targets := newLeavingForwarder(func(target cataloger.Target, call sender.Call, _ int) faker.Behaviour {
					if !slices.Contains(c.leaving, target.Name) {
						return faker.Behaviour{Delay: time.Millisecond, Events: c.answer.Events, Gap: c.answer.Gap}
					}
					b := c.answer
					b.Leaves = true
					if b.BreakAfter > 0 {
						b.BreakAfter += call.ResumeAfter
					}
					if _, said := saidAt[target.Name]; !said {
						saidAt[target.Name] = time.Now().Add(b.Delay)
					}
					return b
				})
				served := 0
				for n := 0; time.Since(start) < 4*time.Second; n++ {
					r := c.request
					r.ID = fmt.Sprint(n)
					begun := time.Now()
					switch o := forwardAny(f, c.route, r).(type) {
					case Response:
						served++
					case NotRun:
						if took := time.Since(begun); time.Since(start) > drainTime && took > 0 {
							t.Errorf("rejected after %s though no target is left", took)
						}
					case NotAllowed, Unknown:
					case *Stream:
						if numbers, _ := readAll(o); len(numbers) == 8 {
							served++
						}
						o.Close()
					}
					time.Sleep(20 * time.Millisecond)
				}
				for _, call := range targets.Calls() {
					if at, said := saidAt[call.Target]; said && call.At.Sub(at) >= leaveGrace {
						t.Errorf("%s got request %s %s after it said that it leaves", call.Target, call.Call.ID, call.At.Sub(at))
					}
				}
				if served == 0 && c.answer.Status != 503 {
					t.Error("nothing was served")
				}
			})
		})
	}
}

// forwardAny sends a request as its route's kind wants.
func forwardAny(f *Forwarder, route cataloger.Route, r Request) Outcome {
	if route.Kind == cataloger.KindStream {
		return f.ForwardStream(context.Background(), route, r)
	}
	return f.Forward(context.Background(), route, r)
}

// Guards against callers that are rejected while the last targets of a service still serve.
func TestForward_LastTargetsServeForTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, targets := newLeavingForwarder(func(cataloger.Target, sender.Call, int) faker.Behaviour {
			return faker.Behaviour{Delay: time.Millisecond, Leaves: true}
		})
		start := time.Now()
		for time.Since(start) < leaveGrace-50*time.Millisecond {
			if o, ok := f.Forward(context.Background(), route(cataloger.KindAtMostOnce, 1), Request{ID: "x"}).(Response); !ok {
				t.Fatalf("after %s: %+v", time.Since(start), o)
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(leaveGrace)
		if o, ok := f.Forward(context.Background(), route(cataloger.KindAtMostOnce, 1), Request{ID: "y"}).(NotRun); !ok || o.RetryAfter == 0 {
			t.Errorf("after the grace: %+v", o)
		}
		sent := len(targets.Calls())
		f.catalog.TargetSink().Apply([]storer.Record{{Key: "d", Value: []byte("v1")}})
		if _, ok := f.Forward(context.Background(), route(cataloger.KindAtMostOnce, 1), Request{ID: "z"}).(Response); !ok || len(targets.Calls()) != sent+1 {
			t.Error("a new target isn't used")
		}
	})
}
