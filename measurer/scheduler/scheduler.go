// Package scheduler runs events in virtual time, one after the other.
package scheduler

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// One task and one heap: the same seed gives the same figures on every run,
// which real tasks in a testing/synctest bubble don't, since the scheduler
// chooses which of two ready tasks runs first.

// Event is something that happens at a moment.
type Event struct {
	at time.Time
	// sequence breaks ties in the order of scheduling.
	sequence uint64
	run    func()
}

// Cancel makes the event do nothing.
func (e *Event) Cancel() { e.run = nil }

// Scheduler holds the events to come.
type Scheduler struct {
	clock  *clockwork.FakeClock
	events eventHeap
	lastSequence uint64
}

// New returns a Timer at a fixed moment.
func New() *Scheduler {
	return &Scheduler{clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))}
}

// Clock returns the virtual clock.
func (t *Scheduler) Clock() clockwork.Clock { return t.clock }

// Now returns the virtual time.
func (t *Scheduler) Now() time.Time { return t.clock.Now() }

// After schedules run in d.
func (t *Scheduler) After(d time.Duration, run func()) *Event {
	t.lastSequence++
	e := &Event{at: t.Now().Add(d), sequence: t.lastSequence, run: run}
	heap.Push(&t.events, e)
	return e
}

// Every schedules run at each interval, for ever.
func (t *Scheduler) Every(interval time.Duration, run func()) {
	t.After(interval, func() {
		run()
		t.Every(interval, run)
	})
}

// Run lets d pass.
func (t *Scheduler) Run(d time.Duration) {
	end := t.Now().Add(d)
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(*Event)
		t.clock.Advance(e.at.Sub(t.Now()))
		if e.run != nil {
			e.run()
		}
	}
	t.clock.Advance(end.Sub(t.Now()))
}

type eventHeap []*Event

func (e eventHeap) Len() int      { return len(e) }
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(*Event)) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
