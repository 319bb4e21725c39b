// Package scheduler runs events sequentially in virtual time.
package scheduler

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// All events run on one goroutine from one heap, so that the same seed gives
// the same results on every run. Goroutines in a testing/synctest bubble do
// not, since the Go scheduler chooses which of two ready goroutines runs first.

// Event is a function scheduled for a point in virtual time.
type Event struct {
	at time.Time
	// sequence orders events of the same time by when they were scheduled.
	sequence uint64
	run      func()
}

// Cancel prevents the event from running.
func (e *Event) Cancel() { e.run = nil }

// Scheduler holds the virtual clock and the pending events.
type Scheduler struct {
	clock        *clockwork.FakeClock
	events       eventHeap
	lastSequence uint64
}

// New returns a Scheduler without events. The clock starts at a fixed time.
func New() *Scheduler {
	return &Scheduler{clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))}
}

// Clock returns the virtual clock.
func (s *Scheduler) Clock() clockwork.Clock { return s.clock }

// Now returns the current virtual time.
func (s *Scheduler) Now() time.Time { return s.clock.Now() }

// After schedules run to be called after d.
func (s *Scheduler) After(d time.Duration, run func()) *Event {
	s.lastSequence++
	e := &Event{at: s.Now().Add(d), sequence: s.lastSequence, run: run}
	heap.Push(&s.events, e)
	return e
}

// Every schedules run to be called at each interval, indefinitely.
func (s *Scheduler) Every(interval time.Duration, run func()) {
	s.After(interval, func() {
		run()
		s.Every(interval, run)
	})
}

// Run advances the clock by d and runs the events that become due.
func (s *Scheduler) Run(d time.Duration) {
	end := s.Now().Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(*Event)
		s.clock.Advance(e.at.Sub(s.Now()))
		if e.run != nil {
			e.run()
		}
	}
	s.clock.Advance(end.Sub(s.Now()))
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
