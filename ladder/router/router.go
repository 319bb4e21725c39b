// Package router chooses the target for a request.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// What the sender itself sees is fresh: its open requests, and when the pieces
// of their answers come. A target's load report lags, so it is only a hint
// with an age. The latency of whole requests was tried first and rejected: it
// is known only when a slow request has ended, many requests too late.

// Candidate is a target that may take a request.
type Candidate struct {
	Target identifier.TargetName
	// Service names the group of equal targets that it is compared with.
	Service identifier.ServiceName
	Zone    identifier.ZoneName
	// ReportedLoad is the target's own last word on its running and waiting work.
	ReportedLoad int
	// LoadReportedAt is when that word came.
	LoadReportedAt time.Time
	// Slots is how many requests it runs at once; 0 is not known.
	Slots int
	// Warm says that a connection to it is open and idle. Opening one costs
	// the target time.
	Warm bool
}

// Random gives the random numbers of a choice; *rand.Rand is one.
type Random interface{ IntN(n int) int }

// Router chooses among candidates by what it has seen of them.
type Router struct {
	clock  clockwork.Clock
	random Random
	policy Policy

	mutex    sync.Mutex
	seen     map[identifier.TargetName]*observation
	services map[identifier.ServiceName]*usual
	// turn counts choices, for RoundRobin.
	turn int
}

// usual is what is usual among the targets of a service.
type usual struct {
	// first is the time to an attempt's first piece, next between two pieces.
	first, next pace
}

// observation is what the router has seen of one target.
type observation struct {
	service *usual
	// inFlight is the router's own open requests there; never negative.
	inFlight int
	// followed is how many of them are followed; never negative.
	followed int
	// heard is when a piece came last, or when the first open followed request
	// was sent there if that is later.
	heard time.Time
	// flowing says that a piece has come since heard was last set by sending.
	flowing bool
	// piece is when a piece came last.
	piece time.Time
	// slowness is a moving average of how many times the usual time its
	// pieces took.
	slowness float64
	// own and reported are for Batched.
	own      ownPace
	reported reportedLoad
}

// slownessWeight is the weight of one new piece in a target's slowness.
const slownessWeight = 0.3

// New returns a Router with the given policy.
func New(clock clockwork.Clock, random Random, policy Policy) *Router {
	return &Router{
		clock: clock, random: random, policy: policy,
		seen:     make(map[identifier.TargetName]*observation),
		services: make(map[identifier.ServiceName]*usual),
	}
}

// NewRandom returns a seeded source for New.
func NewRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// SharedRandom is a source that many tasks may use.
type SharedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// NewSharedRandom returns a seeded SharedRandom.
func NewSharedRandom(seed uint64) *SharedRandom { return &SharedRandom{random: NewRandom(seed)} }

// IntN implements Random.
func (s *SharedRandom) IntN(n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(n)
}

// Monitoring says whether the pieces of an answer are told to Heard. Of a target
// with no followed request, silence says nothing.
type Monitoring bool

// The two ways.
const (
	Monitored   Monitoring = true
	Unmonitored Monitoring = false
)

// Choose picks one of the candidates and counts the request as open there;
// Done closes it. It returns false if there are none.
func (r *Router) Choose(candidates []Candidate, f Monitoring) (identifier.TargetName, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(candidates) == 0 {
		return "", false
	}
	c := candidates[r.pick(candidates)]
	o := r.observationOf(c)
	if f == Monitored && o.followed == 0 {
		o.heard, o.flowing = r.clock.Now(), false
	}
	if f == Monitored {
		o.followed++
	}
	o.inFlight++
	return c.Target, true
}

// RecordChunk notes that a piece of a followed answer has come, gap after the one before it
// or, if it is the first, after the request was sent.
func (r *Router) RecordChunk(target identifier.TargetName, gap time.Duration, first bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.seen[target]
	if !ok || o.followed == 0 {
		return
	}
	p := &o.service.next
	if first {
		p = &o.service.first
	}
	if p.count > 0 && p.mean > 0 {
		ratio := gap.Seconds() / p.mean
		o.slowness += slownessWeight * (ratio - o.slowness)
		if !first {
			o.own.learn(ratio / crowding(o.load(r.clock)))
		}
	}
	p.learn(gap.Seconds())
	o.heard, o.flowing = r.clock.Now(), true
	o.piece = o.heard
}

// failureSlowness is what a failed attempt adds to a target's slowness; with
// avoidanceHalfLife it keeps others away for a few seconds.
const failureSlowness = 8

// RecordFailure notes that an attempt at the target has failed for a reason of the
// target's.
func (r *Router) RecordFailure(target identifier.TargetName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o, ok := r.seen[target]; ok {
		o.slowness += failureSlowness
		o.heard = r.clock.Now()
	}
}

// ReceivedWithin says whether the target has given a piece of any followed answer within a time.
func (r *Router) ReceivedWithin(target identifier.TargetName, within time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.seen[target]
	return ok && r.clock.Since(o.piece) < within
}

// Slowness is how many times longer than usual the target's answers take now.
func (r *Router) Slowness(target identifier.TargetName) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.seen[target]
	if !ok {
		return 1
	}
	return r.slownessOf(o)
}

// MeanChunkInterval is the mean time between two pieces of the service's answers, 0 while
// nothing is known.
func (r *Router) MeanChunkInterval(service identifier.ServiceName) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if u, ok := r.services[service]; ok {
		return seconds(u.next.mean)
	}
	return 0
}

// SilenceTimeout is how long an attempt at the service may be silent, before or
// after its first piece, until another target would likely be sooner. It is 0
// while nothing is known.
func (r *Router) SilenceTimeout(service identifier.ServiceName, begun bool) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	u, ok := r.services[service]
	if !ok {
		return 0
	}
	if !begun {
		return seconds(u.first.limit())
	}
	return seconds(u.next.limit())
}

// Done closes a request that Choose has opened in the same way.
func (r *Router) Done(target identifier.TargetName, f Monitoring) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.seen[target]
	if !ok {
		return
	}
	o.inFlight = max(0, o.inFlight-1)
	if f == Monitored {
		o.followed = max(0, o.followed-1)
	}
}

// Forget drops what was seen of a target that is gone.
func (r *Router) Forget(target identifier.TargetName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o, ok := r.seen[target]; ok && o.inFlight == 0 {
		delete(r.seen, target)
	}
}

// InFlight returns the router's own open requests at a target.
func (r *Router) InFlight(target identifier.TargetName) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o, ok := r.seen[target]; ok {
		return o.inFlight
	}
	return 0
}

func (r *Router) observationOf(c Candidate) *observation {
	o, ok := r.seen[c.Target]
	if !ok {
		u, known := r.services[c.Service]
		if !known {
			u = &usual{}
			r.services[c.Service] = u
		}
		o = &observation{service: u, slowness: 1, own: ownPace{steady: 1}}
		r.seen[c.Target] = o
	}
	return o
}
