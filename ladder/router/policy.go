package router

// Policy is a way to choose a target.
//
//sumtype:decl
type Policy interface{ policy() }

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct{}

// LeastInFlight takes the one with the fewest open requests. It is a baseline.
type LeastInFlight struct{}

// TwoChoices draws two and takes the one with fewer open requests. It is a
// baseline.
type TwoChoices struct{}

// Expected draws two and takes the one with the smaller expected wait: open
// requests times its recent latency.
type Expected struct{}

func (RoundRobin) policy()    {}
func (LeastInFlight) policy() {}
func (TwoChoices) policy()    {}
func (Expected) policy()      {}

// pick returns the index of the chosen candidate. The caller holds the mutex.
func (r *Router) pick(candidates []Candidate) int {
	switch r.policy.(type) {
	case RoundRobin:
		r.turn++
		return r.turn % len(candidates)
	case LeastInFlight:
		return r.least(candidates)
	case TwoChoices:
		a, b := r.draw(len(candidates))
		if r.observationOf(candidates[b].Target).inFlight < r.observationOf(candidates[a].Target).inFlight {
			return b
		}
		return a
	case Expected:
		a, b := r.draw(len(candidates))
		if r.expectedWait(candidates[b]) < r.expectedWait(candidates[a]) {
			return b
		}
		return a
	}
	return 0
}

func (r *Router) least(candidates []Candidate) int {
	best := 0
	for n, c := range candidates {
		if r.observationOf(c.Target).inFlight < r.observationOf(candidates[best].Target).inFlight {
			best = n
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

// expectedWait is in seconds, up to a constant factor.
func (r *Router) expectedWait(c Candidate) float64 {
	const unknownLatency = 0.001
	o := r.observationOf(c.Target)
	return float64(1+o.inFlight) * max(o.latency, unknownLatency)
}
