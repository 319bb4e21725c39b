// Package accepter decides which proposed documents are in force. It is a pure
// function of a prefix of the log, so that every reader comes to the same
// verdict with no coordinator.
package accepter

import (
	"slices"
	"strconv"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Verdict is what a reader of the log makes of one record.
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

// maxRecent is how many accepted documents a State remembers by id. It is
// part of the format: every reader must forget the same ones.
const maxRecent = 128

// State is the accepted configuration after a prefix of the log. The zero
// State is that of an empty log. It is a value: Apply returns a new one.
type State struct {
	// Revision never goes back.
	Revision identifier.Revision
	// Document is nil while Revision is 0; it is never changed in place.
	Document *validator.Document
	// NextOffset is the offset after the last record applied.
	NextOffset identifier.LogOffset
	// RecentDocuments names the last accepted documents, oldest first, maxRecent at
	// most: one that comes again is known by its id. It is never changed in
	// place.
	RecentDocuments []AcceptedDocument
}

// Apply returns the state after one more record and the verdict on it.
// Records before Next are ignored.
func (s State) Apply(record appender.Record) (State, Verdict) {
	if record.Offset < s.NextOffset {
		return s, Ignored{Reason: "already applied"}
	}
	s.NextOffset = record.Offset + 1
	r, err := DecodeRecord(record.Data)
	if err != nil {
		return s, Ignored{Reason: err.Error()}
	}
	switch r := r.(type) {
	case Proposal:
		return s.applyProposal(r, record)
	case Checkpoint:
		return s, Ignored{Reason: s.compare(r)}
	}
	return s, Ignored{Reason: "unknown record"}
}

func (s State) applyProposal(p Proposal, record appender.Record) (State, Verdict) {
	if old, ok := s.accepted(p.DocumentID); ok {
		return s, s.again(p, old)
	}
	if p.BaseRevision != s.Revision {
		return s, Conflict{Base: p.BaseRevision, Current: s.Revision}
	}
	d, err := p.rebuild(s.Document)
	if err != nil {
		return s, Invalid{Faults: validator.Faults{{Path: "document", Value: err.Error(), Allowed: "a change of its base"}}}
	}
	if faults := s.judge(&d, record); len(faults) > 0 {
		return s, Invalid{Faults: faults}
	}
	s.Revision++
	s.Document = &d
	s.RecentDocuments = append(slices.Clone(s.RecentDocuments[max(0, len(s.RecentDocuments)+1-maxRecent):]), AcceptedDocument{ID: d.ID, Revision: s.Revision, Hash: p.Hash})
	return s, Accepted{Revision: s.Revision}
}

// again is the verdict on a document whose id was accepted before.
func (s State) again(p Proposal, old AcceptedDocument) Verdict {
	if old.Hash == p.Hash {
		return Ignored{Reason: "accepted before as revision " + strconv.FormatUint(uint64(old.Revision), 10)}
	}
	return Invalid{Faults: validator.Faults{{Path: "document-id", Value: string(p.DocumentID), Allowed: "an id that no other document had"}}}
}

func (s State) accepted(id identifier.DocumentID) (AcceptedDocument, bool) {
	for _, r := range s.RecentDocuments {
		if r.ID == id {
			return r, true
		}
	}
	return AcceptedDocument{}, false
}

// hashOf returns the hash of an accepted revision that is remembered.
func (s State) hashOf(revision identifier.Revision) (Hash, bool) {
	for _, r := range s.RecentDocuments {
		if r.Revision == revision {
			return r.Hash, true
		}
	}
	return Hash{}, false
}

// The reasons for which a carry-forward record changes nothing.
const (
	reasonCarried   = "carries forward what was read"
	reasonDisagrees = "disagrees with what was read"
)

// compare tells how a carry-forward record fits a state that has read all
// before it.
func (s State) compare(c Checkpoint) string {
	if c.Revision > s.Revision || c.NextOffset >= s.NextOffset || len(c.RecentDocuments) == 0 {
		return reasonDisagrees
	}
	known, ok := s.hashOf(c.Revision)
	if ok && known != c.RecentDocuments[len(c.RecentDocuments)-1].Hash {
		return reasonDisagrees
	}
	return reasonCarried
}

// follows says whether next may take the place of s: it goes on, and has the
// same document at each revision that both know.
func (s State) follows(next State) bool {
	if next.Revision < s.Revision || next.NextOffset < s.NextOffset {
		return false
	}
	for _, r := range s.RecentDocuments {
		if hash, ok := next.hashOf(r.Revision); ok && hash != r.Hash {
			return false
		}
	}
	return true
}

// judge returns the faults of a document whose base is s. The time that counts
// for approvals is the log's own.
func (s State) judge(d *validator.Document, record appender.Record) validator.Faults {
	faults := append(validator.Validate(*d), approver.ValidateOwnerChanges(s.Document, d)...)
	held := s.heldGrants()
	for i, g := range d.Grants {
		if old, ok := held[grantKey{g.Team, g.Service}]; ok && sameApproval(old.Approval, g.Approval) {
			continue
		}
		if err := approver.VerifyGrant(d, g, record.Time); err != nil {
			faults = append(faults, validator.Fault{
				Path: "grants[" + strconv.Itoa(i) + "].approval", Value: err.Error(), Allowed: "a current approval of the service's owner",
			})
		}
	}
	return faults
}

type grantKey struct {
	team    identifier.TeamName
	service identifier.ServiceName
}

// heldGrants returns the grants of the document in force. One that stands
// unchanged is not verified again: if it has expired since, or its owner's key
// has changed, it stays, and is refused at each call.
func (s State) heldGrants() map[grantKey]validator.Grant {
	if s.Document == nil {
		return nil
	}
	held := make(map[grantKey]validator.Grant, len(s.Document.Grants))
	for _, g := range s.Document.Grants {
		held[grantKey{g.Team, g.Service}] = g
	}
	return held
}

// sameApproval compares times by their instant: how a time's zone is held
// differs with the machine's own, and a verdict must not.
func sameApproval(a, b validator.Approval) bool {
	return a.Signature == b.Signature && a.Expires.Equal(b.Expires) && a.Owner == b.Owner
}
