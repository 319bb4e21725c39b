package queuer

import "github.com/lycheeladder/lycheeladder/ladder/identifier"

// Policy is a rule for choosing which waiting item goes next.
//
//sumtype:decl
type Policy interface{ policy() }

// FIFO takes items in the order of arrival. It is a baseline for measurements.
type FIFO struct{}

// StrictPriority takes live before rollout work, within a class the more urgent
// item first, then the one that has waited longest. It is a baseline for
// measurements.
type StrictPriority struct{}

// ShortestFirst takes live before rollout work and within a class the more urgent
// item first. Among equally urgent live items the one with the fewest expected
// tokens goes first, after a deduction for its waiting time. Rollout work stays in
// order of arrival, since a training step is complete only with its longest
// sample. While rollout work waits, one slot is reserved for it.
type ShortestFirst struct {
	// EnginePreempts means that the target pauses work of a lower priority when
	// it gets more requests than it has slots, as model engines do. Short live
	// work may then exceed the slots instead of waiting for long work to end.
	EnginePreempts bool
}

func (FIFO) policy()           {}
func (StrictPriority) policy() {}
func (ShortestFirst) policy()  {}

const (
	// agingTokensPerSecond is the deduction for waiting: an item with n
	// expected tokens is overtaken only by items that arrive at most
	// n/agingTokensPerSecond seconds after it.
	agingTokensPerSecond = 100
	// reservedRolloutSlots is how many slots waiting rollout work gets,
	// however much live work there is.
	reservedRolloutSlots = 1
)

// nextIndex returns the index of the waiting item to run now, or -1 if there is
// none. The caller holds the mutex.
func (q *Queuer) nextIndex() int {
	shortestFirst, _ := q.policy.(ShortestFirst)
	full := len(q.running) >= q.slots
	if full && (!shortestFirst.EnginePreempts || !q.mayExceedSlots()) {
		return -1
	}
	preferred := q.preferredClass()
	best := -1
	for n, e := range q.waiting {
		if full && q.priority(e.Item) != priorityShort {
			continue
		}
		if best < 0 || q.precedes(e, q.waiting[best], preferred) {
			best = n
		}
	}
	return best
}

// precedes reports whether a goes before b, which arrived earlier.
func (q *Queuer) precedes(a, b entry, preferred identifier.PriorityClass) bool {
	switch q.policy.(type) {
	case FIFO:
		return false
	case StrictPriority:
		if a.Class != b.Class {
			return a.Class == identifier.ClassLive
		}
		return a.Urgency > b.Urgency
	case ShortestFirst:
		if a.Class != b.Class {
			return a.Class == preferred
		}
		if a.Urgency != b.Urgency {
			return a.Urgency > b.Urgency
		}
		return a.Class == identifier.ClassLive && agedTokens(a, b) < float64(b.ExpectedTokens)
	}
	return false
}

// agedTokens returns the expected tokens of a plus the deduction that b has earned
// by arriving earlier.
func agedTokens(a, b entry) float64 {
	return float64(a.ExpectedTokens) + agingTokensPerSecond*a.since.Sub(b.since).Seconds()
}

// preferredClass returns the class that goes first: rollout work while it has
// fewer slots than are reserved for it, otherwise live work.
func (q *Queuer) preferredClass() identifier.PriorityClass {
	running := 0
	for _, e := range q.running {
		if e.Class == identifier.ClassRollout {
			running++
		}
	}
	if running < min(reservedRolloutSlots, q.slots-1) {
		return identifier.ClassRollout
	}
	return identifier.ClassLive
}

// mayExceedSlots reports whether a short live item may run although all slots are
// taken. An engine with priorities pauses long work for it; in one without them it
// waits no longer than it would here. Some long work always continues, and never
// more items are paused than the engine has slots.
func (q *Queuer) mayExceedSlots() bool {
	now := q.clock.Now()
	short := 0
	for _, e := range q.running {
		if q.priority(e.Item) == priorityShort && !q.lengths.isLongRun(now.Sub(e.since)) {
			short++
		}
	}
	return short < q.slots-reservedRolloutSlots && len(q.running) < 2*q.slots
}

// wouldMissDeadline reports whether the live work ahead of an item would probably
// take more than half of its caller's remaining time; the other half is for
// running it. A refusal is better than work that is abandoned half-way.
func (q *Queuer) wouldMissDeadline(i Item) bool {
	if _, ok := q.policy.(ShortestFirst); !ok || i.TimeLeft <= 0 || i.Class != identifier.ClassLive || !q.lengths.runTime.known() {
		return false
	}
	ahead := 0
	for _, e := range q.waiting {
		if q.priority(e.Item) == priorityShort {
			ahead++
		}
	}
	wait := float64(ahead) * q.lengths.runTime.value() / float64(max(1, q.slots))
	return wait > i.TimeLeft.Seconds()/2
}

// Priorities passed to an engine; smaller is sooner.
const (
	priorityShort   = 0
	priorityLong    = 5
	priorityRollout = 10
)

func (q *Queuer) priority(i Item) int {
	switch {
	case i.Class == identifier.ClassRollout:
		return priorityRollout
	case q.lengths.isLong(i):
		return priorityLong
	}
	return priorityShort
}
