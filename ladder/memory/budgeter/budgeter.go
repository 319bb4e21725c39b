// Package budgeter accounts for the bytes that a process holds for callers, targets and
// jobs, and refuses more than fit into the machine's memory.
package budgeter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Class says which share of the budget a reservation draws on.
type Class int

const (
	// ClassHead is for connections and heads. It may use the whole budget. It stays
	// in its class however much a head holds.
	ClassHead Class = iota
	// ClassSmall is for requests below SmallBytes. It may use the whole budget.
	ClassSmall
	// ClassLarge is for everything else. It must leave the share of small requests.
	ClassLarge
	classes
)

// ClassOf returns the class of a request of n bytes.
func ClassOf(n int64) Class {
	if n < SmallBytes {
		return ClassSmall
	}
	return ClassLarge
}

const (
	// SmallBytes is the size below which a request counts as small.
	SmallBytes = 64 << 10
	// DefaultMachineBytes is assumed if the machine's memory is unknown.
	DefaultMachineBytes = 256 << 20
	// budgetFraction is the part of the machine's memory that the budget and
	// programBytes have together. The garbage collector's limit is 0.7 of it; the
	// difference is left for garbage that has not been collected yet.
	budgetFraction = 0.5
	// programBytes is what the program holds for itself: about 12 MiB of heap and
	// stacks with the replicas of the store on the largest known deployment.
	programBytes = 12 << 20
	// minBudgetBytes is the least budget, however small the machine.
	minBudgetBytes = 4 << 20
	// smallShareParts divides the budget: one part is kept for small requests.
	smallShareParts = 4
	// reclaimAfter is how long a holder must have made no progress before its room
	// is given to others.
	reclaimAfter = time.Second
	// waitTimeout bounds the wait for room. It exceeds reclaimAfter, so that holders
	// that have just stopped give way within one wait.
	waitTimeout = 2 * time.Second
	// waitInterval is how often a waiting reservation looks for holders to reclaim.
	waitInterval = 100 * time.Millisecond
	// maxWaiting bounds the reservations that wait for room. Their connections hold
	// memory too, and a long queue would only delay refusals.
	maxWaiting = 64
)

// ErrExhausted means that the budget has no room.
var ErrExhausted = errors.New("no memory left in the budget")

// RetryAfter is when a refused request may find room: holders without progress have
// given theirs back by then.
const RetryAfter = time.Second

// Holder is what holds a reservation.
type Holder interface {
	// Stalled returns how long the holder has made no progress. It returns 0 if it
	// must not be interrupted.
	Stalled() time.Duration
	// GiveWay makes the holder end soon. It must not block and must not call back
	// into the Budgeter.
	GiveWay()
}

// Budgeter is the account of the bytes held by a process.
type Budgeter struct {
	clock clockwork.Clock

	mutex sync.Mutex
	// total is the budget; limits has what all reservations together may hold when
	// one of a class is added or grows.
	total  int64
	limits [classes]int64
	// held is the sum of all reservations. It exceeds total only by Hold.
	held int64
	// large is the part of held that large reservations have.
	large int64
	// exempt is the part of held that Hold has taken.
	exempt int64
	// reservations has those with a holder.
	reservations map[*Reservation]struct{}
	waiting      int
	// released is closed and replaced when bytes are released while somebody waits.
	released chan struct{}
	// refused and reclaimed count reservations.
	refused, reclaimed int64
}

// BudgetOf returns the budget of a process on a machine with that much memory, or with
// DefaultMachineBytes if it is not positive.
func BudgetOf(machineBytes int64) int64 {
	if machineBytes <= 0 {
		machineBytes = DefaultMachineBytes
	}
	return max(int64(float64(machineBytes)*budgetFraction)-programBytes, minBudgetBytes)
}

