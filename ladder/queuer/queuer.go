// Package queuer orders the work that waits for a target.
package queuer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// ErrFull says that the queue is at its limit.
var ErrFull = errors.New("queue full")

// Item is a piece of waiting work.
type Item struct {
	Request identifier.RequestID
	Attempt identifier.AttemptNumber
	Class   identifier.PriorityClass
	// Urgency orders rollout work; larger is sooner.
	Urgency int
	// ExpectedTokens is the expected number of tokens, 0 if unknown.
	ExpectedTokens identifier.TokenCount
	// Exclusive says that nothing may run beside it.
	Exclusive bool
	// TimeLeft is how long the caller still waits, 0 if that isn't known.
	TimeLeft time.Duration
	// Priority is set when the item is taken: what to tell an engine that
	// orders work itself. Smaller is sooner.
	Priority int
}

// entry is an item in the queue or at the target.
type entry struct {
	Item
	// since is when it was put or, once it runs, taken.
	since time.Time
}

// Queuer is a bounded queue with a bounded number of running items.
type Queuer struct {
	clock clockwork.Clock
	order Policy

	mutex sync.Mutex
	// waiting is in order of arrival.
	waiting []entry
	// running never has more than slots items and those that go above them,
	// except after slots was lowered.
	running []entry
	slots   int
	// limit bounds the waiting items of each class.
	limit int
	// lengths tells long items from short ones.
	lengths lengths
	changed chan struct{}
}

// New returns a Queuer with slots running and, of each class, limit waiting
// items at most: waiting rollout work doesn't keep live work out.
func New(clock clockwork.Clock, order Policy, slots, limit int) *Queuer {
	return &Queuer{clock: clock, order: order, slots: slots, limit: limit, changed: make(chan struct{})}
}

// Resize changes the bounds; what waits or runs is left.
func (q *Queuer) Resize(slots, limit int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.slots, q.limit = slots, limit
	q.notify()
}

// Put adds an item, or returns ErrFull: the queue is at its limit, or its
// answer would likely come too late. An item that finds a free slot and nobody
// before it is never refused.
func (q *Queuer) Put(i Item) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.waitingOf(i.Class) >= q.limit+max(0, q.slots-len(q.running)) {
		return ErrFull
	}
	if q.tooLate(i) {
		return ErrFull
	}
	now := q.clock.Now()
	q.lengths.arrived(i)
	q.waiting = append(q.waiting, entry{Item: i, since: now})
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

// TryTake is Take without the wait: it returns false if there is nothing to take.
func (q *Queuer) TryTake() (Item, bool) {
	_, i, ok := q.next()
	return i, ok
}

func (q *Queuer) next() (changed <-chan struct{}, i Item, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	best := q.best()
	if best < 0 || !q.fitsBeside(q.waiting[best].Item) {
		return q.changed, Item{}, false
	}
	e := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	e.since = q.clock.Now()
	e.Priority = q.priority(e.Item)
	q.running = append(q.running, e)
	return nil, e.Item, true
}

// fitsBeside says whether the item may run beside what runs now.
func (q *Queuer) fitsBeside(i Item) bool {
	return len(q.running) == 0 || (!i.Exclusive && !q.running[0].Exclusive)
}

// Done gives the slot of a taken item back.
func (q *Queuer) Done(i Item) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := indexOf(q.running, i.Request, i.Attempt)
	if n < 0 {
		return
	}
	q.lengths.ran(i, q.clock.Since(q.running[n].since))
	q.running = slices.Delete(q.running, n, n+1)
	q.notify()
}

// Remove takes a waiting item out; it says whether it was there.
func (q *Queuer) Remove(request identifier.RequestID, attempt identifier.AttemptNumber) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := indexOf(q.waiting, request, attempt)
	if n < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, n, n+1)
	return true
}

// Counts returns how many items run and wait, and the slots.
func (q *Queuer) Counts() (running, waiting, slots int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.running), len(q.waiting), q.slots
}

func (q *Queuer) waitingOf(c identifier.PriorityClass) (count int) {
	for _, e := range q.waiting {
		if e.Class == c {
			count++
		}
	}
	return count
}

func indexOf(entries []entry, request identifier.RequestID, attempt identifier.AttemptNumber) int {
	return slices.IndexFunc(entries, func(e entry) bool { return e.Request == request && e.Attempt == attempt })
}

func (q *Queuer) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}
