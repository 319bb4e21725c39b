// Package accepter decides which proposed documents are in force. It is a pure
// function of a prefix of the log, so that every reader comes to the same
// verdict with no coordinator.
package accepter

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// RecordKind tells the records of the configuration stream apart.
type RecordKind string

// The kinds of record.
const (
	KindProposal     RecordKind = "proposal"
	KindCarryForward RecordKind = "carry-forward"
)

// Record is one record of the configuration stream.
type Record struct {
	Kind     RecordKind         `json:"kind"`
	Document validator.Document `json:"document"`
	// Revision and ReadUpTo are set in a carry-forward record: the document
	// is the accepted one of that revision for the log before ReadUpTo.
	Revision identifier.Revision  `json:"revision,omitempty"`
	ReadUpTo identifier.LogOffset `json:"read-up-to,omitempty"`
}

// Encode returns the record's bytes in the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.WithMessage(err, "encode record")
}

// DecodeRecord reads a record strictly.
func DecodeRecord(data []byte) (r Record, err error) {
	defer annotator.Annotate(&err, "decode record")
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return r, decoder.Decode(&r)
}

// Verdict is what a reader of the log makes of one proposal.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Accepted says that the document is in force from Revision on.
type Accepted struct{ Revision identifier.Revision }

// Conflict says that another document was accepted since the base.
type Conflict struct{ Base, Current identifier.Revision }

// Invalid says what is wrong with the document.
type Invalid struct{ Faults validator.Faults }

// Ignored says that the record changes nothing.
type Ignored struct{ Reason string }

func (Accepted) verdict() {}
func (Conflict) verdict() {}
func (Invalid) verdict()  {}
func (Ignored) verdict()  {}

// State is the accepted configuration after a prefix of the log. The zero
// State is that of an empty log. It is a value: Apply returns a new one.
type State struct {
	// Revision never goes back.
	Revision identifier.Revision
	// Document is nil while Revision is 0; it is never changed in place.
	Document *validator.Document
	// Next is the offset after the last record applied.
	Next identifier.LogOffset
}

// Apply returns the state after one more record and the verdict on it.
// Records before Next are ignored.
func (s State) Apply(record appender.Record) (State, Verdict) {
	if record.Offset < s.Next {
		return s, Ignored{Reason: "already applied"}
	}
	s.Next = record.Offset + 1
	r, err := DecodeRecord(record.Data)
	if err != nil {
		return s, Ignored{Reason: err.Error()}
	}
	if r.Kind != KindProposal {
		return s, Ignored{Reason: "not a proposal"}
	}
	if v := s.judge(r.Document, record); v != nil {
		return s, v
	}
	s.Revision++
	d := r.Document
	s.Document = &d
	return s, Accepted{Revision: s.Revision}
}

func (s State) judge(d validator.Document, record appender.Record) Verdict {
	if s.Document != nil && s.Document.ID == d.ID {
		return Ignored{Reason: "already accepted"}
	}
	if d.Base != s.Revision {
		return Conflict{Base: d.Base, Current: s.Revision}
	}
	faults := append(validator.Validate(d), approver.CheckOwners(s.Document, &d)...)
	for i, g := range d.Grants {
		if s.holds(&d, g) {
			continue
		}
		if err := approver.Check(&d, g, record.Time); err != nil {
			faults = append(faults, validator.Fault{
				Path: grantPath(i), Value: err.Error(), Allowed: "a current approval of the service's owner",
			})
		}
	}
	if len(faults) > 0 {
		return Invalid{Faults: faults}
	}
	return nil
}

// holds says whether the grant stands unchanged in the document in force, with
// the same owner and owner's key: it need not be verified again. One that has
// since expired stays in the document, and is refused at each call.
func (s State) holds(d *validator.Document, g validator.Grant) bool {
	if s.Document == nil {
		return false
	}
	old, ok := s.Document.GrantOf(g.Team, g.Service)
	if !ok || old != g {
		return false
	}
	before, _ := s.Document.ServiceByName(g.Service)
	after, _ := d.ServiceByName(g.Service)
	oldOwner, _ := s.Document.OwnerByName(before.Owner)
	newOwner, _ := d.OwnerByName(after.Owner)
	return before.Owner == after.Owner && oldOwner == newOwner
}

func grantPath(i int) string {
	return "grants[" + strconv.Itoa(i) + "].approval"
}
