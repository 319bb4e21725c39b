package forwarder

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// listed is a decoder of entries that names the target alone.
type listed struct{}

func (listed) Published(string, []byte) (cataloger.PublishedRecord, error) { return nil, nil }

func (listed) Target(key string, _ []byte) (cataloger.Target, error) {
	return cataloger.Target{Name: identifier.TargetName(key), Service: "s", State: cataloger.StateReady}, nil
}

// verdicts counts breaks and convicts at three.
type verdicts struct{ breaks atomic.Int32 }

func (v *verdicts) BrokeOff(identifier.Fingerprint, cataloger.Target) { v.breaks.Add(1) }
func (v *verdicts) Convicted(identifier.Fingerprint) bool             { return v.breaks.Load() >= 3 }

type behave = func(t cataloger.Target, c sender.Call, n int) faker.Behaviour

// newForwarder has targets a, b and c.
func newForwarder(b behave) (*Forwarder, *faker.Targets) {
	clock := clockwork.NewRealClock()
	c := cataloger.New(clock, listed{})
	var records []storer.Record
	for _, name := range []string{"a", "b", "c"} {
		records = append(records, storer.Record{Key: name, Value: []byte("x")})
	}
	c.TargetSink().Reset(records)
	targets := faker.NewTargets(clock, b)
	return New(clock, c, targets, &verdicts{}, router.NewSharedRandom(1)), targets
}

func route(kind cataloger.RouteKind, attempts int) cataloger.Route {
	return cataloger.Route{Name: "r", Kind: kind, Shares: []cataloger.TrafficShare{{Service: "s", Weight: 1}}, Timeout: time.Second, MaxAttempts: attempts}
}

func TestForward_Outcomes(t *testing.T) {
	first := func(b, then faker.Behaviour) behave {
		return func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
			if n == 0 {
				return b
			}
			return then
		}
	}
	good := faker.Behaviour{Delay: 5 * time.Millisecond}
	cases := map[string]struct {
		behave behave
		route  cataloger.Route
		want   string
		calls  int
	}{
		"answered":                           {first(good, good), route(cataloger.KindAtMostOnce, 3), "whole 200", 1},
		"refused, another takes it":          {first(faker.Behaviour{NotRun: true, Status: 503}, good), route(cataloger.KindAtMostOnce, 1), "whole 200", 2},
		"no answer, may not be repeated":     {first(faker.Behaviour{Silent: true}, good), route(cataloger.KindAtMostOnce, 3), "unknown timed out", 1},
		"no answer, may be repeated":         {first(faker.Behaviour{Silent: true}, good), route(cataloger.KindIdempotent, 2), "whole 200", 2},
		"failed, may not be repeated":        {first(faker.Behaviour{Status: 500}, good), route(cataloger.KindAtMostOnce, 3), "whole 500", 1},
		"failed, may be repeated":            {first(faker.Behaviour{Status: 500}, good), route(cataloger.KindIdempotent, 2), "whole 200", 2},
		"failed, attempts used up":           {first(faker.Behaviour{Status: 500}, good), route(cataloger.KindIdempotent, 1), "whole 500", 1},
		"refused by all":                     {first(faker.Behaviour{NotRun: true, Status: 503}, faker.Behaviour{NotRun: true, Status: 503}), route(cataloger.KindAtMostOnce, 3), "not run", -1},
		"slower than the route allows":       {first(faker.Behaviour{Delay: 2 * time.Second}, faker.Behaviour{Delay: 2 * time.Second}), route(cataloger.KindAtMostOnce, 1), "unknown timed out", 1},
		"a client's error isn't tried again": {first(faker.Behaviour{Status: 409}, good), route(cataloger.KindIdempotent, 3), "whole 409", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, targets := newForwarder(c.behave)
				begun := time.Now()
				o := f.Forward(context.Background(), c.route, Request{ID: "x", Method: "POST", Path: "/p", TimeLeft: 3 * time.Second})
				if diff := cmp.Diff(c.want, describe(o)); diff != "" {
					t.Error(diff)
				}
				if took := time.Since(begun); took > time.Second+100*time.Millisecond {
					t.Errorf("took %s", took)
				}
				if got := len(targets.Calls()); c.calls >= 0 && got != c.calls {
					t.Errorf("%d targets were asked, want %d", got, c.calls)
				}
				for _, sent := range targets.Calls() {
					if sent.Call.TimeLeft > time.Second {
						t.Errorf("a target was given %s", sent.Call.TimeLeft)
					}
				}
				synctest.Wait()
			})
		})
	}
}

