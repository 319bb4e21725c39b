package router

import (
	"math"
	"time"
)

// intervalStats estimates the interval between response chunks over all targets
// of a service: a mean and a mean deviation, as TCP does for round-trip times
// (RFC 6298). A longer interval than the upper bound counts as the bound, so that
// a few slow targets don't raise the estimate for the whole service.
type intervalStats struct {
	// count is the number of recorded intervals, up to intervalMemory.
	count float64
	// mean and deviation are in seconds.
	mean, deviation float64
}

const (
	// intervalMemory is about how many intervals the estimate covers.
	intervalMemory = 256
	// deviationLimit is how many mean deviations above the mean are still usual.
	deviationLimit = 4
	// minDeviationShare is the smallest deviation used, as a share of the mean.
	minDeviationShare = 0.25
)

func (s *intervalStats) record(interval float64) {
	if s.count >= intervalMemory/8 {
		interval = math.Min(interval, s.upperBound())
	}
	s.count = math.Min(s.count+1, intervalMemory)
	s.deviation += (math.Abs(interval-s.mean) - s.deviation) / s.count
	s.mean += (interval - s.mean) / s.count
	if s.count == 1 {
		s.deviation = interval / 2
	}
}

// upperBound returns the longest interval that is still usual, in seconds, or 0
// before the first recorded one.
func (s *intervalStats) upperBound() float64 {
	return s.mean + deviationLimit*math.Max(s.deviation, minDeviationShare*s.mean)
}

func seconds(d float64) time.Duration { return time.Duration(d * float64(time.Second)) }
