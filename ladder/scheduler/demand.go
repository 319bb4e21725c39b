package scheduler

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// WaitingItems are the items of this process that wait for a place at a service.
type WaitingItems struct {
	Count int
	// Longest is how long one of them has waited.
	Longest time.Duration
	// Work is the time that one place would need for them; 0 if unknown.
	Work time.Duration
}

// WaitingItems returns the items that wait for a place, by service. An item whose route has
// several services waits for the first.
func (s *Scheduler) WaitingItems() map[identifier.ServiceName]WaitingItems {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	waiting := make(map[identifier.ServiceName]WaitingItems)
	for _, t := range s.readyTasks() {
		service := t.job.route.Shares[0].Service
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
