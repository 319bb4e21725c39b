// Package forwarder takes live requests to targets: it picks the target,
// repeats what may be repeated and gives up in time.
package forwarder

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Request is one attempt of a caller.
type Request struct {
	ID     string
	Method string
	// Path is the path and query, unchanged.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// TimeLeft is how long the caller waits; 0 is not known.
	TimeLeft time.Duration
	// ResumeAfter is the last event that the caller has.
	ResumeAfter identifier.EventNumber
}

// Outcome is a Whole, a Stream, a NotRun or an Unknown.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Response is a target's whole answer.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
	// Target has given the answer.
	Target identifier.TargetName
}

// NotRun says that the request has not run and never will.
type NotRun struct {
	// RetryAfter is when it is worth trying again.
	RetryAfter time.Duration
	// Reason is for logs.
	Reason string
}

// Unknown says that the request may have run.
type Unknown struct {
	// TimedOut says that the time was over.
	TimedOut bool
	Reason   string
}

func (Response) outcome() {}
func (*Stream) outcome()  {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

const (
	// retryShare is the share of successes that may be repeated, and
	// retryBurst how many may be at once.
	retryShare, retryBurst = 0.2, 20
	// leastPatience bounds from below how long an answer may be silent before
	// a second target is tried; most answers take longer than a few ms.
	leastPatience = 40 * time.Millisecond
	// firstPatience holds until the usual pace is known. It is a third of the
	// shortest goal of both users' sheets (150 ms).
	firstPatience = 50 * time.Millisecond
	// goalParts is into how many parts a route's goal is shared: one for the
	// first target, as much for the second.
	goalParts = 2
	// fullPause is the pause before a service is asked again whose targets
	// have all refused.
	fullPause = 25 * time.Millisecond
	// fullRetryAfter is what callers are told when all targets are full. The
	// users' plain calls take 20 to 80 ms, and queues are four rounds long.
	fullRetryAfter = 200 * time.Millisecond
	// leastTimeLeft is the least time in which it is worth to send a request.
	leastTimeLeft = 5 * time.Millisecond
)

// Blocklist says which requests crash targets; *convicter.Convicter does.
type Blocklist interface {
	// BrokeOff notes that a target has broken off while it ran the request.
	BrokeOff(f identifier.Fingerprint, t cataloger.Target)
	Convicted(f identifier.Fingerprint) bool
}

// convictedRetryAfter is what callers of a convicted request are told.
const convictedRetryAfter = 30 * time.Second

// Forwarder sends requests to targets.
type Forwarder struct {
	clock       clockwork.Clock
	catalog     *cataloger.Cataloger
	sender      sender.Sender
	router      *router.Router
	budget      *limiter.RetryBudget
	convictions Blocklist
	random      router.Random
	room        *room
}

// New returns a Forwarder. Many tasks use random.
func New(clock clockwork.Clock, c *cataloger.Cataloger, s sender.Sender, v Blocklist, random router.Random) *Forwarder {
	return &Forwarder{
		clock: clock, catalog: c, sender: s, convictions: v, random: random,
		router: router.New(clock, random, router.LeastExpectedWait{}),
		budget: limiter.NewRetryBudget(retryShare, retryBurst), room: newRoom(sharedAnswerBytes),
	}
}

// serviceOf draws one of the route's services by their weights.
func (f *Forwarder) serviceOf(r cataloger.Route) identifier.ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	switch {
	case len(r.Shares) == 0:
		return ""
	case total <= 0:
		return r.Shares[0].Service
	}
	draw := f.random.IntN(total)
	for _, s := range r.Shares {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// candidates returns the service's targets but those that were tried.
func (f *Forwarder) candidates(s identifier.ServiceName, tried map[identifier.TargetName]bool) []router.Candidate {
	targets := f.catalog.ReadyTargets(s)
	list := make([]router.Candidate, 0, len(targets))
	for _, t := range targets {
		if !tried[t.Name] {
			list = append(list, router.Candidate{Target: t.Name, Service: t.Service, Zone: t.Zone, Warm: f.sender.Warm(t)})
		}
	}
	return list
}
