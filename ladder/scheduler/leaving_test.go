package scheduler

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// leavers are targets that say from some time on that they leave.
type leavers struct {
	mutex  sync.Mutex
	leaves map[identifier.TargetName]bool
	// saidAt has when each of them first said so.
	saidAt map[identifier.TargetName]time.Time
}

func (l *leavers) leave(names ...identifier.TargetName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, name := range names {
		l.leaves[name] = true
	}
}

// mark adds to b what the target says.
func (l *leavers) mark(t cataloger.Target, b faker.Behaviour) faker.Behaviour {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b.Leaves = l.leaves[t.Name]
	if _, said := l.saidAt[t.Name]; b.Leaves && !said {
		l.saidAt[t.Name] = time.Now().Add(b.Delay)
	}
	return b
}

// Guards against items and scoring calls that reach targets that have said that they leave.
func TestRun_NoItemReachesATargetAfterItSaidThatItLeaves(t *testing.T) {
	const items = 30
	breakingOff := func(c sender.Call) faker.Behaviour {
		b := healthy()
		b.BreakAfter = c.ResumeAfter + 7
		return b
	}
	for name, c := range map[string]struct {
		leave  []identifier.TargetName
		answer func(c sender.Call) faker.Behaviour
	}{
		"engine, in the head of a stream":  {[]identifier.TargetName{"a"}, func(sender.Call) faker.Behaviour { return healthy() }},
		"engine that breaks off":           {[]identifier.TargetName{"a", "b"}, breakingOff},
		"engine that refuses":              {[]identifier.TargetName{"a"}, func(sender.Call) faker.Behaviour { return faker.Behaviour{Status: 503, NotRun: true} }},
		"engine that fails":                {[]identifier.TargetName{"a"}, func(sender.Call) faker.Behaviour { return faker.Behaviour{Status: 500} }},
		"scorer":                           {[]identifier.TargetName{"x"}, func(sender.Call) faker.Behaviour { return healthy() }},
		"an engine and a scorer":           {[]identifier.TargetName{"b", "y"}, breakingOff},
		"all engines, then others come":    {[]identifier.TargetName{"a", "b", "c"}, breakingOff},
		"all scorers, then another comes":  {[]identifier.TargetName{"x", "y"}, func(sender.Call) faker.Behaviour { return healthy() }},
		"all targets, then others come up": {[]identifier.TargetName{"a", "b", "c", "x", "y"}, breakingOff},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leavers{leaves: make(map[identifier.TargetName]bool), saidAt: make(map[identifier.TargetName]time.Time)}
			engines := func(target cataloger.Target, call sender.Call, _ int) faker.Behaviour {
				l.mutex.Lock()
				leaves := l.leaves[target.Name]
				l.mutex.Unlock()
				if !leaves {
					return healthy()
				}
				return l.mark(target, c.answer(call))
			}
			inTestEnv(t, false, engines, func(t *testing.T, env *testEnv) {
				env.targets.TellDepartures(env.catalog)
				env.scorers = func(target cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
					return l.mark(target, faker.Behaviour{Delay: 50 * time.Millisecond})
				}
				env.submit(t, items)
				time.Sleep(300 * time.Millisecond)
				l.leave(c.leave...)
				time.Sleep(3 * time.Second)
				env.catalog.TargetSink().Apply([]storer.Record{
					{Key: "d", Value: []byte("engines")}, {Key: "e", Value: []byte("engines")}, {Key: "z", Value: []byte("scorers")},
				})
				time.Sleep(12 * time.Second)
				for _, call := range env.targets.Calls() {
					if at, said := l.saidAt[call.Target]; said && call.At.After(at) {
						t.Errorf("%s got %s %s after it said that it leaves", call.Target, call.Call.ID, call.At.Sub(at))
					}
				}
				results := env.results(t)
				for id, r := range results {
					if diff := cmp.Diff(expectedText(20), r.Text); diff != "" {
						t.Errorf("%s: %s", id, diff)
					}
				}
				if len(results) != items || len(l.saidAt) == 0 {
					t.Errorf("%d of %d items are done, %d targets said that they leave", len(results), items, len(l.saidAt))
				}
			})
		})
	}
}