// New returns a Budgeter of total bytes.
func New(clock clockwork.Clock, total int64) *Budgeter {
	return &Budgeter{
		clock: clock, total: total, limits: [classes]int64{ClassHead: total, ClassSmall: total, ClassLarge: total - total/smallShareParts},
		reservations: make(map[*Reservation]struct{}), released: make(chan struct{}),
	}
}

// Reservation is a part of the budget. Its methods may be called on nil, which is a
// reservation of a process without a budget.
type Reservation struct {
	budgeter *Budgeter
	// class turns from ClassSmall to ClassLarge as soon as SmallBytes are held.
	class Class
	// holder is nil if the reservation can't be reclaimed.
	holder Holder
	// exempt reservations are never large. They don't keep a large one from being the
	// only one.
	exempt bool
	// held and reclaimed are guarded by the budgeter's mutex. reclaimed is set once
	// the holder was asked to release its memory.
	held      int64
	reclaimed bool
	// closed is set by Release; nothing can be added any more.
	closed bool
}

// Reserve takes n bytes from the budget. If there is no room, it makes holders without
// progress give way and waits for a short time.
func (b *Budgeter) Reserve(ctx context.Context, n int64, c Class, h Holder) (r *Reservation, err error) {
	if b == nil {
		return nil, nil
	}
	r = &Reservation{budgeter: b, class: c, holder: h}
	if err := r.grow(ctx, n); err != nil {
		return nil, err
	}
	return r, nil
}

// TryReserve is Reserve without waiting. It makes no holder give way.
func (b *Budgeter) TryReserve(n int64, c Class, h Holder) (r *Reservation, err error) {
	if b == nil {
		return nil, nil
	}
	r = &Reservation{budgeter: b, class: c, holder: h}
	if !r.TryGrow(n) {
		return nil, ErrExhausted
	}
	return r, nil
}

// Hold takes n bytes from the budget even if there is no room, for memory that is needed
// whatever else is refused.
func (b *Budgeter) Hold(n int64) *Reservation {
	if b == nil {
		return nil
	}
	r := &Reservation{budgeter: b, exempt: true}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r.add(n)
	return r
}

// Hold takes n more bytes even if there is no room.
func (r *Reservation) Hold(n int64) {
	if r == nil || n <= 0 {
		return
	}
	r.budgeter.mutex.Lock()
	defer r.budgeter.mutex.Unlock()
	if !r.closed {
		r.add(n)
	}
}

// Open returns a reservation that holds nothing yet.
func (b *Budgeter) Open(h Holder) *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budgeter: b, class: ClassSmall, holder: h}
}

// Grow takes n more bytes, like Reserve.
func (r *Reservation) Grow(ctx context.Context, n int64) error {
	if r == nil {
		return nil
	}
	return r.grow(ctx, n)
}

// TryGrow takes n more bytes if there is room at once.
func (r *Reservation) TryGrow(n int64) bool {
	if r == nil {
		return true
	}
	b := r.budgeter
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !r.closed && r.fits(n) {
		r.add(n)
		return true
	}
	return false
}

// grow implements Reserve and Grow.
func (r *Reservation) grow(ctx context.Context, n int64) error {
	b := r.budgeter
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !r.closed && r.fits(n) {
		r.add(n)
		return nil
	}
	if b.waiting >= maxWaiting || r.closed {
		b.refused++
		return ErrExhausted
	}
	b.waiting++
	defer func() { b.waiting-- }()
	timeout := b.clock.After(waitTimeout)
	for {
		b.reclaim(b.held + n - b.limits[r.classWith(n)])
		released := b.released
		b.mutex.Unlock()
		gaveUp := false
		select {
		case <-released:
		case <-b.clock.After(waitInterval):
		case <-timeout:
			gaveUp = true
		case <-ctx.Done():
			gaveUp = true
		}
		b.mutex.Lock()
		switch {
		case !r.closed && r.fits(n):
			r.add(n)
			return nil
		case gaveUp || r.closed:
			b.refused++
			return ErrExhausted
		}
	}
}

