package accepter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// baseRevisionTimeout is how long publishing waits for a base revision that
// this reader does not know yet.
const baseRevisionTimeout = 2 * time.Second

// Publish appends the document as a proposal and waits for the verdict. After
// an error the document may or may not be accepted later. To retry, at any
// entry, publish the same document with the same id: it is never accepted
// twice.
func (f *Follower) Publish(ctx context.Context, d validator.Document) (v Verdict, err error) {
	defer annotator.Annotate(&err, "publish document %s", d.ID)
	hash, err := HashOf(d)
	if err != nil {
		return nil, err
	}
	key := documentKey{d.ID, hash}
	s, v, err := f.waitForBase(ctx, key, d.Base)
	if v != nil || err != nil {
		return v, err
	}
	p, err := NewProposal(s.Document, d)
	if err != nil {
		return nil, err
	}
	data, err := EncodeRecord(p)
	if err != nil {
		return nil, err
	}
	if _, err := f.log.Append(ctx, appender.StreamConfiguration, [][]byte{data}); err != nil && !errors.Is(err, appender.ErrOutcomeUnknown) {
		return nil, err
	}
	return f.waitForVerdict(ctx, key)
}

// waitForBase waits until base is the revision in force and returns that
// state. It returns a verdict instead if one is known already or base cannot
// become current.
func (f *Follower) waitForBase(ctx context.Context, key documentKey, base identifier.Revision) (State, Verdict, error) {
	baseTimeout := f.clock.After(baseRevisionTimeout)
	for {
		changed := f.Changed()
		if v := f.knownVerdict(key); v != nil {
			return State{}, v, nil
		}
		s, inForce := f.State()
		switch {
		case inForce && s.Revision == base:
			return s, nil, nil
		case inForce && s.Revision > base:
			return s, Conflict{Base: base, Current: s.Revision}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s, nil, errors.Wrap(ctx.Err(), "configuration in force not known")
		case <-baseTimeout:
			if inForce {
				// Nothing has been appended, so that the document cannot be
				// accepted later.
				return s, Conflict{Base: base, Current: s.Revision}, nil
			}
		}
	}
}

func (f *Follower) waitForVerdict(ctx context.Context, key documentKey) (Verdict, error) {
	for {
		changed := f.Changed()
		if v := f.knownVerdict(key); v != nil {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// knownVerdict returns the verdict on a document, or nil if it is not known.
func (f *Follower) knownVerdict(key documentKey) Verdict {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if old, ok := f.state.findAccepted(key.id); ok && f.caughtUp {
		if old.Hash == key.hash {
			return Accepted{Revision: old.Revision}
		}
		return f.state.duplicateVerdict(Proposal{DocumentID: key.id, Hash: key.hash}, old)
	}
	if v, ok := f.verdicts.Get(key); ok {
		return v
	}
	return nil
}
