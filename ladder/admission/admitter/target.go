package admitter

import (
	"math"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// target is what is known of one target.
type target struct {
	// inFlight counts the open sends of this host there; never negative.
	inFlight int
	// load is the last report, at loadAt.
	load   sender.Load
	loadAt time.Time
	// fullUntil is until when the target is expected to refuse, after it has refused.
	fullUntil time.Time
}

const (
	// defaultPlaces is assumed for targets that don't say how many requests they run at once.
	defaultPlaces = 4
	// reportAge is how long a reported load says how many places are taken. A host sends at least
	// once within that time if requests wait.
	reportAge = 2 * maxPause
	// refillShare is the part of a target's queue that must have been worked off before it gets
	// requests again after a refusal.
	refillShare = 0.5
	// refusedQueue is the length of the queue of a target that refuses and reports no load, as a
	// multiple of its places. The users' plain targets have four times as many.
	refusedQueue = 4
	// maxFull bounds the time for which a target gets no requests after a refusal.
	maxFull = 500 * time.Millisecond
	// minConnections is how many connections to a target a host may always have.
	minConnections = 1
	// forgetTargets is the least number of known targets from which those that are idle and not listed
	// are forgotten.
	forgetTargets = 64
)

func (s *service) targetOf(name identifier.TargetName) *target {
	t, ok := s.targets[name]
	if ok {
		return t
	}
	if ready := s.admitter.catalog.ReadyTargets(s.name); len(s.targets) >= max(forgetTargets, 2*len(ready)) {
		s.forgetUnlisted(ready)
	}
	t = &target{}
	s.targets[name] = t
	return t
}

// forgetUnlisted forgets the targets that are idle and not listed.
func (s *service) forgetUnlisted(ready []cataloger.Target) {
	listed := make(map[identifier.TargetName]bool, len(ready))
	for _, t := range ready {
		listed[t.Name] = true
	}
	for n, t := range s.targets {
		if t.inFlight == 0 && !listed[n] {
			delete(s.targets, n)
		}
	}
}

// places returns how many requests the targets of the service run at once.
func (s *service) places() (sum int) {
	for _, t := range s.admitter.catalog.ReadyTargets(s.name) {
		sum += s.placesOf(t.Name, t.Slots)
	}
	return sum
}

func (s *service) placesOf(name identifier.TargetName, listed int) int {
	if known := s.targets[name]; known != nil && known.load.Places > 0 {
		return known.load.Places
	}
	if listed > 0 {
		return listed
	}
	return defaultPlaces
}

// hasRoom reports whether under half of the places are taken, as far as is known. Targets without
// a recent report are taken to be like the others.
func (s *service) hasRoom(now time.Time) bool {
	taken, places := 0, 0
	for _, t := range s.admitter.catalog.ReadyTargets(s.name) {
		known := s.targets[t.Name]
		if known == nil || now.Sub(known.loadAt) > reportAge {
			continue
		}
		n := s.placesOf(t.Name, t.Slots)
		places += n
		taken += min(n, max(known.inFlight, known.load.Running+known.load.Waiting))
	}
	return places == 0 && 2*s.inFlight < s.places() || 2*taken < places
}

// maxConnections returns how many connections to a target this host may have, 0 if there is no
// bound: its part of the service's bound, but no more than the requests that it may have there,
// since a target with a long queue bears fewer connections than the bound.
func (s *service) maxConnections() int {
	c := s.admitter.catalog.Configuration()
	if c == nil || c.Services[s.name].MaxConnections == 0 {
		return 0
	}
	part := c.Services[s.name].MaxConnections / max(1, s.admitter.options.Hosts())
	return max(minConnections, min(part, s.busiest()))
}

// busiest returns how many requests this host may have at one target at most.
func (s *service) busiest() (most int) {
	for _, t := range s.admitter.catalog.ReadyTargets(s.name) {
		most = max(most, int(math.Ceil(limitHeadroom*float64(s.placesOf(t.Name, t.Slots)))))
	}
	return most
}

// most is the upper bound of the limits.
func (s *service) most() float64 {
	most := math.Ceil(limitHeadroom * float64(s.places()))
	if c := s.maxConnections(); c > 0 {
		most = min(most, float64(c*len(s.admitter.catalog.ReadyTargets(s.name))))
	}
	return max(1, most)
}

func (s *service) listedPlaces(name identifier.TargetName) int {
	for _, t := range s.admitter.catalog.ReadyTargets(s.name) {
		if t.Name == name {
			return s.placesOf(name, t.Slots)
		}
	}
	return s.placesOf(name, 0)
}

// refillTime returns how long a target that has refused takes to work off part of its queue.
func (s *service) refillTime(now time.Time, l *sender.Load, places int) time.Duration {
	waiting := refusedQueue * places
	if l != nil {
		waiting = l.Waiting
	}
	rounds := refillShare * float64(waiting) / float64(places)
	return min(time.Duration(rounds*float64(s.stats.work(now))), maxFull)
}

// opensAt returns when a target is expected to accept requests: at once, unless all have refused.
func (s *service) opensAt() (at time.Time) {
	for n, t := range s.admitter.catalog.ReadyTargets(s.name) {
		known := s.targets[t.Name]
		if known == nil {
			return time.Time{}
		}
		if n == 0 || known.fullUntil.Before(at) {
			at = known.fullUntil
		}
	}
	return at
}
