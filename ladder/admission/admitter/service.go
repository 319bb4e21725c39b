package admitter

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/admission/order"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// service is the state of one service. The admitter's mutex guards it.
type service struct {
	admitter *Admitter
	name     identifier.ServiceName
	// signAt is when the last sign of too little room was seen; forced is set while admission is
	// in force, since beganAt.
	signAt, beganAt time.Time
	forced          bool
	// inFlight counts the open sends of this host, owedInFlight those of batch jobs among them;
	// never negative.
	inFlight, owedInFlight int
	// all bounds inFlight and owed bounds owedInFlight.
	all, owed limit
	targets   map[identifier.TargetName]*target
	queue     []*waiter
	shares    shares
	stats     stats
	// timer triggers the next review; nil if none is due.
	timer clockwork.Timer
	// groupsReadAt is when GroupLeft of the waiting requests was last read.
	groupsReadAt time.Time
	report       report
}

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
	// forgetTargets is the number of known targets from which those that are idle and not listed
	// are forgotten.
	forgetTargets = 64
)

func newService(a *Admitter, name identifier.ServiceName) *service {
	return &service{
		admitter: a, name: name, targets: make(map[identifier.TargetName]*target),
		all: limit{policy: allPolicy}, owed: limit{policy: owedPolicy}, shares: newShares(),
	}
}

func (s *service) targetOf(name identifier.TargetName) *target {
	t, ok := s.targets[name]
	if ok {
		return t
	}
	if len(s.targets) >= forgetTargets {
		for n, other := range s.targets {
			if other.inFlight == 0 {
				delete(s.targets, n)
			}
		}
	}
	t = &target{}
	s.targets[name] = t
	return t
}

// inForce reports whether admission is in force, and ends it if its time is over. While requests
// wait here it goes on, since all of them would be sent at once.
func (s *service) inForce(now time.Time) bool {
	if s.forced && len(s.queue) == 0 && now.Sub(s.signAt) > signRetention {
		s.forced = false
		klog.InfoS("admission ends", "service", s.name, "limit", s.all.value, "in-flight", s.inFlight)
	}
	return s.forced
}

// recordSign puts admission in force and reports whether it was not before.
func (s *service) recordSign(now time.Time, cause string) (begins bool) {
	begins = !s.inForce(now)
	s.signAt = now
	if !begins {
		return false
	}
	s.forced, s.beganAt = true, now
	hosts := max(1, s.admitter.options.Hosts())
	start := float64(s.places()) / float64(hosts)
	s.all.start(start)
	s.owed.start(start)
	klog.InfoS("admission begins", "service", s.name, "cause", cause, "limit", start, "in-flight", s.inFlight, "hosts", hosts)
	return true
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

// issue returns a ticket for a send of the flow.
func (s *service) issue(now time.Time, f order.Flow) *Ticket {
	s.inFlight++
	if f.Owed {
		s.owedInFlight++
	}
	return &Ticket{service: s, flow: f, sentAt: now}
}

// end learns from the result of a send and admits others.
func (s *service) end(now time.Time, t *Ticket, r Result) {
	s.inFlight--
	if t.flow.Owed {
		s.owedInFlight--
	}
	if t.target != "" {
		s.targetOf(t.target).inFlight--
		s.learn(now, t, r)
	}
	if s.inForce(now) {
		s.pump(now)
	}
}

// learn adapts the limits to what a response tells.
func (s *service) learn(now time.Time, t *Ticket, r Result) {
	known := s.targetOf(t.target)
	if r.Load != nil {
		known.load, known.loadAt = *r.Load, now
	}
	places := s.listedPlaces(t.target)
	took := now.Sub(t.sentAt)
	switch r.Verdict {
	case VerdictNone:
	case VerdictRefused:
		s.count("target-refused")
		known.fullUntil = now.Add(s.refillTime(now, r.Load, places))
		if !s.recordSign(now, "a target refuses") {
			s.cut(now, refusalCut)
		}
	case VerdictServed:
		s.stats.record(now, took, r.Load, places)
		known.fullUntil = time.Time{}
		c := crowdingOf(r.Load, places)
		if c.queue > 1 && s.recordSign(now, "more requests wait than run") {
			return
		}
		if s.forced {
			trip := s.stats.trip(now)
			s.all.adapt(now, trip, c, s.inFlight+1, s.most())
			s.owed.adapt(now, trip, c, s.owedInFlight+1, s.most())
		}
	}
}

func (s *service) listedPlaces(name identifier.TargetName) int {
	for _, t := range s.admitter.catalog.ReadyTargets(s.name) {
		if t.Name == name {
			return s.placesOf(name, t.Slots)
		}
	}
	return s.placesOf(name, 0)
}

func (s *service) cut(now time.Time, factor float64) {
	trip := s.stats.trip(now)
	s.all.cut(now, trip, factor)
	s.owed.cut(now, trip, factor)
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

func (s *service) recordArrival(now time.Time, r Request) {
	if !r.Owed && !r.Again {
		s.stats.arrivals.add(now, 0)
	}
}

func (s *service) count(what string) { s.admitter.options.Recorder.Count("admission-" + what) }

// publish sets the values that show the state of the service.
func (s *service) publish() {
	r := s.admitter.options.Recorder
	r.Set("admission-queue-"+string(s.name), int64(len(s.queue)))
	r.Set("admission-limit-percent-"+string(s.name), int64(100*s.all.value))
	r.Set("admission-owed-limit-percent-"+string(s.name), int64(100*s.owed.value))
	r.Set("admission-in-flight-"+string(s.name), int64(s.inFlight))
}

func (s *service) observeWait(f order.Flow, wait time.Duration) {
	class := identifier.ClassLive
	if f.Owed {
		class = identifier.ClassRollout
	}
	s.admitter.options.Recorder.ObserveDuration(recorder.Series{Class: class, Measure: recorder.MeasureAdmission}, wait)
}
