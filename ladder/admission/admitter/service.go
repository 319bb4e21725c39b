package admitter

import (
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/admission/order"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
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

func newService(a *Admitter, name identifier.ServiceName) *service {
	return &service{
		admitter: a, name: name, targets: make(map[identifier.TargetName]*target),
		all: limit{policy: allPolicy}, owed: limit{policy: owedPolicy}, shares: newShares(),
	}
}

// inForce reports whether admission is in force, and ends it if its time is over. While requests
// wait here it stays in force, since all of them would be sent at once otherwise.
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
	// No target may be listed, such as while the last one leaves.
	start := float64(max(s.places(), defaultPlaces)) / float64(hosts)
	s.all.start(now, start)
	s.owed.start(now, start)
	klog.InfoS("admission begins", "service", s.name, "cause", cause, "limit", start, "in-flight", s.inFlight, "hosts", hosts)
	return true
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

func (s *service) cut(now time.Time, factor float64) {
	trip := s.stats.trip(now)
	s.all.cut(now, trip, factor)
	s.owed.cut(now, trip, factor)
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
