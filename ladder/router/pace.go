package router

import (
	"math"
	"time"
)

// pace is how long the pieces of answers usually take to come, over all the
// targets of a service: a mean and a mean deviation, as TCP keeps of its round
// trips (RFC 6298). A piece that took unusually long counts only as the limit
// of the usual, so that a few slow targets don't make slowness usual.
type pace struct {
	// count is how many pieces were learnt, up to paceMemory.
	count float64
	// mean and deviation are in seconds.
	mean, deviation float64
}

const (
	// paceMemory is about how many pieces a pace remembers.
	paceMemory = 256
	// usualDeviations is how many mean deviations are still usual.
	usualDeviations = 4
	// leastSpread bounds the deviation from below, as a share of the mean.
	leastSpread = 0.25
)

func (p *pace) learn(gap float64) {
	if p.count >= paceMemory/8 {
		gap = math.Min(gap, p.limit())
	}
	p.count = math.Min(p.count+1, paceMemory)
	p.deviation += (math.Abs(gap-p.mean) - p.deviation) / p.count
	p.mean += (gap - p.mean) / p.count
	if p.count == 1 {
		p.deviation = gap / 2
	}
}

// limit is the longest time that is still usual, in seconds; 0 if nothing is
// known.
func (p *pace) limit() float64 {
	return p.mean + usualDeviations*math.Max(p.deviation, leastSpread*p.mean)
}

func seconds(d float64) time.Duration { return time.Duration(d * float64(time.Second)) }
