// Package accepter evaluates the proposed configuration documents in the log
// and determines which one is in force. The result is a pure function of a
// prefix of the log, so that all readers reach the same verdicts without a
// coordinator.
package accepter

import (
	"slices"
	"strconv"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Verdict is the result of evaluating one record of the log.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Accepted means that the document is in force from Revision on.
type Accepted struct{ Revision identifier.Revision }

// Conflict means that another document was accepted after the base revision of
// the proposal.
type Conflict struct{ Base, Current identifier.Revision }

// Invalid lists the faults of a rejected document.
type Invalid struct{ Faults validator.Faults }

// Ignored means that the record does not change the state.
type Ignored struct{ Reason string }

func (Accepted) verdict() {}
func (Conflict) verdict() {}
func (Invalid) verdict()  {}
func (Ignored) verdict()  {}

// maxRecentDocuments is the number of accepted documents in
// State.RecentDocuments. It is part of the log format: readers that keep
// different numbers of documents would reach different verdicts.
const maxRecentDocuments = 128

// State is the accepted configuration after a prefix of the log. The zero
// State is that of an empty log. A State is immutable: Apply returns a new
// one.
type State struct {
	// Revision never decreases.
	Revision identifier.Revision
	// Document is nil while Revision is 0. It is never modified in place.
	Document *validator.Document
	// NextOffset is the offset after the last applied record.
	NextOffset identifier.LogOffset
	// RecentDocuments lists the last accepted documents, oldest first, at most
	// maxRecentDocuments of them. Resubmitted documents are recognized by
	// their id. The slice is never modified in place.
	RecentDocuments []AcceptedDocument
}

// Apply returns the state after one more record, and the verdict on that
// record. Records before NextOffset are ignored.
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
		return s, Ignored{Reason: s.compareCheckpoint(r)}
	}
	return s, Ignored{Reason: "unknown record"}
}

func (s State) applyProposal(p Proposal, record appender.Record) (State, Verdict) {
	if old, ok := s.findAccepted(p.DocumentID); ok {
		return s, s.duplicateVerdict(p, old)
	}
	if p.BaseRevision != s.Revision {
		return s, Conflict{Base: p.BaseRevision, Current: s.Revision}
	}
	d, err := p.decompress(s.Document)
	if err != nil {
		return s, Invalid{Faults: validator.Faults{{Path: "document", Value: err.Error(), Allowed: "a change of its base"}}}
	}
	if faults := s.validateProposal(&d, record); len(faults) > 0 {
		return s, Invalid{Faults: faults}
	}
	s.Revision++
	s.Document = &d
	s.RecentDocuments = append(slices.Clone(s.RecentDocuments[max(0, len(s.RecentDocuments)+1-maxRecentDocuments):]), AcceptedDocument{ID: d.ID, Revision: s.Revision, Hash: p.Hash})
	return s, Accepted{Revision: s.Revision}
}

// duplicateVerdict returns the verdict on a proposal whose document id has
// already been accepted.
func (s State) duplicateVerdict(p Proposal, old AcceptedDocument) Verdict {
	if old.Hash == p.Hash {
		return Ignored{Reason: "accepted before as revision " + strconv.FormatUint(uint64(old.Revision), 10)}
	}
	return Invalid{Faults: validator.Faults{{Path: "document-id", Value: string(p.DocumentID), Allowed: "an id that no other document had"}}}
}

func (s State) findAccepted(id identifier.DocumentID) (AcceptedDocument, bool) {
	for _, r := range s.RecentDocuments {
		if r.ID == id {
			return r, true
		}
	}
	return AcceptedDocument{}, false
}

// hashOfRevision returns the hash of the document accepted as revision, if it
// is among the recent documents.
func (s State) hashOfRevision(revision identifier.Revision) (Hash, bool) {
	for _, r := range s.RecentDocuments {
		if r.Revision == revision {
			return r.Hash, true
		}
	}
	return Hash{}, false
}

// The reasons given for ignoring a checkpoint.
const (
	reasonCheckpointMatches  = "carries forward what was read"
	reasonCheckpointMismatch = "disagrees with what was read"
)

// compareCheckpoint compares a checkpoint with the state computed from all
// records before it.
func (s State) compareCheckpoint(c Checkpoint) string {
	if c.Revision > s.Revision || c.NextOffset >= s.NextOffset || len(c.RecentDocuments) == 0 {
		return reasonCheckpointMismatch
	}
	known, ok := s.hashOfRevision(c.Revision)
	if ok && known != c.RecentDocuments[len(c.RecentDocuments)-1].Hash {
		return reasonCheckpointMismatch
	}
	return reasonCheckpointMatches
}

// canAdvanceTo reports whether next may replace s: neither its revision nor
// its offset is lower, and both have the same document at each revision that
// they both list.
func (s State) canAdvanceTo(next State) bool {
	if next.Revision < s.Revision || next.NextOffset < s.NextOffset {
		return false
	}
	for _, r := range s.RecentDocuments {
		if hash, ok := next.hashOfRevision(r.Revision); ok && hash != r.Hash {
			return false
		}
	}
	return true
}

// validateProposal returns the faults of a document whose base is s. Approvals
// are checked against the timestamp of the log record, so that all readers
// agree on whether one has expired.
func (s State) validateProposal(d *validator.Document, record appender.Record) validator.Faults {
	faults := append(validator.Validate(*d), approver.ValidateOwnerChanges(s.Document, d)...)
	current := s.currentGrants()
	for i, g := range d.Grants {
		if old, ok := current[grantKey{g.Team, g.Service}]; ok && approvalsEqual(old.Approval, g.Approval) {
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

// currentGrants returns the grants of the document in force by team and
// service. Unchanged grants are not verified again: one that has expired, or
// whose owner key has changed, stays in the document and is refused at each
// call.
func (s State) currentGrants() map[grantKey]validator.Grant {
	if s.Document == nil {
		return nil
	}
	current := make(map[grantKey]validator.Grant, len(s.Document.Grants))
	for _, g := range s.Document.Grants {
		current[grantKey{g.Team, g.Service}] = g
	}
	return current
}

// approvalsEqual compares expiry times as instants: the representation of the
// time zone depends on the local machine, and the verdict must not.
func approvalsEqual(a, b validator.Approval) bool {
	return a.Signature == b.Signature && a.Expires.Equal(b.Expires) && a.Owner == b.Owner
}
