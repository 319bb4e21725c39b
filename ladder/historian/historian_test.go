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

// record is a log that is read only, and its follower's state.
type record struct {
	records []appender.Record
	state   accepter.State
}

func (r *record) State() (accepter.State, bool) { return r.state, true }

func (r *record) Append(context.Context, identifier.StreamName, [][]byte) (identifier.LogOffset, error) {
	return 0, appender.ErrUnavailable
}

func (r *record) Read(_ context.Context, _ identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
	return appender.Page{Records: r.records[from:min(int(from)+limit, len(r.records))]}, nil
}

func (r *record) add(t *testing.T, v accepter.Record) accepter.Verdict {
	t.Helper()
	data, err := accepter.EncodeRecord(v)
	if err != nil {
		t.Fatal(err)
	}
	added := appender.Record{Offset: identifier.LogOffset(len(r.records)), Time: time.Unix(0, 0), Data: data}
	r.records = append(r.records, added)
	var verdict accepter.Verdict
	r.state, verdict = r.state.Apply(added)
	return verdict
}

// propose proposes a document with the number as its longest wait.
func (r *record) propose(t *testing.T, base identifier.Revision, n int) {
	t.Helper()
	p, err := accepter.NewProposal(r.state.Document, numbered(base, n))
	if err != nil {
		t.Fatal(err)
	}
	r.add(t, p)
}

func numbered(base identifier.Revision, n int) validator.Document {
	return validator.Document{
		Schema: validator.SchemaName, ID: identifier.NewDocumentID(), Base: base, Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("n")}},
		Limits:    validator.Limits{MaxBodyBytes: 1, MaxTimeoutSeconds: n, CrashQuarantineSeconds: 1},
	}
}

// The log is longer than what is looked at. No refused proposal is called
// accepted, no accepted one refused, and a revision is found if it was taken
// here or can be folded from a carry-forward.
func TestHistorian_OfALongLogTellsOnlyWhatItKnows(t *testing.T) {
	const accepted, taken, carried = 450, 2, 200
	r := &record{}
	h := historian.New(r, r)
	for n := 1; n <= accepted; n++ {
		r.propose(t, r.state.Revision, n)
		if n%50 == 0 {
			r.propose(t, r.state.Revision-1, n) // It has lost a race.
		}
		if n == taken {
			h.CacheDocument(r.state)
		}
		if n == carried {
			c, err := r.state.Checkpoint()
			if err != nil {
				t.Fatal(err)
			}
			r.add(t, c)
		}
	}
	entries, err := h.Proposals(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	for _, e := range entries {
		got[e.Verdict]++
		if (e.Verdict == "accepted") != (e.Revision > 0) {
			t.Errorf("%+v", e)
		}
	}
	want := map[string]int{"accepted": len(r.state.RecentDocuments), "conflict": 3}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	for revision, known := range map[identifier.Revision]bool{
		taken: true, taken + 1: false, carried - 1: false, carried: true, carried + 1: true, accepted: true, accepted + 1: false,
	} {
		d, err := h.At(t.Context(), revision)
		if err != nil || (d != nil) != known {
			t.Errorf("revision %d: known %t, want %t, %v", revision, d != nil, known, err)
		} else if known && d.Limits.MaxTimeoutSeconds != int(revision) {
			t.Errorf("revision %d has the document of %d", revision, d.Limits.MaxTimeoutSeconds)
		}
	}
}
