// Package explainer remembers an entry's recent decisions, so that an operator
// can ask why a request was refused or where it was sent.
package explainer

import (
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// It keeps no bodies, keys or prompts. The ring has a fixed size: at about 300
// bytes a decision the whole is well under a megabyte.

// Capacity is how many decisions are remembered.
const Capacity = 2048

// Decision is what an entry decided about one request.
type Decision struct {
	Request identifier.RequestID `json:"request-id"`
	// At is when the outcome was known.
	At time.Time `json:"at"`
	// Team is empty if the key was not known.
	Team    identifier.TeamName      `json:"team,omitempty"`
	Class   identifier.PriorityClass `json:"class,omitempty"`
	Service identifier.ServiceName   `json:"service"`
	Call    identifier.CallName      `json:"call"`
	// Outcome is completed, not-run or unknown.
	Outcome string `json:"outcome"`
	// Code says why it did not complete; see Meanings.
	Code string `json:"code,omitempty"`
	// Target gave the answer.
	Target identifier.TargetName `json:"target,omitempty"`
	// Status is the target's HTTP status.
	Status int `json:"status,omitempty"`
	// Took is from acceptance to the outcome, in nanoseconds.
	Took time.Duration `json:"took"`
	// RetryAfter is the wait that the caller was asked for, in nanoseconds.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	// Revision is the configuration that it was judged by.
	Revision identifier.Revision `json:"revision"`
}

// DecisionLog remembers the newest decisions.
type DecisionLog struct {
	mutex sync.Mutex
	// ring has Capacity places; next is the one written next.
	ring []Decision
	next int
	// places finds the decisions in ring.
	places map[identifier.RequestID]int
}

// NewDecisionLog returns an Explainer that remembers nothing yet.
func NewDecisionLog() *DecisionLog {
	return &DecisionLog{places: make(map[identifier.RequestID]int)}
}

// Add remembers a decision and forgets the oldest one beyond Capacity.
func (e *DecisionLog) Add(d Decision) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.ring) < Capacity {
		e.ring = append(e.ring, d)
	} else {
		if old := e.ring[e.next].Request; e.places[old] == e.next {
			delete(e.places, old)
		}
		e.ring[e.next] = d
	}
	e.places[d.Request] = e.next
	e.next = (e.next + 1) % Capacity
}

// Find returns the newest decision about a request.
func (e *DecisionLog) Find(id identifier.RequestID) (Decision, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	place, ok := e.places[id]
	if !ok {
		return Decision{}, false
	}
	return e.ring[place], true
}
