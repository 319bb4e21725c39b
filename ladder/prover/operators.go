package prover

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// AcceptedDocument is what an operator was told of its document.
type AcceptedDocument struct {
	document identifier.DocumentID
	revision identifier.Revision
}

// publishTimeout is how long an operator waits for a verdict.
const publishTimeout = 8 * time.Second

// publish proposes a document made from what the entry shows, and returns
// whether it was accepted. Without a verdict the operator doesn't know.
func (w *Simulation) publish(name string, id identifier.DocumentID) (accepted bool) {
	ctx, cancel := context.WithTimeout(w.ctx, publishTimeout)
	defer cancel()
	c := injector.Call{Port: name, Name: "publish", Kinds: injector.ExternalKinds(), RefusedError: errNoEntry, LostError: errAnswerLost}
	verdicts := make(chan accepter.Verdict, 1)
	err := w.outside.Do(ctx, c, func(ctx context.Context) error {
		return w.enter(ctx, name, func(ctx context.Context, e *entry) error {
			s, _ := e.coordinator.Follower().State()
			if s.Document == nil {
				return errNoEntry
			}
			d := *s.Document
			d.ID, d.Base = id, s.Revision
			v, err := e.coordinator.Follower().Publish(ctx, d)
			verdicts <- v
			return err
		})
	})
	if err != nil {
		return false
	}
	v, accepted := (<-verdicts).(accepter.Accepted)
	if accepted {
		w.mutex.Lock()
		w.accepted = append(w.accepted, AcceptedDocument{document: id, revision: v.Revision})
		w.mutex.Unlock()
	}
	return accepted
}

// watchRevision notes every document that an entry puts in force: none may go
// back, and no two entries may differ on one revision.
func (w *Simulation) watchRevision(ctx context.Context, e *entry) {
	var last identifier.Revision
	for {
		changed := e.coordinator.Follower().Changed()
		if s, _ := e.coordinator.Follower().State(); s.Document != nil && s.Revision != last {
			w.noteRevision(e.name, last, s)
			last = s.Revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (w *Simulation) noteRevision(name string, last identifier.Revision, s accepter.State) {
	w.mutex.Lock()
	known, ok := w.inForce[s.Revision]
	if !ok {
		w.inForce[s.Revision] = s.Document.ID
	}
	w.mutex.Unlock()
	if s.Revision < last {
		w.violate(promiseConfiguration, "%s went back from revision %d to %d", name, last, s.Revision)
	}
	if ok && known != s.Document.ID {
		w.violate(promiseConfiguration, "%s has %s as revision %d, another entry %s", name, s.Document.ID, s.Revision, known)
	}
}
