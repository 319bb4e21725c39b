// Package autoscaler decides how many targets a service needs in a zone, and orders them.
package autoscaler

import (
	"math"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
)

const (
	// lowShare is the share of the places below which fewer targets would do.
	lowShare = 0.7
	// lowBoots times the boot time, and minLowTime, is how long the need must have been low
	// before a target is given back. A step of the users' trainers lasts several seconds.
	lowBoots, minLowTime = 3, 10 * time.Second
)

// Observation is what is known of a service in a zone at a moment.
type Observation struct {
	// At is the time of a clock that never goes back.
	At     time.Duration
	Bounds cataloger.Scaling
	// Targets is how many targets serve, and PlacesEach how many requests each of them runs
	// at once, at least 1.
	Targets, PlacesEach int
	// Items and Calls are the places in use; more than there are if calls wait at targets.
	Items, Calls int
	// Waiting is how many items wait for a place, and Wait how long they will have waited.
	Waiting int
	Wait    time.Duration
	// Work is the time that one place would need for the waiting items; 0 if unknown.
	Work time.Duration
	// Complete is set if most hosts have reported their demand. Without them, the need may be
	// greater.
	Complete bool
}

// State is what the decisions about a service in a zone depend on besides an Observation.
type State struct {
	// Ordered is the number that this host has ordered last; 0 if none.
	Ordered int
	// Seen is the greatest number of targets that has been listed as long as none was
	// ordered. Some may be missing from the list for a while.
	Seen int
	// ChangedAt is when the number was ordered last, or when this host began to decide: its
	// predecessor may have ordered another number until then.
	ChangedAt time.Duration
	// Busy is set while work waits, since BusySince; Low while the need is low, since LowSince.
	Busy, Low           bool
	BusySince, LowSince time.Duration
}

// Decide returns the state after an observation and, if another number of targets than before is
// to be ordered, that number and true.
func Decide(s State, o Observation) (next State, targets int, change bool) {
	if s.Ordered == 0 {
		s.Seen = max(s.Seen, o.Targets)
	}
	current := s.current()
	inUse, places := o.Items+o.Calls, current*o.PlacesEach
	waiting := o.Waiting + max(0, inUse-o.Targets*o.PlacesEach)
	s.Busy, s.BusySince = since(s.Busy, s.BusySince, waiting > 0, o.At)
	s.Low, s.LowSince = since(s.Low, s.LowSince, o.Complete && float64(inUse+o.Waiting) < lowShare*float64(places), o.At)
	if current == 0 || o.At-s.ChangedAt < o.Bounds.Boot {
		return s, current, false
	}
	targets = current
	switch {
	case s.Busy && max(o.Wait, o.At-s.BusySince) > o.Bounds.Boot:
		targets = max(current, divideUp(min(inUse+o.Waiting, o.usefulPlaces(places)), o.PlacesEach))
	case s.Low && o.At-s.LowSince >= max(lowBoots*o.Bounds.Boot, minLowTime):
		targets = current - 1
	}
	targets = min(max(targets, o.Bounds.Min), o.Bounds.Max)
	if targets == current || targets < current && targets*o.PlacesEach < o.Items {
		return s, current, false
	}
	s.Ordered, s.ChangedAt, s.Low, s.Busy = targets, o.At, false, false
	return s, targets, true
}

// usefulPlaces returns how many places, and at least one more than there are, finish the waiting
// work within a boot time. Further ones would be paid and become idle at once.
func (o Observation) usefulPlaces(places int) int {
	if o.Work <= 0 || o.Bounds.Boot <= 0 {
		return math.MaxInt
	}
	return max(places+1, o.Items+o.Calls, int(min(o.Work/o.Bounds.Boot, math.MaxInt32))+1)
}

// current returns the number of targets in force, as far as it is known.
func (s State) current() int {
	if s.Ordered > 0 {
		return s.Ordered
	}
	return s.Seen
}

// since returns whether a condition holds now, and since when it has.
func since(held bool, heldSince time.Duration, holds bool, now time.Duration) (bool, time.Duration) {
	if holds && held {
		return true, heldSince
	}
	return holds, now
}

func divideUp(n, by int) int { return (n + by - 1) / by }
