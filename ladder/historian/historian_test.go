package historian_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// fakeLog is a read-only log together with its follower's state.
type fakeLog struct {
	records []appender.Record
	state   accepter.State
}

func (l *fakeLog) State() (accepter.State, bool) { return l.state, true }

func (l *fakeLog) Append(context.Context, identifier.StreamName, [][]byte) (identifier.LogOffset, error) {
	return 0, appender.ErrUnavailable
}

func (l *fakeLog) Read(_ context.Context, _ identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
	return appender.Page{Records: l.records[from:min(int(from)+limit, len(l.records))]}, nil
}

func (l *fakeLog) add(t *testing.T, v accepter.Record) accepter.Verdict {
	t.Helper()
	data, err := accepter.EncodeRecord(v)
	if err != nil {
		t.Fatal(err)
	}
	added := appender.Record{Offset: identifier.LogOffset(len(l.records)), Time: time.Unix(0, 0), Data: data}
	l.records = append(l.records, added)
	var verdict accepter.Verdict
	l.state, verdict = l.state.Apply(added)
	return verdict
}

// propose adds a proposal whose document has the number as its longest timeout.
func (l *fakeLog) propose(t *testing.T, base identifier.Revision, n int) {
	t.Helper()
	p, err := accepter.NewProposal(l.state.Document, documentWithTimeout(base, n))
	if err != nil {
		t.Fatal(err)
	}
	l.add(t, p)
}

func documentWithTimeout(base identifier.Revision, n int) validator.Document {
	return validator.Document{
		Schema: validator.SchemaName, ID: identifier.NewDocumentID(), Base: base, Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("n")}},
		Limits:    validator.Limits{MaxBodyBytes: 1, MaxTimeoutSeconds: n, CrashQuarantineSeconds: 1},
	}
}

// Guards against wrong answers about a log that is longer than the part read: no
// rejected proposal may be shown as accepted and no accepted one as rejected. A
// revision is found if it was fetched here or can be rebuilt from a checkpoint.
func TestHistorian_LongLogGivesNoWrongAnswers(t *testing.T) {
	const accepted, cached, checkpointed = 450, 2, 200
	log := &fakeLog{}
	h := historian.New(log, log)
	for n := 1; n <= accepted; n++ {
		log.propose(t, log.state.Revision, n)
		if n%50 == 0 {
			log.propose(t, log.state.Revision-1, n) // Proposed against an outdated revision.
		}
		if n == cached {
			h.CacheDocument(log.state)
		}
		if n == checkpointed {
			checkpoint, err := log.state.Checkpoint()
			if err != nil {
				t.Fatal(err)
			}
			log.add(t, checkpoint)
		}
	}
	proposals, err := h.Proposals(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	for _, summary := range proposals {
		got[summary.Verdict]++
		if (summary.Verdict == "accepted") != (summary.Revision > 0) {
			t.Errorf("%+v", summary)
		}
	}
	want := map[string]int{"accepted": len(log.state.RecentDocuments), "conflict": 3}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	for revision, known := range map[identifier.Revision]bool{
		cached: true, cached + 1: false, checkpointed - 1: false, checkpointed: true, checkpointed + 1: true, accepted: true, accepted + 1: false,
	} {
		d, err := h.At(t.Context(), revision)
		if err != nil || (d != nil) != known {
			t.Errorf("revision %d: known %t, want %t, %v", revision, d != nil, known, err)
		} else if known && d.Limits.MaxTimeoutSeconds != int(revision) {
			t.Errorf("revision %d has the document of %d", revision, d.Limits.MaxTimeoutSeconds)
		}
	}
}
