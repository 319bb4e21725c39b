package router

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// BatchAware takes the target at which the next pieces are likely to come soonest,
// where targets run several requests at once at nearly the pace of one, as model
// engines do. It answers training steps: hundreds of items come at the same moment,
// and the longest of them decide when the step is done. Open requests count for
// little there, and how fast the target itself is counts for much. Expected would
// rather have a slow target alone than a fast one with a neighbour.
type BatchAware struct{}

func (BatchAware) policy() {}

const (
	// crowdShare is how much slower, in parts of its pace alone, a target gets
	// by each further request.
	crowdShare = 0.03
	// waitShare is the same for a request that must wait for a slot.
	waitShare = 0.5
	// troubleSlowness is from how many times the usual a target's recent
	// slowness is a passing trouble, and no matter of its own pace or load.
	troubleSlowness = 1.6
	// steadyWeight is the weight of one new piece in a target's own pace.
	steadyWeight = 0.03
	// leastSteady and mostSteady bound what one piece may say of it.
	leastSteady, mostSteady = 0.4, 2.5
	// reportAge is how long a target's word on its load counts: requests of
	// others come and go in tenths of a second.
	reportAge = 500 * time.Millisecond
	// connectionCost is what it costs to open a connection, in parts of the
	// usual time between two pieces.
	connectionCost = 0.05
)

// crowding is how many times longer pieces take with n requests than with one.
func crowding(n int) float64 { return 1 + crowdShare*float64(max(0, n-1)) }

// ownPace is what was learnt of a target apart from its load.
type ownPace struct {
	// steady is how many times the usual time its pieces take, with the
	// crowding taken out.
	steady float64
	count  float64
}

func (p *ownPace) learn(ratio float64) {
	p.count++
	weight := math.Max(1/p.count, steadyWeight)
	p.steady += weight * (math.Min(math.Max(ratio, leastSteady), mostSteady) - p.steady)
}

// reportedLoad is a target's own word on its load.
type reportedLoad struct {
	// others counts the requests of other senders, running or waiting.
	others int
	at     time.Time
}

// current says whether the word still counts.
func (l reportedLoad) current(clock clockwork.Clock) bool { return clock.Since(l.at) <= reportAge }

// RecordReportedLoad notes a target's word on its running and waiting requests, which has
// come with an answer to one of ours.
func (r *Router) RecordReportedLoad(target identifier.TargetName, running, waiting int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o, ok := r.seen[target]; ok {
		o.reported = reportedLoad{others: max(0, running+waiting-o.inFlight), at: r.clock.Now()}
	}
}

// load is how many requests the target has, as far as is known.
func (o *observation) load(clock clockwork.Clock) int {
	if !o.reported.current(clock) {
		return o.inFlight
	}
	return o.inFlight + o.reported.others
}

// HasFreeSlot says whether the target is known to have a free slot: by its own word, or
// since this process has nothing there while its load isn't known.
func (r *Router) HasFreeSlot(c Candidate) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o := r.observationOf(c)
	if !o.reported.current(r.clock) || c.Slots == 0 {
		return o.inFlight == 0
	}
	return o.load(r.clock) < c.Slots
}

// paceWith is how many times the usual time pieces are likely to take with n
// requests. The caller holds the mutex.
func (r *Router) paceWith(o *observation, n int) float64 {
	p := o.own.steady * crowding(n)
	if s := r.slownessOf(o); s >= troubleSlowness {
		p = math.Max(p, s)
	}
	return p
}

// batchedCost is the likely pace, and what one more request costs those that are
// there. The caller holds the mutex.
func (r *Router) batchedCost(c Candidate) float64 {
	o := r.observationOf(c)
	n := o.load(r.clock)
	cost := r.paceWith(o, n+1) + crowdShare*float64(n)
	if c.Slots > 0 && n >= c.Slots {
		cost += waitShare * float64(n-c.Slots+1)
	}
	if !c.Warm {
		cost += connectionCost
	}
	return cost
}

// HasFasterCandidate says whether one of the candidates is likely to give pieces so much faster
// than the target does now, by a factor.
func (r *Router) HasFasterCandidate(target identifier.TargetName, candidates []Candidate, factor float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	here, ok := r.seen[target]
	if !ok {
		return false
	}
	limit := r.paceWith(here, here.load(r.clock)) / factor
	for _, c := range candidates {
		o := r.observationOf(c)
		n := o.load(r.clock) + 1
		if (c.Slots == 0 || n <= c.Slots) && r.paceWith(o, n) <= limit {
			return true
		}
	}
	return false
}
