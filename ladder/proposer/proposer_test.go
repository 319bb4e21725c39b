package proposer_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/differ"
	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

var ownerKey = ed25519.NewKeyFromSeed([]byte(strings.Repeat("o", ed25519.SeedSize)))

func team(name string) validator.Team {
	return validator.Team{
		Name: identifier.TeamName(name), Class: identifier.ClassLive, KeyHashes: []string{authorizer.HashKey(name)},
		RequestsPerSecond: 1, Burst: 1, InFlightLimit: 1,
	}
}

func firstDocument() validator.Document {
	public := ownerKey.Public().(ed25519.PublicKey)
	return validator.Document{
		Schema: validator.SchemaName, ID: "first", Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("n")}, {Name: "day-shift", KeyHash: authorizer.HashKey("d")}},
		Owners:    []validator.Owner{{Name: "prakai", PublicKey: base64.StdEncoding.EncodeToString(public)}},
		Services:  []validator.Service{{Name: "spares-app", Kind: validator.KindPlain, Owner: "prakai", Slots: 1}},
		Teams:     []validator.Team{team("franchisees"), team("fitters")},
		Limits:    validator.Limits{MaxBodyBytes: 1, MaxTimeoutSeconds: 1, CrashQuarantineSeconds: 1},
	}
}

// changedDocument returns the first document with a change, based on revision 1.
func changedDocument(id string, change func(*validator.Document)) validator.Document {
	d := firstDocument()
	d.ID, d.Base = identifier.DocumentID(id), 1
	change(&d)
	return d
}

// entry is the configuration interface of one entry.
type entry struct {
	*proposer.Proposer
	follower *accepter.Follower
	history  *historian.Historian
}

// runWithEntries runs test with entries that share one log, on virtual time.
func runWithEntries(t *testing.T, test func(t *testing.T, log *memoryLog, start func() entry)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		log := newMemoryLog()
		test(t, log, func() entry {
			f := accepter.NewFollower(clockwork.NewRealClock(), log, nil, nil, accepter.Options{})
			go f.Run(ctx)
			h := historian.New(log, f)
			return entry{proposer.New(f, h), f, h}
		})
	})
}

func assertResult(t *testing.T, step string, want, got proposer.Result) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", step, diff)
	}
}

