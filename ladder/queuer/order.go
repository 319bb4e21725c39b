package queuer

import "github.com/lycheeladder/lycheeladder/ladder/identifier"

// Policy is a way to choose which waiting item goes first.
//
//sumtype:decl
type Policy interface{ order() }

// FIFO takes items in the order of arrival. It is a baseline.
type FIFO struct{}

// StrictPriority takes live before rollout, within a class the more urgent
// first, then the one that has waited longest. It is a baseline.
type StrictPriority struct{}

// ShortestFirst takes live before rollout, within a class the more urgent first.
// Of live work the one with the fewest expected tokens then goes first, less
// what it has gained by waiting; rollout work keeps its order, since a step is
// whole only with its longest sample. While rollout work waits, it always gets
// a slot.
type ShortestFirst struct {
	// EnginePreempts says that the target pauses work of a lower priority when it is
	// given more than its slots, as model engines do. Short live work then goes
	// above the slots instead of waiting for long work to end.
	EnginePreempts bool
}

func (FIFO) order()           {}
func (StrictPriority) order() {}
func (ShortestFirst) order()  {}

const (
	// ageingRate is what an item gains by waiting, in tokens a second: one
	// with n expected tokens is overtaken only by items that come at most
	// n/ageingRate seconds after it.
	ageingRate = 100
	// rolloutSlots is what rollout work gets while it waits, whatever live
	// work there is.
	rolloutSlots = 1
)

// best returns the index of the waiting item to run now, -1 if there is none.
// The caller holds the mutex.
func (q *Queuer) best() int {
	shortFirst, _ := q.order.(ShortestFirst)
	full := len(q.running) >= q.slots
	if full && (!shortFirst.EnginePreempts || !q.aboveAllowed()) {
		return -1
	}
	first := q.firstClass()
	best := -1
	for n, e := range q.waiting {
		if full && q.priority(e.Item) != prioritySoon {
			continue
		}
		if best < 0 || q.before(e, q.waiting[best], first) {
			best = n
		}
	}
	return best
}

// before says whether a, which came later than b, goes before it.
func (q *Queuer) before(a, b entry, first identifier.PriorityClass) bool {
	switch q.order.(type) {
	case FIFO:
		return false
	case StrictPriority:
		if a.Class != b.Class {
			return a.Class == identifier.ClassLive
		}
		return a.Urgency > b.Urgency
	case ShortestFirst:
		if a.Class != b.Class {
			return a.Class == first
		}
		if a.Urgency != b.Urgency {
			return a.Urgency > b.Urgency
		}
		return a.Class == identifier.ClassLive && aged(a, b) < float64(b.ExpectedTokens)
	}
	return false
}

// aged is the expected tokens of a, plus the gain that the earlier b has over
// it.
func aged(a, b entry) float64 {
	return float64(a.ExpectedTokens) + ageingRate*a.since.Sub(b.since).Seconds()
}

// firstClass returns the class that goes first: rollout work while it has
// fewer slots than it is sure of, live work else.
func (q *Queuer) firstClass() identifier.PriorityClass {
	running := 0
	for _, e := range q.running {
		if e.Class == identifier.ClassRollout {
			running++
		}
	}
	if running < min(rolloutSlots, q.slots-1) {
		return identifier.ClassRollout
	}
	return identifier.ClassLive
}

// aboveAllowed says whether a short live item may run although all slots are
// taken: an engine that honours priorities pauses long work for it, and one
// that doesn't lets it wait no longer than here. Some of the long work always
// goes on, and no more is ever paused than the engine has slots.
func (q *Queuer) aboveAllowed() bool {
	now := q.clock.Now()
	short := 0
	for _, e := range q.running {
		if q.priority(e.Item) == prioritySoon && !q.lengths.ranLong(now.Sub(e.since)) {
			short++
		}
	}
	return short < q.slots-rolloutSlots && len(q.running) < 2*q.slots
}

// tooLate says whether the live work before an item would likely take more than
// half of its caller's patience; the other half is for the work itself. Work
// that is given up half-way is worse than a refusal.
func (q *Queuer) tooLate(i Item) bool {
	if _, ok := q.order.(ShortestFirst); !ok || i.TimeLeft <= 0 || i.Class != identifier.ClassLive || !q.lengths.runTime.known() {
		return false
	}
	before := 0
	for _, e := range q.waiting {
		if q.priority(e.Item) == prioritySoon {
			before++
		}
	}
	wait := float64(before) * q.lengths.runTime.value() / float64(max(1, q.slots))
	return wait > i.TimeLeft.Seconds()/2
}

// The priorities that an engine is told.
const (
	prioritySoon    = 0
	priorityLong    = 5
	priorityRollout = 10
)

func (q *Queuer) priority(i Item) int {
	switch {
	case i.Class == identifier.ClassRollout:
		return priorityRollout
	case q.lengths.long(i):
		return priorityLong
	}
	return prioritySoon
}
