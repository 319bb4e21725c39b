// Package explainer keeps the recent decisions of an entry, and the meanings
// of codes and log events, so that an operator can find out why a request was
// refused or where it was sent.
package explainer

import (
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Decisions contain no bodies, keys or prompts. The ring buffer has a fixed
// size: at about 300 bytes per decision it takes well under a megabyte.

// Capacity is the number of decisions kept.
const Capacity = 2048

// Decision is the decision of an entry on one request.
type Decision struct {
	Request identifier.RequestID `json:"request-id"`
	// At is when the outcome became known.
	At time.Time `json:"at"`
	// Team is empty if the key was unknown.
	Team    identifier.TeamName      `json:"team,omitempty"`
	Class   identifier.PriorityClass `json:"class,omitempty"`
	Service identifier.ServiceName   `json:"service"`
	Call    identifier.CallName      `json:"call"`
	// Outcome is completed, not-run or unknown.
	Outcome string `json:"outcome"`
	// Code is the reason why the request did not complete; see Meanings.
	Code string `json:"code,omitempty"`
	// Target is the target that responded.
	Target identifier.TargetName `json:"target,omitempty"`
	// Status is the HTTP status of the target.
	Status int `json:"status,omitempty"`
	// Took is the time from acceptance to the outcome, in nanoseconds.
	Took time.Duration `json:"took"`
	// RetryAfter is the delay that the caller was asked to wait, in
	// nanoseconds.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	// Revision is the configuration in force when the request was handled.
	Revision identifier.Revision `json:"revision"`
}

// DecisionLog keeps the newest decisions of an entry.
type DecisionLog struct {
	mutex sync.Mutex
	// ring holds up to Capacity decisions. next is the position of the next
	// write.
	ring []Decision
	next int
	// positions maps a request to the position of its newest decision in ring.
	positions map[identifier.RequestID]int
}

// NewDecisionLog returns an empty DecisionLog.
func NewDecisionLog() *DecisionLog {
	return &DecisionLog{positions: make(map[identifier.RequestID]int)}
}

// Add adds a decision and, beyond Capacity, discards the oldest one.
func (l *DecisionLog) Add(d Decision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.ring) < Capacity {
		l.ring = append(l.ring, d)
	} else {
		if old := l.ring[l.next].Request; l.positions[old] == l.next {
			delete(l.positions, old)
		}
		l.ring[l.next] = d
	}
	l.positions[d.Request] = l.next
	l.next = (l.next + 1) % Capacity
}

// Find returns the newest decision on a request.
func (l *DecisionLog) Find(id identifier.RequestID) (Decision, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	position, ok := l.positions[id]
	if !ok {
		return Decision{}, false
	}
	return l.ring[position], true
}
