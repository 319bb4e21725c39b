// Package router chooses the target for a request.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The sender's own counts and latencies are fresh; a target's load report
// lags, so it is only a hint with an age.

// Candidate is a target that may take a request.
type Candidate struct {
	Target identifier.TargetName
	Zone   identifier.ZoneName
	// Reported is the target's own last word on its running and waiting work.
	Reported int
	// ReportedAt is when that word came.
	ReportedAt time.Time
}

// Random gives the random numbers of a choice; *rand.Rand is one.
type Random interface{ IntN(n int) int }

// Router chooses among candidates by what it has seen of them.
type Router struct {
	clock  clockwork.Clock
	random Random
	policy Policy

	mutex sync.Mutex
	seen  map[identifier.TargetName]*observation
	// turn counts choices, for RoundRobin.
	turn int
}

// observation is what the router has seen of one target.
type observation struct {
	// inFlight is the router's own open requests there; never negative.
	inFlight int
	// latency is a moving average of whole requests, in seconds.
	latency float64
	// updated is when latency was last changed.
	updated time.Time
}

// latencyWeight is the weight of one new latency in the moving average.
const latencyWeight = 0.2

// New returns a Router with the given policy.
func New(clock clockwork.Clock, random Random, policy Policy) *Router {
	return &Router{clock: clock, random: random, policy: policy, seen: make(map[identifier.TargetName]*observation)}
}

// NewRandom returns a seeded source for New.
func NewRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// Choose picks one of the candidates and counts the request as open there;
// Done closes it. It returns false if there are none.
func (r *Router) Choose(candidates []Candidate) (identifier.TargetName, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(candidates) == 0 {
		return "", false
	}
	c := candidates[r.pick(candidates)]
	r.observationOf(c.Target).inFlight++
	return c.Target, true
}

// Done closes a request. A latency of 0 is not counted.
func (r *Router) Done(target identifier.TargetName, latency time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o := r.observationOf(target)
	o.inFlight--
	if latency > 0 {
		o.latency += latencyWeight * (latency.Seconds() - o.latency)
		o.updated = r.clock.Now()
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
	return r.observationOf(target).inFlight
}

func (r *Router) observationOf(target identifier.TargetName) *observation {
	o, ok := r.seen[target]
	if !ok {
		o = &observation{}
		r.seen[target] = o
	}
	return o
}
