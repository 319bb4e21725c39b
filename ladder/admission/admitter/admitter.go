// Package admitter decides when a request may be sent to the targets of a service that have too
// little room for all requests, and which request is sent first.
package admitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/admission/order"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Each host limits its own sends in flight to a service by what the targets' responses tell. The
// limits of all hosts then fit the targets' places without a message between hosts. This is in
// force only from the first sign of too little room; without one, each request is admitted at
// once and only counted.

// signRetention is how long admission stays in force after the last sign of too little room. It is
// part of the specification.
const signRetention = 2 * time.Second

// Catalog knows the targets and the configuration; *cataloger.Cataloger implements it.
type Catalog interface {
	ReadyTargets(s identifier.ServiceName) []cataloger.Target
	Configuration() *cataloger.Configuration
}

// Options are the settings of an Admitter.
type Options struct {
	// Hosts returns how many hosts may send to a service, this one included; nil means one.
	Hosts    func() int
	Recorder *recorder.Recorder
}

// Request is what the admitter has to know of a request.
type Request struct {
	ID      string
	Account identifier.AccountName
	// Owed requests are part of a batch job. They wait for as long as needed and are never
	// refused.
	Owed     bool
	Priority int
	// Arrived is when the request arrived at this host.
	Arrived time.Time
	// Goal is when a response has its full value for the last time; zero if there is no goal.
	Goal time.Time
	// Deadline is the time limit or, for owed requests, when results are due; zero if none.
	Deadline time.Time
	// GroupLeft returns how many items of the request's group have no result; it may be nil. It
	// must not call the admitter.
	GroupLeft func() int
	// Again is set for a request that a target has refused.
	Again bool
}

// Refused means that a request can't be served in time. It has not been sent.
type Refused struct {
	// RetryAfter is when there will be room by the estimate of this host.
	RetryAfter time.Duration
}

// Error implements error.
func (r Refused) Error() string {
	return fmt.Sprintf("too little room to be served in time, retry after %s", r.RetryAfter)
}

// Result is how an admitted request ended.
type Result struct {
	Verdict Verdict
	// Load is what the target has reported; nil if nothing.
	Load *sender.Load
}

// Verdict is what a result tells about the target's room.
type Verdict int

const (
	// VerdictNone tells nothing: the request was not sent or got no response.
	VerdictNone Verdict = iota
	// VerdictServed means that the target has run the request.
	VerdictServed
	// VerdictRefused means that the target has refused the request for want of room.
	VerdictRefused
)

// Admitter admits requests to services. It is safe for concurrent use.
type Admitter struct {
	clock   clockwork.Clock
	catalog Catalog
	options Options

	mutex    sync.Mutex
	services map[identifier.ServiceName]*service
	// sequence numbers the requests that wait.
	sequence uint64
}

// New returns an Admitter that has seen no sign of too little room.
func New(clock clockwork.Clock, c Catalog, o Options) *Admitter {
	if o.Hosts == nil {
		o.Hosts = func() int { return 1 }
	}
	if o.Recorder == nil {
		o.Recorder = recorder.New()
	}
	return &Admitter{clock: clock, catalog: c, options: o, services: make(map[identifier.ServiceName]*service)}
}

// applies reports whether requests to a service are admitted here at all: items and streams are
// placed on engines by their own rules.
func (a *Admitter) applies(name identifier.ServiceName) bool {
	c := a.catalog.Configuration()
	if c == nil {
		return false
	}
	s, ok := c.Services[name]
	return ok && s.Engine == nil
}

// serviceOf returns the state of a service. The caller holds the mutex.
func (a *Admitter) serviceOf(name identifier.ServiceName) *service {
	s, ok := a.services[name]
	if !ok {
		s = newService(a, name)
		a.services[name] = s
	}
	return s
}

// InForce reports whether admission to a service is in force.
func (a *Admitter) InForce(name identifier.ServiceName) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, ok := a.services[name]
	return ok && s.inForce(a.clock.Now())
}

// Admit waits until the request may be sent to a target of the service. The error is Refused if
// it can't be served in time, or that of ctx. A returned ticket must be ended with Done; it is nil
// for services whose requests are not admitted here.
func (a *Admitter) Admit(ctx context.Context, name identifier.ServiceName, r Request) (*Ticket, error) {
	if !a.applies(name) {
		return nil, nil
	}
	w, err := a.enqueue(name, r)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.decided:
		return w.ticket, w.err
	case <-ctx.Done():
		return a.abandon(w, ctx.Err())
	}
}

// enqueue returns a waiter that may already be decided.
func (a *Admitter) enqueue(name identifier.ServiceName, r Request) (*waiter, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	s := a.serviceOf(name)
	s.recordArrival(now, r)
	a.sequence++
	w := &waiter{
		service: s, id: r.ID, groupLeft: r.GroupLeft, since: now, decided: make(chan struct{}),
		request: order.Request{
			Account: r.Account, Owed: r.Owed, Priority: r.Priority, Arrived: r.Arrived, Goal: r.Goal, Deadline: r.Deadline,
			Sequence: a.sequence, Work: s.stats.work(now),
		},
	}
	if !s.inForce(now) {
		s.grant(now, w)
		return w, nil
	}
	if err := s.add(now, w); err != nil {
		return nil, err
	}
	return w, nil
}

// abandon removes a waiter whose caller has stopped waiting, unless it has just been decided.
func (a *Admitter) abandon(w *waiter, cause error) (*Ticket, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	select {
	case <-w.decided:
		return w.ticket, w.err
	default:
	}
	w.service.remove(w)
	w.service.count("abandoned")
	return nil, cause
}

// Count admits a send at once, so that it counts as in flight. The ticket is nil for services
// whose requests are not admitted here.
func (a *Admitter) Count(name identifier.ServiceName, r Request) *Ticket {
	if !a.applies(name) {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.serviceOf(name).issue(a.clock.Now(), order.Flow{Account: r.Account, Owed: r.Owed})
}

// Prefers reports whether a request should be sent to a target rather than to one for which
// Prefers is false: it has not just refused one for want of room, and this host has fewer requests
// there than it may have connections. It is true while admission is not in force.
func (a *Admitter) Prefers(name identifier.ServiceName, t identifier.TargetName) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	s, ok := a.services[name]
	if !ok || !s.inForce(now) {
		return true
	}
	known := s.targets[t]
	return known == nil || (!known.fullUntil.After(now) && (s.maxConnections() == 0 || known.inFlight < s.maxConnections()))
}

// MaxConnections returns how many connections to the target this host may have, 0 if there is no
// bound. There is one only while admission to its service is in force.
func (a *Admitter) MaxConnections(t cataloger.Target) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, ok := a.services[t.Service]
	if !ok || !s.inForce(a.clock.Now()) {
		return 0
	}
	return s.maxConnections()
}

// Ticket is the permission to send one request. Its methods do nothing on a nil ticket.
type Ticket struct {
	service *service
	flow    order.Flow
	sentAt  time.Time
	target  identifier.TargetName
	done    bool
}

// Sent records to which target the request is sent.
func (t *Ticket) Sent(to identifier.TargetName) {
	if t == nil {
		return
	}
	a := t.service.admitter
	a.mutex.Lock()
	defer a.mutex.Unlock()
	t.target, t.sentAt = to, a.clock.Now()
	t.service.targetOf(to).inFlight++
}

// Done ends the request. Only the first call counts.
func (t *Ticket) Done(r Result) {
	if t == nil {
		return
	}
	a := t.service.admitter
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if t.done {
		return
	}
	t.done = true
	t.service.end(a.clock.Now(), t, r)
}
