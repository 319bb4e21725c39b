package prover

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// AcceptedDocument is a document that an operator was told is accepted, with its
// revision.
type AcceptedDocument struct {
	document identifier.DocumentID
	revision identifier.Revision
}

// publishTimeout is how long an operator waits for a verdict.
const publishTimeout = 8 * time.Second

// publish proposes a document that is based on the entry's current one, and returns
// whether the operator was told that it is accepted. If no verdict arrives, the
// document may still have been accepted.
func (sim *Simulation) publish(name string, id identifier.DocumentID) (accepted bool) {
	ctx, cancel := context.WithTimeout(sim.ctx, publishTimeout)
	defer cancel()
	c := injector.Call{Port: name, Name: "publish", Kinds: injector.ExternalKinds(), RefusedError: errEntryUnreachable, LostError: errAnswerLost}
	verdicts := make(chan accepter.Verdict, 1)
	err := sim.outside.Do(ctx, c, func(ctx context.Context) error {
		return sim.withEntry(ctx, name, func(ctx context.Context, e *entry) error {
			s, _ := e.coordinator.Follower().State()
			if s.Document == nil {
				return errEntryUnreachable
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
		sim.mutex.Lock()
		sim.accepted = append(sim.accepted, AcceptedDocument{document: id, revision: v.Revision})
		sim.mutex.Unlock()
	}
	return accepted
}

// watchRevision records every document that an entry puts in force. Revisions must
// not decrease, and all entries must have the same document for a revision.
func (sim *Simulation) watchRevision(ctx context.Context, e *entry) {
	var last identifier.Revision
	for {
		changed := e.coordinator.Follower().Changed()
		if s, _ := e.coordinator.Follower().State(); s.Document != nil && s.Revision != last {
			sim.recordRevision(e.name, last, s)
			last = s.Revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (sim *Simulation) recordRevision(name string, last identifier.Revision, s accepter.State) {
	sim.mutex.Lock()
	known, ok := sim.documents[s.Revision]
	if !ok {
		sim.documents[s.Revision] = s.Document.ID
	}
	sim.mutex.Unlock()
	if s.Revision < last {
		sim.reportViolation(promiseConfiguration, "%s changed from revision %d back to %d", name, last, s.Revision)
	}
	if ok && known != s.Document.ID {
		sim.reportViolation(promiseConfiguration, "%s has %s as revision %d, another entry has %s", name, s.Document.ID, s.Revision, known)
	}
}
