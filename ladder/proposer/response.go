package proposer

import (
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Response is the JSON encoding of a Result.
type Response struct {
	// Verdict is accepted, conflict, invalid or undecided.
	Verdict  string              `json:"verdict"`
	Revision identifier.Revision `json:"revision,omitempty"`
	Faults   validator.Faults    `json:"faults,omitempty"`
	Reason   string              `json:"reason,omitempty"`
	Conflict *Conflict           `json:"conflict,omitempty"`
}

// NewResponse returns the JSON encoding of r.
func NewResponse(r Result) Response {
	switch r := r.(type) {
	case Accepted:
		return Response{Verdict: "accepted", Revision: r.Revision}
	case Conflict:
		return Response{Verdict: "conflict", Revision: r.Current, Conflict: &r}
	case Invalid:
		return Response{Verdict: "invalid", Faults: r.Faults}
	case Undecided:
		return Response{Verdict: "undecided", Reason: r.Reason}
	}
	return Response{Verdict: "undecided"}
}
