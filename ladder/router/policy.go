package router

import (
	"math"
	"time"
)

// Policy is a rule for choosing a target.
//
//sumtype:decl
type Policy interface{ policy() }

// RoundRobin takes the candidates in turn. It is a baseline for measurements.
type RoundRobin struct{}

// LeastInFlight takes the candidate with the fewest open requests. It is a
// baseline for measurements.
type LeastInFlight struct{}

// PowerOfTwoChoices draws two candidates at random and takes the one with fewer
// open requests. It is a baseline for measurements.
type PowerOfTwoChoices struct{}

// LeastExpectedWait takes the candidate with the smallest expected wait: the
// number of open requests times the target's current slowness, which counts late
// chunks as well as overdue ones.
type LeastExpectedWait struct{}

func (RoundRobin) policy()        {}
func (LeastInFlight) policy()     {}
func (PowerOfTwoChoices) policy() {}
func (LeastExpectedWait) policy() {}

// pick returns the index of the chosen candidate. The caller holds the mutex.
func (r *Router) pick(candidates []Candidate) int {
	switch r.policy.(type) {
	case RoundRobin:
		r.turn++
		return r.turn % len(candidates)
	case LeastInFlight:
		return r.leastCost(candidates, r.inFlight)
	case PowerOfTwoChoices:
		a, b := r.drawTwo(len(candidates))
		if r.inFlight(candidates[b]) < r.inFlight(candidates[a]) {
			return b
		}
		return a
	case LeastExpectedWait:
		return r.leastCost(candidates, r.expectedWait)
	case BatchAware:
		return r.leastCost(candidates, r.batchedCost)
	}
	return 0
}

// leastCost returns the index of the cheapest candidate. It breaks ties at
// random, since otherwise all entries would send to the same target.
func (r *Router) leastCost(candidates []Candidate, cost func(Candidate) float64) int {
	first := r.random.IntN(len(candidates))
	best, smallest := first, cost(candidates[first])
	for n := 1; n < len(candidates); n++ {
		at := (first + n) % len(candidates)
		if c := cost(candidates[at]); c < smallest {
			best, smallest = at, c
		}
	}
	return best
}

// drawTwo returns two different random indices below n, or the same one twice if n is 1.
func (r *Router) drawTwo(n int) (int, int) {
	a := r.random.IntN(n)
	if n == 1 {
		return a, a
	}
	b := r.random.IntN(n - 1)
	if b >= a {
		b++
	}
	return a, b
}

func (r *Router) inFlight(c Candidate) float64 {
	return float64(r.observationOf(c).inFlight)
}

// avoidanceHalfLife is the half-life of a target's slowness. Without the decay
// an avoided target would never be used again, since it gets no requests that
// could show its recovery.
const avoidanceHalfLife = 1000 * time.Millisecond

// expectedWait is in units of one request at a target of usual speed.
func (r *Router) expectedWait(c Candidate) float64 {
	o := r.observationOf(c)
	wait := float64(1+o.inFlight) * r.slownessOf(o)
	if c.Warm {
		wait *= warmDiscount
	}
	return wait
}

// warmDiscount makes an open connection decide between targets with equal waits,
// but never outweigh one request fewer elsewhere, for up to nine in flight.
const warmDiscount = 0.9

// slownessOf returns the target's current slowness, at least 1. The caller holds
// the mutex.
func (r *Router) slownessOf(o *observation) float64 {
	age := r.clock.Since(o.lastProgress)
	slowness := math.Max(1, 1+(o.slowness-1)*math.Exp2(-float64(age)/float64(avoidanceHalfLife)))
	if o.monitored > 0 {
		slowness = math.Max(slowness, o.silenceRatio(age))
	}
	return slowness
}

// silenceRatio divides the time without a chunk by the usual interval. It is 0
// while that time is within the upper bound.
func (o *observation) silenceRatio(quiet time.Duration) float64 {
	p := &o.service.firstChunk
	if o.receiving {
		p = &o.service.nextChunk
	}
	if p.count == 0 || quiet.Seconds() <= p.upperBound() {
		return 0
	}
	return quiet.Seconds() / p.mean
}
