// Package permitter decides how many requests all hosts together may send to a target
// that limits them, and which host grants the permits.
package permitter

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Standing is what a host knows about its right to grant permits for a target.
type Standing int

const (
	// StandIn means that another host ranks first for the target.
	StandIn Standing = iota
	// Unsettled means that the host ranks first, but that another one may have done so
	// until shortly before and may still grant permits.
	Unsettled
	// Settled means that the host ranks first and that all others know.
	Settled
)

// terms are the share of a target's limit that a host may grant and the number of
// permits that it may save up.
type terms struct {
	share, capacity float64
}

// A target accepts one and a half times its limit, plus 5 requests, within 4 s. One host
// of each standing may grant at the same time, and a permit may be used
// PermitLifetime after it was granted, so the sum of the shares times 4.1 s must not
// exceed 6 s, and that of the capacities not 5.
var termsByStanding = map[Standing]terms{
	Settled:   {share: 1, capacity: 2},
	Unsettled: {share: 0.3, capacity: 1},
	StandIn:   {share: 0.125, capacity: 1},
}

const (
	// PermitLifetime is how long after it was granted a permit may be used.
	PermitLifetime = 100 * time.Millisecond
	// minRate is the rate of requests to a target that accepts fewer or none: without
	// any, nobody would hear that it withdraws its limit.
	minRate = identifier.RequestRate(0.1)
	// minWait and maxWait bound how long a host that was denied a permit waits before
	// it asks again.
	minWait, maxWait = 10 * time.Millisecond, time.Second
	// denialSpread is the time between the next questions of two hosts that were denied,
	// so that a large fleet doesn't ask for the next permit all at once.
	denialSpread = 3 * time.Millisecond
)

// Bucket holds the permits that one host may grant for one target. The zero value is
// empty, since other hosts may have granted permits just before.
type Bucket struct {
	// permits is below 0 if more were charged than there were.
	permits float64
	// updatedAt is when permits was last updated, and rate the number of permits per
	// second then.
	updatedAt time.Time
	rate      float64
	// denied counts the denials since the last grant.
	denied int
}

// Grant takes a permit. If there is none, it returns how long to wait before the next
// attempt: until there is one, or longer if many were denied.
func (b *Bucket) Grant(now time.Time, limit identifier.RequestRate, s Standing) (wait time.Duration, granted bool) {
	rate := b.refill(now, limit, s)
	if b.permits >= 1 {
		b.permits--
		b.denied = 0
		return 0, true
	}
	b.denied++
	next := time.Duration(min((1-b.permits)/rate, maxWait.Seconds()) * float64(time.Second))
	return min(max(minWait, next, time.Duration(b.denied)*denialSpread), maxWait), false
}

// Charge takes a permit whether or not there is one, for a request that must be sent.
func (b *Bucket) Charge(now time.Time, limit identifier.RequestRate, s Standing) {
	b.refill(now, limit, s)
	b.permits--
}

// refill adds the permits that have accrued and returns their number per second. After a
// change of the limit, the lower one counts for the time before.
func (b *Bucket) refill(now time.Time, limit identifier.RequestRate, s Standing) float64 {
	t := termsByStanding[s]
	rate := float64(max(limit, minRate)) * t.share
	if elapsed := now.Sub(b.updatedAt); !b.updatedAt.IsZero() && elapsed > 0 {
		b.permits += elapsed.Seconds() * min(b.rate, rate)
	}
	b.permits = min(b.permits, t.capacity)
	b.updatedAt, b.rate = now, rate
	return rate
}