// fits reports whether there is room for n more bytes.
//
// Small reservations always have their share, whatever else is held. The largest legal
// body may exceed the limit of its class on a small machine: a large reservation that is
// the only one fits as long as the others keep to their shares. The caller must hold the
// mutex.
func (r *Reservation) fits(n int64) bool {
	b := r.budgeter
	c := r.classWith(n)
	if b.held+n <= b.limits[c] {
		return true
	}
	share := b.total / smallShareParts
	small := b.held - b.large - b.exempt
	if c != ClassLarge {
		return small+n <= share
	}
	othersLarge := b.large
	if r.class == ClassLarge {
		othersLarge -= r.held
	} else {
		small -= r.held
	}
	return othersLarge == 0 && small <= share && b.exempt <= b.total/2
}

// classWith returns the class of a reservation after it has grown by n bytes.
func (r *Reservation) classWith(n int64) Class {
	if r.class == ClassHead {
		return ClassHead
	}
	return max(r.class, ClassOf(r.held+n))
}

// add takes n bytes. The caller must hold the mutex.
func (r *Reservation) add(n int64) {
	b := r.budgeter
	if r.holder != nil && r.held == 0 {
		b.reservations[r] = struct{}{}
	}
	if c := r.classWith(n); c == ClassLarge && r.class == ClassSmall && !r.exempt {
		r.class = c
		b.large += r.held
	}
	r.held += n
	b.held += n
	switch {
	case r.exempt:
		b.exempt += n
	case r.class == ClassLarge:
		b.large += n
	}
}

// Shrink gives n bytes back.
func (r *Reservation) Shrink(n int64) {
	if r == nil || n <= 0 {
		return
	}
	b := r.budgeter
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r.remove(min(n, r.held))
}

// Release gives all bytes back and ends the reservation. It may be called more than
// once.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	b := r.budgeter
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r.remove(r.held)
	r.closed = true
}

// MoveTo gives all bytes to another reservation and ends this one. If the other is nil or
// has ended, they are released.
func (r *Reservation) MoveTo(to *Reservation) {
	if r == nil || to == nil || to.budgeter != r.budgeter {
		r.Release()
		return
	}
	b := r.budgeter
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := r.held
	r.remove(n)
	r.closed = true
	if !to.closed {
		to.add(n)
	}
}

// remove gives n bytes back. The caller must hold the mutex.
func (r *Reservation) remove(n int64) {
	b := r.budgeter
	r.held -= n
	b.held -= n
	switch {
	case r.exempt:
		b.exempt -= n
	case r.class == ClassLarge:
		b.large -= n
	}
	if r.held == 0 && r.holder != nil {
		delete(b.reservations, r)
	}
	if n > 0 && b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// reclaim makes the holders with the longest time without progress give way until they
// hold n bytes, those that were told before included. The caller must hold the mutex.
func (b *Budgeter) reclaim(n int64) {
	for r := range b.reservations {
		if r.reclaimed {
			n -= r.held
		}
	}
	for n > 0 {
		var longest *Reservation
		stalled := reclaimAfter - 1
		for r := range b.reservations {
			if r.reclaimed {
				continue
			}
			if d := r.holder.Stalled(); d > stalled {
				longest, stalled = r, d
			}
		}
		if longest == nil {
			return
		}
		longest.reclaimed = true
		longest.holder.GiveWay()
		b.reclaimed++
		n -= longest.held
	}
}

// Status describes the account.
type Status struct {
	// Total is the budget, Held what is reserved, in bytes.
	Total, Held int64
	// Refused counts reservations without room, Reclaimed those whose holders had to
	// give way.
	Refused, Reclaimed int64
}

// Status returns the present state.
func (b *Budgeter) Status() Status {
	if b == nil {
		return Status{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Status{Total: b.total, Held: b.held, Refused: b.refused, Reclaimed: b.reclaimed}
}
