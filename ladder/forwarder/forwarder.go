// Package forwarder sends live requests to targets: it chooses the target, retries
// what may be repeated and observes the time limits.
package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/admission/admitter"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/origins/arbiter"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
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
	// Reservation is the memory held for the request; large responses are added to it.
	// Its owner releases it. It may be nil.
	Reservation *budgeter.Reservation
	// TimeLeft is how long the caller will wait; 0 if unknown.
	TimeLeft time.Duration
	// ResumeAfter is the last event that the caller has received.
	ResumeAfter identifier.EventNumber
	// Owed requests are part of a batch job. They are sent again whatever happened to
	// targets under them, since they don't crash targets by themselves. Their sender
	// repeats them, so that they don't wait here for targets that have refused them. The
	// time limit of their route does not apply.
	Owed bool
	// Resumes is the attempt that brought the first event of a stream that the caller
	// takes up.
	Resumes identifier.StreamID
	// Account is the client account of the request; empty if it has none.
	Account identifier.AccountName
	// Priority is that of the account's requests; 0 is the most urgent. The route's applies to
	// requests without an account.
	Priority int
	// StillAllowed is called before each attempt; no further one is made once it returns false.
	// It must be safe for concurrent use. nil means always.
	StillAllowed func() bool
	// Due is when the results of an owed request's job are due; zero if they have no such time.
	Due time.Time
	// GroupLeft returns how many items of an owed request's group have no result; nil if it has
	// no group.
	GroupLeft func() int
}

// Outcome is a Response, a *Stream, a NotRun, a NotAllowed or an Unknown.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Response is a target's complete response.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
	// Target is the one that responded.
	Target identifier.TargetName
}

// NotRun means that the request has not run and never will.
type NotRun struct {
	// RetryAfter is when it is worth trying again.
	RetryAfter time.Duration
	// Reason is for logs.
	Reason string
}

// Unknown means that the request may have run.
type Unknown struct {
	// TimedOut means that a time limit has expired.
	TimedOut bool
	Reason   string
}

// reasonMayHaveRun is the Reason of an Unknown after an attempt that may have run.
const reasonMayHaveRun = "an attempt without a response may have run"

func (Response) outcome() {}
func (*Stream) outcome()  {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

const (
	// retryShare is the number of retries per success; retryBurst is how many
	// retries may accumulate.
	retryShare, retryBurst = 0.2, 20
	// minHedgeDelay bounds the hedge delay from below, since most responses
	// take longer than a few milliseconds.
	minHedgeDelay = 40 * time.Millisecond
	// initialHedgeDelay is used until the usual response time is known. It is a
	// third of the shortest latency goal in both users' settings, 150 ms.
	initialHedgeDelay = 50 * time.Millisecond
	// goalParts divides a route's latency goal into equal parts: one for the
	// first target, one for the second.
	goalParts = 2
	// retryPause is the pause before the targets of a service are tried again
	// after all have refused. It doubles each time, up to maxRetryPause.
	retryPause, maxRetryPause = 25 * time.Millisecond, 200 * time.Millisecond
	// overloadRetryAfter is sent to callers when all targets are full. The
	// users' plain calls take 20 to 80 ms, and a queue holds four times as many
	// calls as run at once.
	overloadRetryAfter = 200 * time.Millisecond
	// maxDenials is how many targets may refuse a permit for one request before only
	// targets without a limit are tried.
	maxDenials = 4
	// minTimeLeft is the least remaining time for which a request is still sent.
	minTimeLeft = 5 * time.Millisecond
)

// Blocklist knows which requests crash targets; *blocklister.Blocklister implements it.
type Blocklist interface {
	// BrokeOff records that the target failed without a response while it ran
	// the request.
	BrokeOff(f identifier.Fingerprint, t cataloger.Target)
	// Succeeded records that a target has run the request to its end.
	Succeeded(f identifier.Fingerprint)
	// Convicted reports whether the request must not be sent to any target.
	Convicted(f identifier.Fingerprint) bool
}

// Origins knows where streams began; *registrar.Registrar implements it.
type Origins interface {
	// Record keeps the origin of a stream, before its first event is passed on, and returns what
	// is known of the stream after all hosts have lost their memory. It may correct what was
	// recorded before.
	Record(ctx context.Context, o messenger.StreamOrigin, corrects bool) arbiter.Evidence
	// Announce lets other hosts know the origin of a stream whose first event is passed on.
	Announce(o messenger.StreamOrigin)
	// Find returns the origin of a stream, which may have begun at another host, or nil if
	// it is unknown.
	Find(ctx context.Context, id identifier.StreamID) *messenger.StreamOrigin
	// FindArchived returns the origin of a stream that no host knows, or nil. If it has no
	// record, the stream is taken to be of the service.
	FindArchived(ctx context.Context, id identifier.StreamID, s identifier.ServiceName) *messenger.StreamOrigin
	// Preferred returns the software version at which streams should begin now, and false if
	// that makes no difference.
	Preferred(s identifier.ServiceName) (arbiter.Preference, bool)
}

// blockedRetryAfter is sent to callers of a blocked request.
const blockedRetryAfter = 30 * time.Second

// Forwarder sends requests to targets.
type Forwarder struct {
	clock   clockwork.Clock
	catalog *cataloger.Cataloger
	// targets updates the catalog's list of targets.
	targets   storer.Refresher
	sender    sender.Sender
	router    *router.Router
	budget    *limiter.RetryBudget
	blocklist Blocklist
	origins   Origins
	random    router.Random
	memory    *memoryBudget
	admitter  Admitter
	meter     Meter
	counter   Counter
}

// New returns a Forwarder. random must be safe for concurrent use.
func New(clock clockwork.Clock, c *cataloger.Cataloger, l storer.Refresher, s sender.Sender, b Blocklist, o Origins, random router.Random, options ...Option) *Forwarder {
	f := &Forwarder{
		clock: clock, catalog: c, targets: l, sender: s, blocklist: b, origins: o, random: random,
		router: router.New(clock, random, router.LeastExpectedWait{}),
		budget: limiter.NewRetryBudget(retryShare, retryBurst), memory: newMemoryBudget(clock, defaultBudgetBytes),
		admitter: admitter.New(clock, c, admitter.Options{}),
		meter:    noMeter{}, counter: noCounter{},
	}
	for _, set := range options {
		set(f)
	}
	return f
}
