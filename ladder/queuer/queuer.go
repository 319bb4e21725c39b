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

// ErrFull means that the queue doesn't accept an item.
var ErrFull = errors.New("queue full")

// Item is a request that waits for the target.
type Item struct {
	Request identifier.RequestID
	Attempt identifier.AttemptNumber
	Class   identifier.PriorityClass
	// Urgency orders items within a class; larger is sooner.
	Urgency int
	// ExpectedTokens is the expected length of the answer, 0 if unknown.
	ExpectedTokens identifier.TokenCount
	// Exclusive means that nothing else may run at the same time.
	Exclusive bool
	// TimeLeft is how long the caller will still wait, 0 if unknown.
	TimeLeft time.Duration
	// Priority is set when the item is taken. It is passed to engines that
	// order work themselves; smaller is sooner.
	Priority int
}

// entry is an item that waits or runs.
type entry struct {
	Item
	// since is when the item was put or, if it runs, taken.
	since time.Time
}

// Queuer is a bounded queue that also bounds the number of running items.
type Queuer struct {
	clock  clockwork.Clock
	policy Policy

	mutex sync.Mutex
	// waiting is in order of arrival.
	waiting []entry
	// running has at most slots items and those allowed by mayExceedSlots,
	// except after slots was lowered.
	running []entry
	slots   int
	// limit bounds the waiting items of each class.
	limit int
	// lengths tells long items from short ones.
	lengths lengthStats
	changed chan struct{}
}

// New returns a Queuer with at most slots running items and, of each class, limit
// waiting ones. The limit is per class so that waiting rollout work doesn't keep
// live work out.
func New(clock clockwork.Clock, policy Policy, slots, limit int) *Queuer {
	return &Queuer{clock: clock, policy: policy, slots: slots, limit: limit, changed: make(chan struct{})}
}

// Resize changes the bounds without affecting items that already wait or run.
func (q *Queuer) Resize(slots, limit int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.slots, q.limit = slots, limit
	q.notify()
}

// Put adds an item. It returns ErrFull if the queue is at its limit or the answer
// would probably come too late. An item is never refused while a slot is free and
// nothing waits ahead of it.
func (q *Queuer) Put(i Item) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.waitingCount(i.Class) >= q.limit+max(0, q.slots-len(q.running)) {
		return ErrFull
	}
	if q.wouldMissDeadline(i) {
		return ErrFull
	}
	now := q.clock.Now()
	q.lengths.recordArrival(i)
	q.waiting = append(q.waiting, entry{Item: i, since: now})
	q.notify()
	return nil
}

// Take waits for the next item and occupies a slot for it until Done.
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

// TryTake is like Take but returns false instead of waiting.
func (q *Queuer) TryTake() (Item, bool) {
	_, i, ok := q.next()
	return i, ok
}

func (q *Queuer) next() (changed <-chan struct{}, i Item, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	best := q.nextIndex()
	if best < 0 || !q.mayRunWith(q.waiting[best].Item) {
		return q.changed, Item{}, false
	}
	e := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	e.since = q.clock.Now()
	e.Priority = q.priority(e.Item)
	q.running = append(q.running, e)
	return nil, e.Item, true
}

func (q *Queuer) mayRunWith(i Item) bool {
	return len(q.running) == 0 || (!i.Exclusive && !q.running[0].Exclusive)
}

// Done frees the slot of a taken item.
func (q *Queuer) Done(i Item) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := indexOf(q.running, i.Request, i.Attempt)
	if n < 0 {
		return
	}
	q.lengths.recordRun(i, q.clock.Since(q.running[n].since))
	q.running = slices.Delete(q.running, n, n+1)
	q.notify()
}

// Remove removes a waiting item and reports whether it was there.
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

// Counts returns the number of running items, of waiting items and of slots.
func (q *Queuer) Counts() (running, waiting, slots int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.running), len(q.waiting), q.slots
}

func (q *Queuer) waitingCount(c identifier.PriorityClass) (count int) {
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
