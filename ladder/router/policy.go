package router

import (
	"math"
	"time"
)

// Policy is a way to choose a target.
//
//sumtype:decl
type Policy interface{ policy() }

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct{}

// LeastInFlight takes the one with the fewest open requests. It is a baseline.
type LeastInFlight struct{}

// PowerOfTwoChoices draws two and takes the one with fewer open requests. It is a
// baseline.
type PowerOfTwoChoices struct{}

// LeastExpectedWait takes the one with the smallest expected wait: open requests times
// how much slower than usual its pieces come, or have failed to come.
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
		return r.least(candidates, r.inFlight)
	case PowerOfTwoChoices:
		a, b := r.draw(len(candidates))
		if r.inFlight(candidates[b]) < r.inFlight(candidates[a]) {
			return b
		}
		return a
	case LeastExpectedWait:
		return r.least(candidates, r.expectedWait)
	case BatchAware:
		return r.least(candidates, r.batchedCost)
	}
	return 0
}

// least returns the candidate with the smallest cost; of equal ones it takes
// one at random, or every entry would send to the same.
func (r *Router) least(candidates []Candidate, cost func(Candidate) float64) int {
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

// draw returns two different indices below n, or the same one if n is 1.
func (r *Router) draw(n int) (int, int) {
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

// avoidanceHalfLife is the time in which what was learnt of a slow target
// counts for half. A target that is avoided isn't heard of, so that nothing
// else would ever clear it.
const avoidanceHalfLife = 1000 * time.Millisecond

// expectedWait is in requests of a target at the usual pace.
func (r *Router) expectedWait(c Candidate) float64 {
	o := r.observationOf(c)
	wait := float64(1+o.inFlight) * r.slownessOf(o)
	if c.Warm {
		wait *= warmFactor
	}
	return wait
}

// warmFactor lets an open connection decide between targets with equal waits,
// and never against one request less at another, up to nine in flight.
const warmFactor = 0.9

// slownessOf is at least 1. The caller holds the mutex.
func (r *Router) slownessOf(o *observation) float64 {
	age := r.clock.Since(o.heard)
	slowness := math.Max(1, 1+(o.slowness-1)*math.Exp2(-float64(age)/float64(avoidanceHalfLife)))
	if o.followed > 0 {
		slowness = math.Max(slowness, o.silence(age))
	}
	return slowness
}

// silence returns how many times longer than usual nothing has come, 0 if it
// isn't unusual.
func (o *observation) silence(quiet time.Duration) float64 {
	p := &o.service.first
	if o.flowing {
		p = &o.service.next
	}
	if p.count == 0 || quiet.Seconds() <= p.limit() {
		return 0
	}
	return quiet.Seconds() / p.mean
}
