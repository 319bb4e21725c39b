package faker

import (
	"slices"
	"time"
)

// The users' bounds for a target that limits its requests: from LimitNotice after it first
// named a limit, the hosts that it told at least LimitTellingTime before send it at most
// what MaxLimited returns within LimitPeriod.
const (
	LimitNotice      = 3 * time.Second
	LimitTellingTime = 500 * time.Millisecond
	LimitPeriod      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
)

// MaxLimited returns how many requests may reach a target that allows allowed in the same
// time.
func MaxLimited(allowed float64) float64 { return limitFactor*allowed + limitSlack }

// MostWithinLimitPeriod returns the greatest number of times that lie within LimitPeriod.
func MostWithinLimitPeriod(times []time.Time) (most int) {
	times = slices.Clone(times)
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for n, at := range times {
		for at.Sub(times[first]) >= LimitPeriod {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}
