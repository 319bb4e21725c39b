// Package router chooses the target for a request.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The router relies on what the sender itself observes: its open requests and the
// arrival times of response chunks. Load reports lag behind, so they are used
// only while recent. The latency of whole requests is not used: it is known only
// after a slow request has ended, when many others have been sent there.

// Candidate is a target that can take a request.
type Candidate struct {
	Target identifier.TargetName
	// Service is the group of equivalent targets it is compared with.
	Service identifier.ServiceName
	Zone    identifier.ZoneName
	// ReportedLoad is the last number of running and waiting requests that the
	// target has reported.
	ReportedLoad   int
	LoadReportedAt time.Time
	// Slots is how many requests it runs at once; 0 if unknown.
	Slots int
	// Warm means that an idle connection to the target is open. Opening one
	// costs the target time.
	Warm bool
}

// Random is a source of random numbers, such as *rand.Rand.
type Random interface{ IntN(n int) int }

// Router chooses among candidates by what it has observed of them.
type Router struct {
	clock  clockwork.Clock
	random Random
	policy Policy

	mutex    sync.Mutex
	targets  map[identifier.TargetName]*observation
	services map[identifier.ServiceName]*serviceStats
	// turn counts the choices of RoundRobin.
	turn int
}

// serviceStats has the usual response times of a service's targets.
type serviceStats struct {
	// firstChunk is the time from sending to the first chunk, nextChunk the time
	// between two chunks.
	firstChunk, nextChunk intervalStats
}

// observation is what the router knows of one target.
type observation struct {
	service *serviceStats
	// inFlight counts the router's open requests there; never negative.
	inFlight int
	// monitored counts those of them whose chunks are recorded; never negative.
	monitored int
	// lastProgress is when the last chunk arrived, when the last attempt failed
	// or when the first open monitored request was sent, whichever is latest.
	lastProgress time.Time
	// receiving means that a chunk has arrived since lastProgress was last set
	// by sending.
	receiving bool
	// lastChunk is when the last chunk arrived.
	lastChunk time.Time
	// slowness is a moving average of chunk intervals relative to the
	// service's mean.
	slowness float64
	// baseline and reported are used by BatchAware only.
	baseline baseline
	reported reportedLoad
}

// slownessWeight is the weight of a new chunk in a target's slowness.
const slownessWeight = 0.3

// New returns a Router with the given policy.
func New(clock clockwork.Clock, random Random, policy Policy) *Router {
	return &Router{
		clock: clock, random: random, policy: policy,
		targets:  make(map[identifier.TargetName]*observation),
		services: make(map[identifier.ServiceName]*serviceStats),
	}
}

// NewRandom returns a seeded source for New.
func NewRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// SharedRandom is a random source that is safe for concurrent use.
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

// Monitoring says whether the arriving chunks of a response are passed to
// RecordChunk. For a target without monitored requests, silence means nothing.
type Monitoring bool

// The values of Monitoring.
const (
	Monitored   Monitoring = true
	Unmonitored Monitoring = false
)

// Choose picks one of the candidates and counts the request as open there until
// Done. It returns false if there are no candidates.
func (r *Router) Choose(candidates []Candidate, m Monitoring) (identifier.TargetName, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(candidates) == 0 {
		return "", false
	}
	c := candidates[r.pick(candidates)]
	o := r.observationOf(c)
	if m == Monitored && o.monitored == 0 {
		o.lastProgress, o.receiving = r.clock.Now(), false
	}
	if m == Monitored {
		o.monitored++
	}
	o.inFlight++
	return c.Target, true
}

// RecordChunk records the arrival of a chunk of a monitored response. gap is the
// time since the previous chunk or, for the first one, since the request was sent.
func (r *Router) RecordChunk(target identifier.TargetName, gap time.Duration, first bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.targets[target]
	if !ok || o.monitored == 0 {
		return
	}
	p := &o.service.nextChunk
	if first {
		p = &o.service.firstChunk
	}
	if p.count > 0 && p.mean > 0 {
		ratio := gap.Seconds() / p.mean
		o.slowness += slownessWeight * (ratio - o.slowness)
		if !first {
			o.baseline.record(ratio / batchFactor(o.load(r.clock)))
		}
	}
	p.record(gap.Seconds())
	o.lastProgress, o.receiving = r.clock.Now(), true
	o.lastChunk = o.lastProgress
}

// failurePenalty is added to a target's slowness for a failed attempt. Given
// avoidanceHalfLife, it keeps other requests away for a few seconds.
const failurePenalty = 8

// RecordFailure records an attempt that the target caused to fail.
func (r *Router) RecordFailure(target identifier.TargetName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o, ok := r.targets[target]; ok {
		o.slowness += failurePenalty
		o.lastProgress = r.clock.Now()
	}
}

// ReceivedWithin reports whether a chunk of any monitored response from the target
// has arrived within the given time.
func (r *Router) ReceivedWithin(target identifier.TargetName, within time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.targets[target]
	return ok && r.clock.Since(o.lastChunk) < within
}

// Slowness returns the current response time of the target divided by the usual one.
func (r *Router) Slowness(target identifier.TargetName) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.targets[target]
	if !ok {
		return 1
	}
	return r.slownessOf(o)
}

// MeanChunkInterval returns the mean time between two chunks of the service's
// responses, or 0 before the first.
func (r *Router) MeanChunkInterval(service identifier.ServiceName) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if u, ok := r.services[service]; ok {
		return seconds(u.nextChunk.mean)
	}
	return 0
}

// SilenceTimeout returns how long an attempt at the service may be silent until
// another target would probably respond sooner: before its first chunk or, if
// receiving, between two chunks. It is 0 while nothing is known of the service.
func (r *Router) SilenceTimeout(service identifier.ServiceName, receiving bool) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	u, ok := r.services[service]
	if !ok {
		return 0
	}
	if !receiving {
		return seconds(u.firstChunk.upperBound())
	}
	return seconds(u.nextChunk.upperBound())
}

// Done ends a request counted by Choose; m must be the same as there.
func (r *Router) Done(target identifier.TargetName, m Monitoring) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.targets[target]
	if !ok {
		return
	}
	o.inFlight = max(0, o.inFlight-1)
	if m == Monitored {
		o.monitored = max(0, o.monitored-1)
	}
}

// Forget drops what is known of a target that is gone.
func (r *Router) Forget(target identifier.TargetName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o, ok := r.targets[target]; ok && o.inFlight == 0 {
		delete(r.targets, target)
	}
}

// InFlight returns the number of the router's open requests at the target.
func (r *Router) InFlight(target identifier.TargetName) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o, ok := r.targets[target]; ok {
		return o.inFlight
	}
	return 0
}

func (r *Router) observationOf(c Candidate) *observation {
	o, ok := r.targets[c.Target]
	if !ok {
		u, known := r.services[c.Service]
		if !known {
			u = &serviceStats{}
			r.services[c.Service] = u
		}
		o = &observation{service: u, slowness: 1, baseline: baseline{slowness: 1}}
		r.targets[c.Target] = o
	}
	return o
}
