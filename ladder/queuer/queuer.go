// Package queuer orders the work that waits for a target.
package queuer

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// ErrFull says that the queue is at its limit.
var ErrFull = errors.New("queue full")

// Item is a piece of waiting work.
type Item struct {
	Request identifier.RequestID
	Attempt identifier.Attempt
	Class   identifier.Class
	// Urgency orders rollout work; larger is sooner.
	Urgency int
	// Expected is the expected number of tokens, 0 if unknown.
	Expected identifier.TokenCount
	// Alone says that nothing may run beside it.
	Alone bool
}

// Queuer is a bounded queue with a bounded number of running items.
type Queuer struct {
	clock clockwork.Clock
	order Order

	mutex sync.Mutex
	// waiting is in order of arrival.
	waiting []Item
	// running never exceeds slots, except after slots was lowered.
	running int
	// alone is set while an item runs that nothing may run beside.
	alone   bool
	slots   int
	limit   int
	changed chan struct{}
}

// New returns a Queuer with slots running and limit waiting items at most.
func New(clock clockwork.Clock, order Order, slots, limit int) *Queuer {
	return &Queuer{clock: clock, order: order, slots: slots, limit: limit, changed: make(chan struct{})}
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
		changed, i, ok := q.next()
		if ok {
			return i, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Item{}, ctx.Err()
		}
	}
}

// Next is Take without the wait: it returns false if there is nothing to take.
func (q *Queuer) Next() (Item, bool) {
	_, i, ok := q.next()
	return i, ok
}

func (q *Queuer) next() (changed <-chan struct{}, i Item, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	best := q.best()
	if best < 0 || q.running >= q.slots || q.alone || (q.waiting[best].Alone && q.running > 0) {
		return q.changed, Item{}, false
	}
	i = q.waiting[best]
	q.alone = i.Alone
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	q.running++
	return nil, i, true
}

// Done gives a slot back.
func (q *Queuer) Done() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.running--
	q.alone = false
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
		if best < 0 || q.before(i, q.waiting[best]) {
			best = n
		}
	}
	return best
}

func (q *Queuer) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}
