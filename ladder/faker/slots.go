package faker

import (
	"context"
	"slices"
	"sync"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// slots are those of engines that take what is more urgent first.
type slots struct {
	mutex sync.Mutex
	each  int
	// running counts the requests of each target that have a slot.
	running map[identifier.TargetName]int
	waiting map[identifier.TargetName][]waiter
}

type waiter struct {
	urgency sender.Urgency
	// granted is closed when the slot is the waiter's.
	granted chan struct{}
}

// usualUrgency is that of a request that names none.
const usualUrgency sender.Urgency = 5

// take waits for a slot, and returns false if ctx ends before.
func (s *slots) take(ctx context.Context, t identifier.TargetName, u sender.Urgency) bool {
	if u == 0 {
		u = usualUrgency
	}
	s.mutex.Lock()
	if s.running[t] < s.each {
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
		s.leave(t, w)
		return false
	}
}

// leave takes a waiter out, or gives its slot back if it has one by now.
func (s *slots) leave(t identifier.TargetName, w waiter) {
	s.mutex.Lock()
	n := slices.IndexFunc(s.waiting[t], func(other waiter) bool { return other.granted == w.granted })
	if n >= 0 {
		s.waiting[t] = slices.Delete(s.waiting[t], n, n+1)
	}
	s.mutex.Unlock()
	if n < 0 {
		s.giveBack(t)
	}
}

func (s *slots) giveBack(t identifier.TargetName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if list := s.waiting[t]; len(list) > 0 {
		close(list[0].granted)
		s.waiting[t] = list[1:]
		return
	}
	s.running[t]--
}
