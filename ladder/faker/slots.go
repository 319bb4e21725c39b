package faker

import (
	"context"
	"slices"
	"sync"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// slots limits the concurrent requests of each target. A free slot goes to the
// most urgent waiting request.
type slots struct {
	mutex     sync.Mutex
	perTarget int
	// running is the number of requests of each target that hold a slot.
	running map[identifier.TargetName]int
	waiting map[identifier.TargetName][]waiter
}

type waiter struct {
	urgency sender.Urgency
	// granted is closed when the waiter gets a slot.
	granted chan struct{}
}

// defaultUrgency applies to requests without an urgency.
const defaultUrgency sender.Urgency = 5

// take waits for a slot. It returns false if ctx ends first.
func (s *slots) take(ctx context.Context, t identifier.TargetName, u sender.Urgency) bool {
	if u == 0 {
		u = defaultUrgency
	}
	s.mutex.Lock()
	if s.running[t] < s.perTarget {
		s.running[t]++
		s.mutex.Unlock()
		return true
	}
	w := waiter{urgency: u, granted: make(chan struct{})}
	list := append(s.waiting[t], w)
	slices.SortStableFunc(list, func(a, b waiter) int { return int(a.urgency - b.urgency) })
	s.waiting[t] = list
	s.mutex.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		s.abandon(t, w)
		return false
	}
}

// abandon removes a waiter, or releases its slot if it was granted one in the
// meantime.
func (s *slots) abandon(t identifier.TargetName, w waiter) {
	s.mutex.Lock()
	n := slices.IndexFunc(s.waiting[t], func(other waiter) bool { return other.granted == w.granted })
	if n >= 0 {
		s.waiting[t] = slices.Delete(s.waiting[t], n, n+1)
	}
	s.mutex.Unlock()
	if n < 0 {
		s.release(t)
	}
}

// release hands a slot to the next waiter or marks it free.
func (s *slots) release(t identifier.TargetName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if list := s.waiting[t]; len(list) > 0 {
		close(list[0].granted)
		s.waiting[t] = list[1:]
		return
	}
	s.running[t]--
}
