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

// behindTimeout is how long a document from a revision that isn't known here
// yet waits for it.
const behindTimeout = 2 * time.Second

// Publish appends the document as a proposal and waits for the verdict. An
// error leaves open whether it will be accepted; to ask again, at any entry,
// publish the same document with the same id: it is never accepted twice.
func (f *Follower) Publish(ctx context.Context, d validator.Document) (v Verdict, err error) {
	defer annotator.Annotate(&err, "publish document %s", d.ID)
	hash, err := HashOf(d)
	if err != nil {
		return nil, err
	}
	id := publication{d.ID, hash}
	s, v, err := f.waitForBase(ctx, id, d.Base)
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
	return f.waitForVerdict(ctx, id)
}

// waitForBase returns the state whose revision is base, or a verdict where
// none of that revision is to come.
func (f *Follower) waitForBase(ctx context.Context, id publication, base identifier.Revision) (State, Verdict, error) {
	behind := f.clock.After(behindTimeout)
	for {
		changed := f.Changed()
		if v := f.verdictOn(id); v != nil {
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
		case <-behind:
			if inForce {
				// Nothing was appended, so nothing of it can be accepted.
				return s, Conflict{Base: base, Current: s.Revision}, nil
			}
		}
	}
}

func (f *Follower) waitForVerdict(ctx context.Context, id publication) (Verdict, error) {
	for {
		changed := f.Changed()
		if v := f.verdictOn(id); v != nil {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// verdictOn returns the verdict on a document, nil if none is known.
func (f *Follower) verdictOn(id publication) Verdict {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if old, ok := f.state.accepted(id.id); ok && f.caughtUp {
		if old.Hash == id.hash {
			return Accepted{Revision: old.Revision}
		}
		return f.state.again(Proposal{DocumentID: id.id, Hash: id.hash}, old)
	}
	if v, ok := f.verdicts.Get(id); ok {
		return v
	}
	return nil
}
