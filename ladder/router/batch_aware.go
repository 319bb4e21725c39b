package router

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// BatchAware chooses the target likely to send the next chunks soonest, where
// targets run several requests at once at almost the speed of one, as model
// engines do. It is meant for training steps: hundreds of items arrive at once
// and the slowest of them decides when the step ends. Open requests therefore
// count for little and the target's own speed for much. LeastExpectedWait would
// rather use an idle slow target than a fast one that already has a request.
type BatchAware struct{}

func (BatchAware) policy() {}

const (
	// batchSlowdown is how much longer chunks take for each further request, as
	// a share of their interval with one request.
	batchSlowdown = 0.03
	// queueSlowdown is the additional slowdown for each request that has to
	// wait for a slot.
	queueSlowdown = 0.5
	// transientSlowness is the recent slowness, relative to the service's mean,
	// from which a target counts as having a passing fault, which its baseline
	// and its load don't predict.
	transientSlowness = 1.6
	// baselineWeight is the weight of a new chunk in a target's baseline.
	baselineWeight = 0.03
	// minBaselineSample and maxBaselineSample bound the effect of one chunk.
	minBaselineSample, maxBaselineSample = 0.4, 2.5
	// loadReportMaxAge is how long a target's load report is used: requests
	// of other senders start and end within tenths of a second.
	loadReportMaxAge = 500 * time.Millisecond
	// connectionCost is the cost of opening a connection, as a share of the
	// mean time between two chunks.
	connectionCost = 0.05
)

// batchFactor returns how many times longer chunks take with n requests than with one.
func batchFactor(n int) float64 { return 1 + batchSlowdown*float64(max(0, n-1)) }

// baseline is a target's speed with the effect of its load removed.
type baseline struct {
	// slowness is the time between two chunks divided by the service's mean,
	// corrected by batchFactor.
	slowness float64
	// count is the number of recorded chunks.
	count float64
}

func (b *baseline) record(ratio float64) {
	b.count++
	weight := math.Max(1/b.count, baselineWeight)
	b.slowness += weight * (math.Min(math.Max(ratio, minBaselineSample), maxBaselineSample) - b.slowness)
}

// reportedLoad is the load that a target has reported.
type reportedLoad struct {
	// others counts the running and waiting requests of other senders.
	others int
	at     time.Time
}

// current reports whether the load is recent enough to be used.
func (l reportedLoad) current(clock clockwork.Clock) bool {
	return clock.Since(l.at) <= loadReportMaxAge
}

// RecordReportedLoad stores the running and waiting requests that a target has
// reported with its response to one of this router's requests.
func (r *Router) RecordReportedLoad(target identifier.TargetName, running, waiting int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o, ok := r.targets[target]; ok {
		o.reported = reportedLoad{others: max(0, running+waiting-o.inFlight), at: r.clock.Now()}
	}
}

// load returns how many requests the target is known to have.
func (o *observation) load(clock clockwork.Clock) int {
	if !o.reported.current(clock) {
		return o.inFlight
	}
	return o.inFlight + o.reported.others
}

// HasFreeSlot reports whether the target is known to have a free slot: by its own
// report or, without a recent one, because this router has no open request there.
func (r *Router) HasFreeSlot(c Candidate) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o := r.observationOf(c)
	if !o.reported.current(r.clock) || c.Slots == 0 {
		return o.inFlight == 0
	}
	return o.load(r.clock) < c.Slots
}

// expectedSlowness returns the expected time between two chunks with n requests,
// relative to the service's mean. The caller holds the mutex.
func (r *Router) expectedSlowness(o *observation, n int) float64 {
	slowness := o.baseline.slowness * batchFactor(n)
	if s := r.slownessOf(o); s >= transientSlowness {
		slowness = math.Max(slowness, s)
	}
	return slowness
}

// batchedCost adds the expected slowness of a new request and the slowdown that it
// causes for those already there. The caller holds the mutex.
func (r *Router) batchedCost(c Candidate) float64 {
	o := r.observationOf(c)
	n := o.load(r.clock)
	cost := r.expectedSlowness(o, n+1) + batchSlowdown*float64(n)
	if c.Slots > 0 && n >= c.Slots {
		cost += queueSlowdown * float64(n-c.Slots+1)
	}
	if !c.Warm {
		cost += connectionCost
	}
	return cost
}

// HasFasterCandidate reports whether a candidate is expected to send chunks at
// least factor times as fast as the target does now.
func (r *Router) HasFasterCandidate(target identifier.TargetName, candidates []Candidate, factor float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current, ok := r.targets[target]
	if !ok {
		return false
	}
	limit := r.expectedSlowness(current, current.load(r.clock)) / factor
	for _, c := range candidates {
		o := r.observationOf(c)
		n := o.load(r.clock) + 1
		if (c.Slots == 0 || n <= c.Slots) && r.expectedSlowness(o, n) <= limit {
			return true
		}
	}
	return false
}