// A service that answers scorers in 120 ms and lookups in 20 ms: a lookup whose
// target is slow for once goes to a second one in time for its own goal.
func TestForward_ASecondTargetIsAskedInTimeForTheRoutesGoal(t *testing.T) {
	b := func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		if c.Path == "/score" {
			return faker.Behaviour{Delay: 120 * time.Millisecond}
		}
		return faker.Behaviour{Delay: 20 * time.Millisecond}
	}
	synctest.Test(t, func(t *testing.T) {
		slow := -1
		f, targets := newForwarder(func(target cataloger.Target, c sender.Call, n int) faker.Behaviour {
			if n == slow {
				return faker.Behaviour{Delay: 220 * time.Millisecond}
			}
			return b(target, c, n)
		})
		scores, lookups := route(cataloger.KindIdempotent, 2), route(cataloger.KindIdempotent, 2)
		scores.LatencyGoal, lookups.LatencyGoal = 400*time.Millisecond, 150*time.Millisecond
		for range 40 {
			f.Forward(context.Background(), scores, Request{ID: "s", Method: "POST", Path: "/score", TimeLeft: 2 * time.Second})
		}
		slow = len(targets.Calls())
		begun := time.Now()
		o := f.Forward(context.Background(), lookups, Request{ID: "x", Method: "GET", Path: "/lookup", TimeLeft: 2 * time.Second})
		if took := time.Since(begun); describe(o) != "whole 200" || took > lookups.LatencyGoal {
			t.Errorf("%s after %s, the goal is %s", describe(o), took, lookups.LatencyGoal)
		}
		time.Sleep(time.Second)
	})
}

func describe(o Outcome) string {
	switch o := o.(type) {
	case Response:
		return fmt.Sprintf("whole %d", o.Status)
	case NotRun:
		if o.RetryAfter <= 0 {
			return "not run, without a time"
		}
		return "not run"
	case Unknown:
		if o.TimedOut {
			return "unknown timed out"
		}
		return "unknown"
	case *Stream:
		return "stream"
	}
	return "?"
}

func TestForward_ARequestThatCrashesTargetsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, targets := newForwarder(func(cataloger.Target, sender.Call, int) faker.Behaviour { return faker.Behaviour{BreaksOff: true} })
		for range 10 {
			f.Forward(context.Background(), route(cataloger.KindIdempotent, 2), Request{ID: "x"})
		}
		if diff := cmp.Diff("not run", describe(f.Forward(context.Background(), route(cataloger.KindIdempotent, 2), Request{ID: "x"}))); diff != "" {
			t.Error(diff)
		}
		if n := len(targets.Calls()); n > 4 {
			t.Errorf("it was run %d times", n)
		}
		synctest.Wait()
	})
}

func TestForward_ACallerThatLeavesStopsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newForwarder(func(cataloger.Target, sender.Call, int) faker.Behaviour { return faker.Behaviour{Silent: true} })
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		begun := time.Now()
		f.Forward(ctx, route(cataloger.KindIdempotent, 3), Request{ID: "x"})
		if took := time.Since(begun); took > 110*time.Millisecond {
			t.Errorf("took %s", took)
		}
		synctest.Wait()
	})
}

func readAll(s *Stream) (numbers []identifier.EventNumber, err error) {
	for {
		e, err := s.Next()
		if err != nil {
			return numbers, err
		}
		numbers = append(numbers, e.Number)
	}
}

