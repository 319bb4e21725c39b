package autoscaler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
)

var bounds = cataloger.Scaling{Min: 2, Max: 9, Boot: 4 * time.Second}

// Guards against numbers of targets that don't follow the need: too late up, too soon down, and
// out of bounds.
func TestDecide(t *testing.T) {
	const s = time.Second
	steady := State{Ordered: 4, ChangedAt: 0}
	busy, low := steady, steady
	busy.Busy, busy.BusySince = true, 90*s
	low.Low, low.LowSince = true, 80*s
	at := func(o Observation) Observation {
		o.At, o.Bounds, o.PlacesEach, o.Targets, o.Complete = 100*s, bounds, 8, 4, !o.Complete
		return o
	}
	short := at(Observation{Items: 32, Waiting: 40, Wait: 5 * s, Work: 100 * s})
	incomplete := at(Observation{Items: 5, Complete: true})
	shrunk := at(Observation{Items: 30})
	shrunk.Bounds.Max = 3
	raised := at(Observation{Items: 30})
	raised.Bounds.Min = 5
	justChanged := low
	justChanged.ChangedAt = 97 * s
	for name, c := range map[string]struct {
		state   State
		o       Observation
		targets int
	}{
		"all places in use, nothing waits": {steady, at(Observation{Items: 32}), 4},
		"work waits shortly":               {steady, at(Observation{Items: 32, Waiting: 8, Wait: 3 * s}), 4},
		"work waits longer than a boot":    {steady, at(Observation{Items: 32, Waiting: 9, Wait: 5 * s}), 6},
		"more than the bound allows":       {steady, at(Observation{Items: 32, Waiting: 900, Wait: 5 * s}), 9},
		"short work":                       {steady, short, 5},
		"calls wait at targets":            {busy, at(Observation{Calls: 50}), 7},
		"calls have just begun to wait":    {steady, at(Observation{Calls: 50}), 4},
		"low need for long":                {low, at(Observation{Items: 5}), 3},
		"low need since now":               {steady, at(Observation{Items: 5}), 4},
		"low need, but not long enough":    {State{Ordered: 4, Low: true, LowSince: 89 * s}, at(Observation{}), 4},
		"low need, items hold the places":  {low, at(Observation{Items: 22, Calls: -22}), 3},
		"items hold all places":            {low, at(Observation{Items: 25, Calls: -25}), 4},
		"low need, hosts are silent":       {low, incomplete, 4},
		"changed within the boot time":     {justChanged, at(Observation{}), 4},
		"at the minimum":                   {State{Ordered: 2, Low: true}, at(Observation{}), 2},
		"nothing ordered, none listed":     {State{}, Observation{At: 100 * s, Bounds: bounds, PlacesEach: 8, Complete: true}, 0},
		"nothing ordered, some listed":     {State{Low: true, LowSince: 80 * s}, at(Observation{}), 3},
		"fewer listed than before":         {State{Seen: 7, Low: true, LowSince: 80 * s}, at(Observation{}), 6},
		"the bound fell, items run":        {steady, shrunk, 4},
		"the bound rose":                   {steady, raised, 5},
	} {
		next, targets, change := Decide(c.state, c.o)
		before := c.state
		before.Seen = max(before.Seen, c.o.Targets)
		if targets != c.targets || change != (targets != before.current()) {
			t.Errorf("%s: %d targets, change %t, want %d", name, targets, change, c.targets)
		}
		if change && (next.Ordered != targets || next.ChangedAt != c.o.At) {
			t.Errorf("%s: state %+v", name, next)
		}
	}
}

// Guards against orders that leave the bounds, follow each other too fast, give places of running items
// away, or go up and down under a constant need.
func TestDecide_Properties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := cataloger.Scaling{Min: rapid.IntRange(0, 4).Draw(r, "min"), Boot: time.Duration(rapid.IntRange(0, 8000).Draw(r, "boot ms")) * time.Millisecond}
		b.Max = b.Min + rapid.IntRange(1, 8).Draw(r, "more")
		each, serving := rapid.IntRange(1, 8).Draw(r, "places each"), rapid.IntRange(1, b.Max).Draw(r, "serving")
		var s State
		var lastChange, now time.Duration
		var changes []int
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(100, 6000).Draw(r, "ms")) * time.Millisecond
			o := Observation{
				At: now, Bounds: b, PlacesEach: each, Targets: serving, Items: rapid.IntRange(0, serving*each).Draw(r, "items"), Calls: rapid.IntRange(0, 40).Draw(r, "calls"),
				Waiting: rapid.IntRange(0, 20).Draw(r, "waiting"), Wait: time.Duration(rapid.IntRange(0, 20).Draw(r, "wait")) * time.Second, Complete: rapid.Bool().Draw(r, "complete"),
			}
			before := s.current()
			next, targets, change := Decide(s, o)
			switch {
			case !change && next.Ordered != s.Ordered:
				r.Errorf("ordered %d without a change", next.Ordered)
			case !change:
			case targets < b.Min || targets > b.Max:
				r.Errorf("%d targets, bounds %+v", targets, b)
			case targets < before && targets*each < o.Items:
				r.Errorf("%d targets for %d items of %d places", targets, o.Items, each)
			case targets < before && !o.Complete:
				r.Errorf("fewer targets while hosts are silent")
			case now-lastChange < b.Boot:
				r.Errorf("change %s after the last one", now-lastChange)
			case targets < before-1 && before <= b.Max:
				r.Errorf("%d targets after %d", targets, before)
			}
			if change {
				lastChange, serving = now, targets
			}
			s = next
		}
		// Under a constant need the number goes one way only.
		load := rapid.IntRange(0, b.Max*each).Draw(r, "constant load")
		for range 400 {
			now += time.Second
			o := Observation{At: now, Bounds: b, PlacesEach: each, Targets: serving, Complete: true}
			o.Items = min(load, serving*each)
			o.Waiting = load - o.Items
			if o.Waiting > 0 {
				o.Wait = time.Minute
			}
			next, targets, change := Decide(s, o)
			if change {
				changes, serving = append(changes, targets-s.current()), targets
			}
			s = next
		}
		up, down := false, false
		for n, c := range changes {
			up, down = up || c > 0, down || c < 0 && n > 0
		}
		if up && down {
			r.Errorf("changes %v at a load of %d with %d places each, bounds %+v", changes, load, each, b)
		}
		if want := divideUp(load, each); s.current() < min(want, b.Max) {
			r.Errorf("%d targets for a load of %d", s.current(), load)
		}
	})
}

// Guards against demand that is counted twice or for the wrong zone.
func TestAddDemand(t *testing.T) {
	subjects := map[Subject]Observation{
		{"s", "a"}: {Targets: 2, PlacesEach: 4}, {"s", "b"}: {Targets: 1, PlacesEach: 4},
	}
	addDemand("s", subjects, demandsOf(5, 7))
	want := map[Subject]Observation{
		{"s", "a"}: {Targets: 2, PlacesEach: 4, Items: 3, Calls: 3, Waiting: 6, Wait: 2 * time.Second, Work: 12 * time.Second},
		{"s", "b"}: {Targets: 1, PlacesEach: 4, Items: 2, Waiting: 6, Wait: 2 * time.Second, Work: 12 * time.Second},
	}
	if diff := cmp.Diff(want, subjects); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
