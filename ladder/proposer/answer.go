package proposer

import (
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Answer is a Result on the wire.
type Answer struct {
	// Verdict is accepted, conflict, invalid or undecided.
	Verdict  string              `json:"verdict"`
	Revision identifier.Revision `json:"revision,omitempty"`
	Faults   validator.Faults    `json:"faults,omitempty"`
	Reason   string              `json:"reason,omitempty"`
	Conflict *Conflict           `json:"conflict,omitempty"`
}

// AnswerOf returns r on the wire.
func AnswerOf(r Result) Answer {
	switch r := r.(type) {
	case Accepted:
		return Answer{Verdict: "accepted", Revision: r.Revision}
	case Conflict:
		return Answer{Verdict: "conflict", Revision: r.Current, Conflict: &r}
	case Faulty:
		return Answer{Verdict: "invalid", Faults: r.Faults}
	case Undecided:
		return Answer{Verdict: "undecided", Reason: r.Reason}
	}
	return Answer{Verdict: "undecided"}
}