func TestForwardStream_GoesOnWhereItBrokeOff(t *testing.T) {
	for resumable, want := range map[bool]int{true: 5, false: 2} {
		synctest.Test(t, func(t *testing.T) {
			f, targets := newForwarder(func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
				b := faker.Behaviour{Events: 5, Gap: 10 * time.Millisecond}
				if n == 0 {
					b.BreakAfter = 2
				}
				return b
			})
			r := route(cataloger.KindStream, 3)
			r.Resumable = resumable
			s, ok := f.ForwardStream(context.Background(), r, Request{ID: "x"}).(*Stream)
			if !ok {
				t.Fatal("no stream")
			}
			signature := s.Response().Signature
			numbers, err := readAll(s)
			s.Close()
			if len(numbers) != want || errors.Is(err, io.EOF) != resumable {
				t.Errorf("resumable %t: %v, %v", resumable, numbers, err)
			}
			for n, number := range numbers {
				if number != identifier.EventNumber(n+1) {
					t.Errorf("event %d is %d", n, number)
				}
			}
			if s.Response().Signature != signature {
				t.Error("the signature has changed")
			}
			if targets.Running() != 0 {
				t.Errorf("%d streams are still open", targets.Running())
			}
		})
	}
}

func TestForward_AnUnexpectedErrorEndsOneAttempt(t *testing.T) {
	for attempts, want := range map[int]string{1: "unknown", 2: "whole 200"} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := newForwarder(func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
				return faker.Behaviour{Panics: n == 0}
			})
			o := f.Forward(context.Background(), route(cataloger.KindIdempotent, attempts), Request{ID: "x"})
			if diff := cmp.Diff(want, describe(o)); diff != "" {
				t.Error(diff)
			}
			for _, name := range []identifier.TargetName{"a", "b", "c"} {
				if n := f.router.InFlight(name); n != 0 {
					t.Errorf("%d requests count as open at %s", n, name)
				}
			}
		})
	}
}

// Streams with gaps between their events, at all targets or at the first alone.
func TestForwardStream_StalledOnesGoOnElsewhereAndSlowOnesAreNotCut(t *testing.T) {
	const events, usual = 6, 10 * time.Millisecond
	cases := map[string]struct {
		first, others time.Duration
		resumable     bool
		// limit bounds the whole stream.
		limit time.Duration
		whole bool
	}{
		"the first stalls, it may go on elsewhere": {20 * time.Second, usual, true, 2 * time.Second, true},
		"the first stalls, it may not":             {20 * time.Second, usual, false, 30 * time.Second, false},
		"all are slow but sound":                   {700 * time.Millisecond, 700 * time.Millisecond, true, 6 * time.Second, true},
		"all are very slow":                        {1900 * time.Millisecond, 1900 * time.Millisecond, true, 20 * time.Second, true},
		"slow, and may not go on elsewhere":        {1900 * time.Millisecond, usual, false, 20 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, targets := newForwarder(func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
					b := faker.Behaviour{Events: events, Gap: c.others}
					if n == 0 {
						b.Gap = c.first
					}
					return b
				})
				r := route(cataloger.KindStream, 3)
				r.Resumable, r.Timeout = c.resumable, 30*time.Second
				begun := time.Now()
				s, ok := f.ForwardStream(context.Background(), r, Request{ID: "x"}).(*Stream)
				if !ok {
					t.Fatal("no stream")
				}
				numbers, err := readAll(s)
				s.Close()
				if whole := len(numbers) == events && errors.Is(err, io.EOF); whole != c.whole {
					t.Errorf("%v, %v", numbers, err)
				}
				if took := time.Since(begun); took > c.limit {
					t.Errorf("took %s", took)
				}
				for n, number := range numbers {
					if number != identifier.EventNumber(n+1) {
						t.Errorf("event %d is %d", n, number)
					}
				}
				if targets.Running() != 0 {
					t.Errorf("%d streams are still open", targets.Running())
				}
			})
		})
	}
}
