package admitter

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// limit is a learned bound on sends in flight. A value below 1 stands for a pause between two
// sends: one in flight for the part of the time that the value says.
type limit struct {
	// value is at least minLimit once started.
	value float64
	// step is the growth per round trip while the targets are busy, at most 1.
	step   float64
	policy policy
	// cutAt is when the value was last lowered.
	cutAt time.Time
	// sentAt is when a request was last admitted, startedAt when start was called.
	sentAt, startedAt time.Time
}

// policy says how a limit follows the targets' queues. Queues are in units of a target's places.
type policy struct {
	// growBelow is the queue up to which the value grows.
	growBelow float64
	// cutAbove is the queue above which the value is lowered.
	cutAbove float64
}

var (
	// allPolicy keeps a short queue at the targets, so that no place is empty while a response
	// is on its way.
	allPolicy = policy{growBelow: 1.0 / 3, cutAbove: 1}
	// owedPolicy gives way earlier, so that the calls of batch jobs leave room for live calls,
	// which other hosts send: hosts with live calls keep growing at queues at which the owners of
	// jobs hold or lower their limits.
	owedPolicy = policy{growBelow: 1.0 / 6, cutAbove: 1.0 / 2}
)

const (
	// minLimit bounds the value from below: one request in flight for a 32nd of the time.
	minLimit = 1.0 / 32
	// refusalCut is the factor after a refusal for want of room, crowdedCut that after a response
	// of a target whose queue is too long.
	refusalCut, crowdedCut = 0.5, 0.8
	// limitHeadroom is the most that one host's limit may be, in units of the targets' places.
	limitHeadroom = 1.5
	// unreportedGrowth is the part of the growth per round trip while targets report no load but
	// run what they get.
	unreportedGrowth = 0.25
	// maxPause bounds the pause between two sends. The shortest deadlines of callers are 800 ms.
	maxPause = 300 * time.Millisecond
	// overdueTrips is the number of round trips after which one more request is sent although the
	// limit is used up: the targets of those in flight may be silent. Some calls take seven times
	// as long as others.
	overdueTrips = 8
)

// crowding is what a target reports, in units of its places.
type crowding struct {
	// queue is what waits, free the places that are not taken.
	queue, free float64
	// reported is false if the target reports no load.
	reported bool
}

func crowdingOf(l *sender.Load, places int) crowding {
	if l == nil {
		return crowding{}
	}
	c := crowding{queue: float64(l.Waiting) / float64(places), reported: true}
	if l.Waiting == 0 {
		c.free = max(0, float64(places-l.Running)/float64(places))
	}
	return c
}

// start sets the part of all places that this host would have if all hosts had the same. All
// hosts may grow at once, by no more than the places in all per round trip; an idle target lets
// each of them grow by one.
func (l *limit) start(now time.Time, value float64) {
	l.value, l.step, l.cutAt, l.startedAt = max(value, minLimit), min(1, value), time.Time{}, now
}

// adapt follows the queue of a target that has run a request. inUse counts the sends in flight
// before it ended, and most bounds the value.
func (l *limit) adapt(now time.Time, trip time.Duration, c crowding, inUse int, most float64) {
	switch {
	case c.queue > l.policy.cutAbove:
		l.cut(now, trip, crowdedCut)
	case float64(inUse) < l.value/2:
		// An unused limit doesn't grow: nothing shows that the targets could bear it.
	case !c.reported:
		l.value += unreportedGrowth * l.step / max(1, l.value)
	case c.queue <= l.policy.growBelow:
		l.value += max(l.step, c.free) / max(1, l.value)
	}
	l.value = min(l.value, max(most, minLimit))
}

// cut lowers the value, at most once per round trip: the sends that were in flight at the last
// time tell nothing new.
func (l *limit) cut(now time.Time, trip time.Duration, factor float64) {
	if now.Sub(l.cutAt) < trip {
		return
	}
	l.value, l.cutAt = max(minLimit, factor*l.value), now
}

// opensAt returns when one more request may be sent if no response comes before.
func (l *limit) opensAt(inFlight int, trip time.Duration) time.Time {
	switch {
	case float64(inFlight+1) <= l.value:
		return time.Time{}
	case inFlight == 0:
		return l.sentAt.Add(l.interval(trip))
	}
	last := l.sentAt
	if last.Before(l.startedAt) {
		last = l.startedAt
	}
	return last.Add(max(maxPause, overdueTrips*trip))
}

// interval returns the mean time between two sends that use all of the limit.
func (l *limit) interval(trip time.Duration) time.Duration {
	interval := time.Duration(float64(trip) / max(l.value, minLimit))
	if l.value < 1 {
		return min(interval, max(maxPause, trip))
	}
	return interval
}
