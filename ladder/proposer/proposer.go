// Package proposer takes a document from an operator to its verdict. The
// console and the HTTP interface use the same one.
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

// RetryAfter is the wait asked while the log gives no answer.
const RetryAfter = 5 * time.Second

// verdictTimeout bounds the wait for a verdict.
const verdictTimeout = 8 * time.Second

// Result is what became of a proposal: Accepted, Conflict, Faulty or
// Undecided.
//
//sumtype:decl
type Result interface{ result() }

// Accepted says that the document is in force from Revision on.
type Accepted struct{ Revision identifier.Revision }

// Conflict says that another document was accepted since the base. The
// proposal will never be accepted.
type Conflict struct {
	Current identifier.Revision `json:"current"`
	// Mine and Theirs are the changes since the base; both are empty if the
	// base is not known any more.
	Mine   []differ.Change `json:"mine"`
	Theirs []differ.Change `json:"theirs"`
	// Clashes lists the items that both changed.
	Clashes []differ.Clash `json:"clashes"`
	// Rebased is the proposal on top of the current revision; nil where they
	// touch or the base is not known.
	Rebased *validator.Document `json:"rebased"`
}

// Invalid says that the document is not valid.
type Invalid struct{ Faults validator.Faults }

// Undecided says that the log gave no answer: the document may still be
// accepted. To propose the same document again, with its id, is safe.
type Undecided struct{ Reason string }

func (Accepted) result()  {}
func (Conflict) result()  {}
func (Invalid) result()   {}
func (Undecided) result() {}

// Follower is the accepted configuration; *accepter.Follower is one.
type Follower interface {
	State() (accepter.State, bool)
	Publish(ctx context.Context, d validator.Document) (accepter.Verdict, error)
}

// History gives earlier documents; *historian.Historian is one.
type History interface {
	At(ctx context.Context, r identifier.Revision) (*validator.Document, error)
}

// Proposer proposes documents.
type Proposer struct {
	follower Follower
	history  History
}

// New returns a Proposer.
func New(f Follower, h History) *Proposer { return &Proposer{follower: f, history: h} }

// WithContentID makes the document's id from its id and its whole content. A
// verdict is found again by the id; were the id the draft's alone, a draft that
// was mended after a refusal, or changed after a lost answer, would be given
// the verdict on what it was before.
func WithContentID(d validator.Document) (validator.Document, error) {
	data, err := validator.Encode(d)
	if err != nil {
		return d, err
	}
	d.ID = identifier.DocumentID(uuid.NewHash(sha256.New(), uuid.NameSpaceOID, data, contentVersion).String())
	return d, nil
}

// contentVersion is the UUID version for ids of one's own making.
const contentVersion = 8

// Propose publishes the operator's document and waits for the verdict. To
// propose the same document again is safe. The operator is "" only while no
// document is in force.
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

// publish is Propose without the checks that the log's readers make as well.
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
		return p.conflict(ctx, d)
	case accepter.Ignored:
		return Undecided{Reason: v.Reason}
	}
	return Undecided{Reason: fmt.Sprintf("verdict %T", verdict)}
}

// conflict explains a lost race. If all that the proposal wanted is in force
// already, it counts as accepted: a copy of it was.
func (p *Proposer) conflict(ctx context.Context, mine validator.Document) Result {
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

// maxWithdrawTries bounds the races that a withdrawal may lose.
const maxWithdrawTries = 10

// ErrNotServiceOwner says that a withdrawal is not the owner's own.
var ErrNotServiceOwner = errors.New("not the withdrawal of the service's owner")

// Withdraw takes a grant out on its owner's word, whatever else changes. To
// withdraw again what is gone already is no fault.
func (p *Proposer) Withdraw(ctx context.Context, w approver.Withdrawal) (r Result, err error) {
	for range maxWithdrawTries {
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

// WithoutGrant returns d without one grant.
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
