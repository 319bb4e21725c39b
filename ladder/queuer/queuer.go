// Package queuer orders the work that waits for a target.
package queuer

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Live goes before rollout. Within a class the more urgent goes first, then
// the one that has waited longest.

// ErrFull says that the queue is at its limit.
var ErrFull = errors.New("queue full")

// Item is a piece of waiting work.
type Item struct {
	Request identifier.RequestID
	Attempt identifier.Attempt
	Class   identifier.Class
	Urgency int
}

// Queuer is a bounded queue with a bounded number of running items.
type Queuer struct {
	mutex sync.Mutex
	// waiting is in order of arrival.
	waiting []Item
	// running never exceeds slots, except after slots was lowered.
	running int
	slots   int
	limit   int
	changed chan struct{}
}

// New returns a Queuer with slots running and limit waiting items at most.
func New(slots, limit int) *Queuer {
	return &Queuer{slots: slots, limit: limit, changed: make(chan struct{})}
}

// Resize changes the bounds; what waits or runs is left.
func (q *Queuer) Resize(slots, limit int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.slots, q.limit = slots, limit
	q.notify()
}

// Put adds an item, or returns ErrFull. An item that finds a free slot and
// nobody before it is never refused.
func (q *Queuer) Put(i Item) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.waiting) >= q.limit+max(0, q.slots-q.running) {
		return ErrFull
	}
	q.waiting = append(q.waiting, i)
	q.notify()
	return nil
}

// Take waits for the next item and takes a slot for it; Done gives it back.
func (q *Queuer) Take(ctx context.Context) (Item, error) {
	for {
		q.mutex.Lock()
		if best := q.best(); best >= 0 && q.running < q.slots {
			i := q.waiting[best]
			q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
			q.running++
			q.mutex.Unlock()
			return i, nil
		}
		changed := q.changed
		q.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return Item{}, ctx.Err()
		}
	}
}

// Done gives a slot back.
func (q *Queuer) Done() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.running--
	q.notify()
}

// Remove takes a waiting item out; it says whether it was there.
func (q *Queuer) Remove(request identifier.RequestID, attempt identifier.Attempt) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for n, i := range q.waiting {
		if i.Request == request && i.Attempt == attempt {
			q.waiting = append(q.waiting[:n], q.waiting[n+1:]...)
			return true
		}
	}
	return false
}

// Lengths returns how many items run and wait, and the slots.
func (q *Queuer) Lengths() (running, waiting, slots int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.running, len(q.waiting), q.slots
}

func (q *Queuer) best() int {
	best := -1
	for n, i := range q.waiting {
		if best < 0 || before(i, q.waiting[best]) {
			best = n
		}
	}
	return best
}

func before(a, b Item) bool {
	if a.Class != b.Class {
		return a.Class == identifier.ClassLive
	}
	return a.Urgency > b.Urgency
}

func (q *Queuer) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}
