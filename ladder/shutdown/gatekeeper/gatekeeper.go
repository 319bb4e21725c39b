// Package gatekeeper decides what becomes of requests while their host stops: which ones it still
// takes, which ones it sends elsewhere, and when those that are left get their last response.
package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// ErrStopping is the cause with which the contexts of requests end that a stopping host can't
// finish. The outcome of those that have been sent to a target is open.
var ErrStopping = errors.New("the host stops before the request has ended")

// RetryAfter is sent with a refusal: other hosts can take the request at once.
const RetryAfter = 0

// Request is a request that a host may take.
type Request struct {
	Route identifier.RouteName
	// Limit is the longest time that the request may take; 0 if unknown.
	Limit time.Duration
}

// Decision is Taken or Refused.
//
//sumtype:decl
type Decision interface{ decision() }

// Taken means that the request can end on this host.
type Taken struct{}

// Refused means that the request would probably be cut off. It must not be sent to a target, so
// that its caller may try another host.
type Refused struct {
	// Left is the time until the host's last responses.
	Left time.Duration
	// Usual is how long requests of the route have lately taken; 0 if unknown.
	Usual time.Duration
}

func (Taken) decision()   {}
func (Refused) decision() {}

// decide decides on a request of a host that responds for another time left. Requests of its route
// have lately taken up to usual, 0 if that is unknown.
func decide(r Request, left, usual time.Duration) Decision {
	switch {
	case left <= 0:
	case r.Limit > 0 && r.Limit <= left:
		return Taken{}
	case usual > 0 && usual <= left:
		return Taken{}
	}
	return Refused{Left: left, Usual: usual}
}

// Gatekeeper follows one host from its start to its end.
type Gatekeeper struct {
	clock clockwork.Clock
	// ended ends with the last responses.
	ended context.Context
	end   context.CancelCauseFunc

	mutex sync.Mutex
	// lastResponses is zero until the host stops.
	lastResponses time.Time
	longest       map[identifier.RouteName]*recentMax
}

// New returns a Gatekeeper of a host that takes all requests until Stop is called.
func New(clock clockwork.Clock) *Gatekeeper {
	g := &Gatekeeper{clock: clock, longest: make(map[identifier.RouteName]*recentMax)}
	g.ended, g.end = context.WithCancelCause(context.Background())
	return g
}

// Stop makes the host refuse requests that would outlast left.
func (g *Gatekeeper) Stop(left time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lastResponses = g.clock.Now().Add(left)
}

// End ends the contexts of all requests with ErrStopping.
func (g *Gatekeeper) End() { g.end(ErrStopping) }

// Decide decides whether the host takes a request that begins now.
func (g *Gatekeeper) Decide(r Request) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.lastResponses.IsZero() {
		return Taken{}
	}
	var usual time.Duration
	if m, ok := g.longest[r.Route]; ok {
		usual = m.value()
	}
	return decide(r, g.lastResponses.Sub(g.clock.Now()), usual)
}

// Observe records how long a request that ran to its end has taken.
func (g *Gatekeeper) Observe(route identifier.RouteName, took time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.longest[route]
	if !ok {
		m = &recentMax{}
		g.longest[route] = m
	}
	m.add(took)
}

// Context returns a context that ends with parent, or with ErrStopping.
func (g *Gatekeeper) Context(parent context.Context) (ctx context.Context, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(parent)
	stop := context.AfterFunc(g.ended, func() { cancelCause(ErrStopping) })
	return ctx, func() {
		stop()
		cancelCause(nil)
	}
}

// recentWindow is how many durations a recentMax covers at least.
const recentWindow = 64

// recentMax is the longest of the newest durations.
type recentMax struct {
	count             int
	current, previous time.Duration
}

func (m *recentMax) add(d time.Duration) {
	if m.count == recentWindow {
		m.previous, m.current, m.count = m.current, 0, 0
	}
	m.current = max(m.current, d)
	m.count++
}

func (m *recentMax) value() time.Duration { return max(m.current, m.previous) }
