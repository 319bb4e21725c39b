package forwarder

import (
	"context"
	"io"
	"slices"
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

// limitedTargets denies requests to some targets.
type limitedTargets struct {
	*faker.Targets
	clock clockwork.Clock
	// limited targets have a limit; they deny requests until the given time, which is
	// zero if they accept them.
	limited map[identifier.TargetName]time.Time
	// forgetful targets don't say in advance that they will deny.
	forgetful bool
}

// Allowance implements sender.Sender.
func (l *limitedTargets) Allowance(t cataloger.Target) sender.Allowance {
	until, ok := l.limited[t.Name]
	if !ok {
		return sender.Allowance{}
	}
	a := sender.Allowance{Limited: true}
	if !l.forgetful {
		a.Wait = max(0, until.Sub(l.clock.Now()))
	}
	return a
}

// Send implements sender.Sender.
func (l *limitedTargets) Send(ctx context.Context, t cataloger.Target, c sender.Call) (*sender.Response, error) {
	if l.limited[t.Name].After(l.clock.Now()) {
		return nil, sender.ErrLimited
	}
	return l.Targets.Send(ctx, t, c)
}

// newLimitedForwarder returns a Forwarder with the targets a, b and c, of which some deny
// requests for a time.
func newLimitedForwarder(b behaviourFunc, denied map[identifier.TargetName]time.Duration, forgetful bool) (*Forwarder, *limitedTargets) {
	clock := clockwork.NewRealClock()
	catalog := cataloger.New(clock, nameDecoder{})
	var records []storer.Record
	for _, name := range []string{"a", "b", "c"} {
		records = append(records, storer.Record{Key: name, Value: []byte("x")})
	}
	catalog.TargetSink().Reset(records)
	targets := &limitedTargets{Targets: faker.NewTargets(clock, b), clock: clock, limited: make(map[identifier.TargetName]time.Time), forgetful: forgetful}
	for name, d := range denied {
		targets.limited[name] = clock.Now().Add(d)
	}
	return New(clock, catalog, &targetList{}, targets, &countingBlocklist{}, knownOrigins{}, router.NewSharedRandom(1)), targets
}

func quick(cataloger.Target, sender.Call, int) faker.Behaviour {
	return faker.Behaviour{Delay: 5 * time.Millisecond}
}

func TestForward_RefusesAtOnceWhatTheLimitsDoNotAllow(t *testing.T) {
	const wait = 700 * time.Millisecond
	all := map[identifier.TargetName]time.Duration{"a": wait, "b": wait, "c": 2 * wait}
	for _, forgetful := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, targets := newLimitedForwarder(quick, all, forgetful)
			start := time.Now()
			o := f.Forward(context.Background(), route(cataloger.KindAtMostOnce, 1), Request{ID: "x", Method: "POST", Path: "/p", TimeLeft: 3 * time.Second})
			refusal, ok := o.(NotRun)
			if !ok || (!forgetful && refusal.RetryAfter != wait) {
				t.Errorf("outcome %+v, want a refusal for %s", o, wait)
			}
			if took := time.Since(start); !forgetful && took > 0 {
				t.Errorf("took %s", took)
			}
			if n := len(targets.Calls()); n != 0 {
				t.Errorf("%d calls were sent", n)
			}
			synctest.Wait()
		})
	}
}

func TestForward_GoesElsewhereWhenALimitIsReached(t *testing.T) {
	for _, forgetful := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, targets := newLimitedForwarder(quick, map[identifier.TargetName]time.Duration{"a": time.Minute, "b": time.Minute}, forgetful)
			for range 10 {
				o := f.Forward(context.Background(), route(cataloger.KindAtMostOnce, 1), Request{ID: "x", Method: "POST", Path: "/p", TimeLeft: 3 * time.Second})
				if diff := cmp.Diff("response 200", describe(o)); diff != "" {
					t.Error(diff)
				}
			}
			if slices.ContainsFunc(targets.Calls(), func(c faker.SentCall) bool { return c.Target != "c" }) {
				t.Error("a call reached a target that denies it")
			}
			synctest.Wait()
		})
	}
}

// Guards against hedges, which nobody needs, that use up the limits of targets in need.
func TestForward_SendsNoHedgeToALimitedTarget(t *testing.T) {
	silent := func(cataloger.Target, sender.Call, int) faker.Behaviour { return faker.Behaviour{Silent: true} }
	synctest.Test(t, func(t *testing.T) {
		f, targets := newLimitedForwarder(silent, map[identifier.TargetName]time.Duration{"a": 0, "b": 0, "c": 0}, false)
		f.Forward(context.Background(), route(cataloger.KindIdempotent, 3), Request{ID: "x", Method: "POST", Path: "/p", TimeLeft: time.Second})
		if n := len(targets.Calls()); n != 1 {
			t.Errorf("%d calls to limited targets, want 1", n)
		}
		synctest.Wait()
	})
}

// Guards against streams that break off because the other targets have reached their limits
// at that moment.
func TestForwardStream_WaitsForALimitRatherThanBreakOff(t *testing.T) {
	behave := func(t cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
		b := faker.Behaviour{Events: 6, Gap: 10 * time.Millisecond}
		if t.Name == "a" {
			b.BreakAfter = 3
		}
		return b
	}
	synctest.Test(t, func(t *testing.T) {
		f, targets := newLimitedForwarder(behave, map[identifier.TargetName]time.Duration{"b": 600 * time.Millisecond, "c": 900 * time.Millisecond}, false)
		r := route(cataloger.KindStream, 3)
		r.Resumable, r.Timeout = true, 5*time.Second
		s, ok := f.ForwardStream(context.Background(), r, Request{ID: "x", Method: "POST", Path: "/p", TimeLeft: 5 * time.Second}).(*Stream)
		if !ok {
			t.Fatal("no stream")
		}
		defer s.Close()
		targets.limited["a"] = time.Now().Add(time.Minute)
		var numbers []identifier.EventNumber
		for {
			e, err := s.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) {
					t.Error(err)
				}
				break
			}
			numbers = append(numbers, e.Number)
		}
		if diff := cmp.Diff([]identifier.EventNumber{1, 2, 3, 4, 5, 6}, numbers); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a pause that overflows after many refusals, so that the call ends early.
func TestForward_TriesUntilItsTimeLimit(t *testing.T) {
	const limit = time.Minute
	refusing := func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Status: 503, NotRun: true, Delay: time.Millisecond}
	}
	synctest.Test(t, func(t *testing.T) {
		f, targets := newForwarder(refusing)
		r := route(cataloger.KindAtMostOnce, 1)
		r.Timeout = limit
		start := time.Now()
		if o, ok := f.Forward(context.Background(), r, Request{ID: "x", Method: "POST", Path: "/p"}).(NotRun); !ok {
			t.Errorf("outcome %+v", o)
		}
		if took := time.Since(start); took < limit-2*maxRetryPause || took > limit {
			t.Errorf("took %s, want about %s", took, limit)
		}
		// Three targets in each maxRetryPause, and a few times more at first.
		if n, most := len(targets.Calls()), 3*int(limit/maxRetryPause+5); n > most {
			t.Errorf("%d calls in %s, want at most %d", n, limit, most)
		}
		synctest.Wait()
	})
}
