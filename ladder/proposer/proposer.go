// Package proposer submits configuration documents to the log on behalf of
// operators and waits for the verdict. The console and the HTTP interface both
// use it.
package proposer

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/differ"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// RetryAfter is the delay that clients are asked to wait while the log does
// not answer.
const RetryAfter = 5 * time.Second

// verdictTimeout limits the wait for a verdict.
const verdictTimeout = 8 * time.Second

// Result is the outcome of a proposal: Accepted, Conflict, Invalid or
// Undecided.
//
//sumtype:decl
type Result interface{ result() }

// Accepted means that the document is in force from Revision on.
type Accepted struct{ Revision identifier.Revision }

// Conflict means that another document was accepted after the base revision.
// The verdict on the proposal is final.
type Conflict struct {
	Current identifier.Revision `json:"current"`
	// Mine and Theirs are the changes since the base revision. Both are empty
	// if the base document is no longer known.
	Mine   []differ.Change `json:"mine"`
	Theirs []differ.Change `json:"theirs"`
	// Clashes lists the items that both sides changed.
	Clashes []differ.Clash `json:"clashes"`
	// Rebased is the proposal rebased on the current revision. It is nil if
	// the changes clash or the base document is not known.
	Rebased *validator.Document `json:"rebased"`
}

// Invalid lists the faults of a rejected document.
type Invalid struct{ Faults validator.Faults }

// Undecided means that the log gave no answer, so that the document may still
// be accepted. It is safe to propose the same document again with the same id.
type Undecided struct{ Reason string }

func (Accepted) result()  {}
func (Conflict) result()  {}
func (Invalid) result()   {}
func (Undecided) result() {}

// Follower provides the accepted configuration; *accepter.Follower implements
// it.
type Follower interface {
	State() (accepter.State, bool)
	Publish(ctx context.Context, d validator.Document) (accepter.Verdict, error)
}

// History provides documents of earlier revisions; *historian.Historian
// implements it.
type History interface {
	At(ctx context.Context, r identifier.Revision) (*validator.Document, error)
}

// Proposer submits documents.
type Proposer struct {
	follower Follower
	history  History
}

// New returns a Proposer.
func New(f Follower, h History) *Proposer { return &Proposer{follower: f, history: h} }

// WithContentID returns d with an id derived from its previous id and its
// whole content. Verdicts are looked up by id. If a draft kept its id, a draft
// corrected after a rejection, or changed after a lost response, would get the
// verdict on its earlier content.
func WithContentID(d validator.Document) (validator.Document, error) {
	data, err := validator.Encode(d)
	if err != nil {
		return d, err
	}
	d.ID = identifier.DocumentID(uuid.NewHash(sha256.New(), uuid.NameSpaceOID, data, contentUUIDVersion).String())
	return d, nil
}

// contentUUIDVersion is the UUID version reserved for custom formats (RFC
// 9562).
const contentUUIDVersion = 8

// Propose publishes a document of the operator and waits for the verdict. It
// is safe to propose the same document again. operator may be empty only while
// no document is in force.
func (p *Proposer) Propose(ctx context.Context, operator identifier.OperatorName, d validator.Document) Result {
	faults := validator.Validate(d)
	if operator != "" && d.Author != operator {
		faults = append(faults, validator.Fault{
			Path: "author", Value: fmt.Sprintf("%q", d.Author), Allowed: fmt.Sprintf("%q, whose key published it", operator),
		})
	}
	if len(faults) > 0 {
		return Invalid{Faults: faults}
	}
	d, err := WithContentID(d)
	if err != nil {
		return Undecided{Reason: err.Error()}
	}
	return p.publish(ctx, d)
}

// publish is Propose without the checks that are repeated by every reader of
// the log.
func (p *Proposer) publish(ctx context.Context, d validator.Document) Result {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	verdict, err := p.follower.Publish(ctx, d)
	if err != nil {
		return Undecided{Reason: err.Error()}
	}
	switch v := verdict.(type) {
	case accepter.Accepted:
		return Accepted{Revision: v.Revision}
	case accepter.Invalid:
		return Invalid{Faults: v.Faults}
	case accepter.Conflict:
		return p.resolveConflict(ctx, d)
	case accepter.Ignored:
		return Undecided{Reason: v.Reason}
	}
	return Undecided{Reason: fmt.Sprintf("verdict %T", verdict)}
}

// resolveConflict describes a lost race between operators. If the current
// document already contains all changes of the proposal, the proposal counts
// as accepted, because a copy of it was.
func (p *Proposer) resolveConflict(ctx context.Context, mine validator.Document) Result {
	state, _ := p.follower.State()
	c := Conflict{Current: state.Revision}
	base, err := p.history.At(ctx, mine.Base)
	if err != nil || base == nil || state.Document == nil {
		return c
	}
	c.Mine, err = differ.Diff(base, &mine)
	if err != nil {
		return c
	}
	if c.Theirs, err = differ.Diff(base, state.Document); err != nil {
		return c
	}
	c.Rebased, c.Clashes, err = differ.Rebase(base, &mine, state.Document, state.Revision)
	if err != nil || c.Rebased == nil {
		return c
	}
	if left, err := differ.Diff(state.Document, c.Rebased); err == nil && len(left) == 0 {
		return Accepted{Revision: state.Revision}
	}
	return c
}

// maxWithdrawAttempts limits the retries of a withdrawal after conflicts with
// other changes.
const maxWithdrawAttempts = 10

// ErrNotServiceOwner means that a withdrawal is not signed by the owner of the
// service.
var ErrNotServiceOwner = errors.New("not the withdrawal of the service's owner")

// Withdraw removes a grant at the request of the service owner, and retries
// after conflicts with other changes. Withdrawing an approval that is no
// longer in force succeeds.
func (p *Proposer) Withdraw(ctx context.Context, w approver.Withdrawal) (r Result, err error) {
	for range maxWithdrawAttempts {
		state, _ := p.follower.State()
		if state.Document == nil {
			return nil, ErrNotServiceOwner
		}
		owner, ok := approver.VerifyWithdrawal(state.Document, w)
		if !ok {
			return nil, ErrNotServiceOwner
		}
		if !w.AppliesTo(state.Document) {
			return Accepted{Revision: state.Revision}, nil
		}
		d := WithoutGrant(*state.Document, w.Team, w.Service)
		d.ID, d.Base, d.Author = identifier.NewDocumentID(), state.Revision, identifier.OperatorName(owner)
		r = p.publish(ctx, d)
		if _, conflict := r.(Conflict); !conflict {
			return r, nil
		}
	}
	return r, nil
}

// WithoutGrant returns d without the grant of the service to the team.
func WithoutGrant(d validator.Document, t identifier.TeamName, s identifier.ServiceName) validator.Document {
	grants := make([]validator.Grant, 0, len(d.Grants))
	for _, g := range d.Grants {
		if g.Team != t || g.Service != s {
			grants = append(grants, g)
		}
	}
	d.Grants = grants
	return d
}