func TestPropose_ConflictReportsBothDiffsAndRebasedDocument(t *testing.T) {
	runWithEntries(t, func(t *testing.T, _ *memoryLog, start func() entry) {
		a, b := start(), start()
		assertResult(t, "first", proposer.Accepted{Revision: 1}, a.Propose(t.Context(), "", firstDocument()))
		assertResult(t, "winner", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", changedDocument("a", func(d *validator.Document) { d.Teams[0].Burst = 5 })))
		synctest.Wait()
		mine := changedDocument("b", func(d *validator.Document) { d.Teams, d.Author = append(d.Teams, team("riders")), "day-shift" })
		lost, ok := b.Propose(t.Context(), "day-shift", mine).(proposer.Conflict)
		if !ok || lost.Rebased == nil {
			t.Fatalf("no conflict that can be rebased: %+v", lost)
		}
		theirs := []differ.Change{{Section: "teams", Name: "franchisees", Kind: differ.Changed, Fields: []differ.Field{{Name: "burst", From: "1", To: "5"}}}}
		if diff := cmp.Diff(theirs, lost.Theirs); diff != "" {
			t.Errorf("their changes (-want +got):\n%s", diff)
		}
		if len(lost.Mine) != 1 || lost.Mine[0].String() != "teams riders added" {
			t.Errorf("my changes: %v", lost.Mine)
		}
		assertResult(t, "rebased", proposer.Accepted{Revision: 3}, b.Propose(t.Context(), "day-shift", *lost.Rebased))
		synctest.Wait()
		s, _ := a.follower.State()
		wanted := changedDocument("", func(d *validator.Document) { d.Teams[0].Burst = 5; d.Teams = append(d.Teams, team("riders")) })
		if diff := cmp.Diff(wanted.Teams, s.Document.Teams); diff != "" {
			t.Errorf("teams in force (-want +got):\n%s", diff)
		}
	})
}

func TestPropose_ClashingChangesNotMerged(t *testing.T) {
	runWithEntries(t, func(t *testing.T, _ *memoryLog, start func() entry) {
		a := start()
		a.Propose(t.Context(), "", firstDocument())
		a.Propose(t.Context(), "night-shift", changedDocument("a", func(d *validator.Document) { d.Teams[0].Burst = 5 }))
		for name, change := range map[string]func(*validator.Document){
			"another value": func(d *validator.Document) { d.Teams[0].Burst = 6 },
			"another field": func(d *validator.Document) { d.Teams[0].InFlightLimit = 6 },
			"removed":       func(d *validator.Document) { d.Teams = d.Teams[1:] },
		} {
			lost, ok := a.Propose(t.Context(), "night-shift", changedDocument("b-"+strings.ReplaceAll(name, " ", "-"), change)).(proposer.Conflict)
			if diff := cmp.Diff([]differ.Clash{{Section: "teams", Name: "franchisees"}}, lost.Clashes); !ok || diff != "" || lost.Rebased != nil {
				t.Errorf("%s: clashes (-want +got):\n%s", name, diff)
			}
		}
		same := changedDocument("c", func(d *validator.Document) { d.Teams[0].Burst = 5 })
		assertResult(t, "the same change again", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", same))
	})
}

func TestPropose_RetryAfterLostResponseNotAppliedTwice(t *testing.T) {
	runWithEntries(t, func(t *testing.T, log *memoryLog, start func() entry) {
		a, b := start(), start()
		a.Propose(t.Context(), "", firstDocument())
		log.fail = func() (error, bool) { return appender.ErrOutcomeUnknown, true }
		d := changedDocument("second", func(d *validator.Document) { d.Teams[0].Burst = 5 })
		assertResult(t, "response lost after the append", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", d))
		log.fail = nil
		reverted := changedDocument("third", func(d *validator.Document) { d.Base = 2 })
		assertResult(t, "another operator reverts it", proposer.Accepted{Revision: 3}, a.Propose(t.Context(), "night-shift", reverted))
		// A duplicate sent by another entry arrives after the change was reverted.
		sent, err := proposer.WithContentID(d)
		if err != nil {
			t.Fatal(err)
		}
		data, err := encodedProposal(nil, sent)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), "", [][]byte{data}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for name, e := range map[string]entry{"same entry": a, "another entry": b, "a new entry": start()} {
			synctest.Wait()
			assertResult(t, "retried at "+name, proposer.Accepted{Revision: 2}, e.Propose(t.Context(), "night-shift", d))
		}
		if s, _ := b.follower.State(); s.Revision != 3 || s.Document.Teams[0].Burst != 1 {
			t.Errorf("the reverted change was applied again at revision %d", s.Revision)
		}
	})
}

func TestPropose_UndecidedDuringLogOutageRetrySucceeds(t *testing.T) {
	runWithEntries(t, func(t *testing.T, log *memoryLog, start func() entry) {
		a := start()
		a.Propose(t.Context(), "", firstDocument())
		d := changedDocument("second", func(d *validator.Document) { d.Teams[0].Burst = 5 })
		for name, err := range map[string]error{"down": appender.ErrUnavailable, "silent": appender.ErrOutcomeUnknown} {
			log.fail = func() (error, bool) { return err, false }
			r := a.Propose(t.Context(), "night-shift", d)
			if _, ok := r.(proposer.Undecided); !ok {
				t.Errorf("log %s: %+v", name, r)
			}
		}
		log.fail = nil
		assertResult(t, "after the outage", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", d))
	})
}

// A draft keeps its id while it is edited. Each content must get its own
// verdict.
func TestPropose_ChangedDraftGetsNewVerdict(t *testing.T) {
	runWithEntries(t, func(t *testing.T, log *memoryLog, start func() entry) {
		a := start()
		a.Propose(t.Context(), "", firstDocument())
		d := changedDocument("draft", func(d *validator.Document) { d.Grants = []validator.Grant{{Team: "fitters", Service: "spares-app"}} })
		if r, ok := a.Propose(t.Context(), "night-shift", d).(proposer.Invalid); !ok {
			t.Errorf("a grant without approval: %+v", r)
		}
		d.Grants[0].Approval = approver.SignApproval(ownerKey, "fitters", "spares-app", "prakai", time.Now().Add(time.Hour))
		log.fail = func() (error, bool) { return appender.ErrOutcomeUnknown, true }
		assertResult(t, "corrected", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", d))
		log.fail = nil
		d.Limits.MaxBodyBytes = 2
		if r, ok := a.Propose(t.Context(), "night-shift", d).(proposer.Conflict); !ok || r.Rebased == nil || len(r.Clashes) > 0 {
			t.Errorf("changed after its acceptance was not reported: %+v", r)
		}
	})
}

func TestWithdraw_OnlyOwnerAndIdempotent(t *testing.T) {
	runWithEntries(t, func(t *testing.T, _ *memoryLog, start func() entry) {
		a := start()
		d := firstDocument()
		grant := validator.Grant{
			Team: "franchisees", Service: "spares-app",
			Approval: approver.SignApproval(ownerKey, "franchisees", "spares-app", "prakai", time.Now().Add(time.Hour)),
		}
		d.Grants = []validator.Grant{grant}
		a.Propose(t.Context(), "", d)
		forged := approver.SignWithdrawal(ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)), grant)
		if r, err := a.Withdraw(t.Context(), forged); !errors.Is(err, proposer.ErrNotServiceOwner) {
			t.Errorf("forged: %+v, %v", r, err)
		}
		for range 2 { // The second call is a retry after a lost response.
			r, err := a.Withdraw(t.Context(), approver.SignWithdrawal(ownerKey, grant))
			if err != nil {
				t.Fatal(err)
			}
			assertResult(t, "withdrawn", proposer.Accepted{Revision: 2}, r)
		}
		s, _ := a.follower.State()
		if _, got := authorizer.NewIndex(s.Document, nil).AuthorizeService("franchisees", "spares-app", time.Now()); got != authorizer.RefusalNotApproved {
			t.Errorf("the team's next call: %q", got)
		}
	})
}

func TestProposals_IncludeRejectedOnes(t *testing.T) {
	runWithEntries(t, func(t *testing.T, log *memoryLog, start func() entry) {
		a := start()
		base := firstDocument()
		a.Propose(t.Context(), "", base)
		a.Propose(t.Context(), "night-shift", changedDocument("second", func(d *validator.Document) { d.Teams[0].Burst = 5 }))
		// Another entry appends this document before it has read the second one.
		late, err := encodedProposal(&base, changedDocument("late", func(d *validator.Document) { d.Teams[0].Burst = 6 }))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), "", [][]byte{late}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		got, err := a.history.Proposals(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		want := []historian.ProposalSummary{
			{Base: 1, Author: "night-shift", Verdict: "conflict"},
			{Base: 1, Author: "night-shift", Verdict: "accepted", Revision: 2},
			{Author: "night-shift", Verdict: "accepted", Revision: 1},
		}
		if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(historian.ProposalSummary{}, "Time", "Document")); diff != "" {
			t.Errorf("history (-want +got):\n%s", diff)
		}
		r := a.Propose(t.Context(), "day-shift", changedDocument("stolen", func(*validator.Document) {}))
		if f, ok := r.(proposer.Invalid); !ok || f.Faults[0].Path != "author" {
			t.Errorf("a document with another operator as its author: %+v", r)
		}
	})
}

// encodedProposal returns the log record that proposes d based on base.
func encodedProposal(base *validator.Document, d validator.Document) ([]byte, error) {
	p, err := accepter.NewProposal(base, d)
	if err != nil {
		return nil, err
	}
	return accepter.EncodeRecord(p)
}
