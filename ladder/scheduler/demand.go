package scheduler

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/routing/splitter"
)

// WaitingItems are the items of this process that wait for a place at a service.
type WaitingItems struct {
	Count int
	// Longest is how long one of them has waited.
	Longest time.Duration
	// Work is the time that one place would need for them; 0 if unknown.
	Work time.Duration
}

// WaitingItems returns the items that wait for a place, by the service to which their route
// assigns them.
func (s *Scheduler) WaitingItems() map[identifier.ServiceName]WaitingItems {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	waiting := make(map[identifier.ServiceName]WaitingItems)
	for _, t := range s.readyTasks() {
		route, ok := s.routeOf(t)
		if !ok {
			continue
		}
		service := splitter.Assign(route, string(t.key.item))
		w := waiting[service]
		left := max(t.expectedTokens(), identifier.TokenCount(t.lastEvent)+1) - identifier.TokenCount(t.lastEvent)
		w.Count++
		w.Longest = max(w.Longest, s.clock.Since(t.waitingSince))
		w.Work += time.Duration(left) * s.router.MeanChunkInterval(service)
		waiting[service] = w
	}
	return waiting
}

// InFlight returns how many items of this process run at a target.
func (s *Scheduler) InFlight(target identifier.TargetName) int { return s.router.InFlight(target) }
