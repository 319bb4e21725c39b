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

func first() validator.Document {
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

// next is a change made from revision 1.
func next(id string, change func(*validator.Document)) validator.Document {
	d := first()
	d.ID, d.Base = identifier.DocumentID(id), 1
	change(&d)
	return d
}

// entry is one entry's operators' side.
type entry struct {
	*proposer.Proposer
	follower *accepter.Follower
	history  *historian.Historian
}

// within runs test with entries that share one log, in virtual time.
func within(t *testing.T, test func(t *testing.T, log *memoryLog, start func() entry)) {
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

func want(t *testing.T, step string, want, got proposer.Result) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", step, diff)
	}
}

func TestPropose_TheLoserOfARaceSeesBothDiffsAndRebasesInOneStep(t *testing.T) {
	within(t, func(t *testing.T, _ *memoryLog, start func() entry) {
		a, b := start(), start()
		want(t, "first", proposer.Accepted{Revision: 1}, a.Propose(t.Context(), "", first()))
		want(t, "winner", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", next("a", func(d *validator.Document) { d.Teams[0].Burst = 5 })))
		synctest.Wait()
		mine := next("b", func(d *validator.Document) { d.Teams, d.Author = append(d.Teams, team("riders")), "day-shift" })
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
		want(t, "rebased", proposer.Accepted{Revision: 3}, b.Propose(t.Context(), "day-shift", *lost.Rebased))
		synctest.Wait()
		s, _ := a.follower.State()
		wanted := next("", func(d *validator.Document) { d.Teams[0].Burst = 5; d.Teams = append(d.Teams, team("riders")) })
		if diff := cmp.Diff(wanted.Teams, s.Document.Teams); diff != "" {
			t.Errorf("teams in force (-want +got):\n%s", diff)
		}
	})
}

func TestPropose_TouchingChangesAreNeverMerged(t *testing.T) {
	within(t, func(t *testing.T, _ *memoryLog, start func() entry) {
		a := start()
		a.Propose(t.Context(), "", first())
		a.Propose(t.Context(), "night-shift", next("a", func(d *validator.Document) { d.Teams[0].Burst = 5 }))
		for name, change := range map[string]func(*validator.Document){
			"another value": func(d *validator.Document) { d.Teams[0].Burst = 6 },
			"another field": func(d *validator.Document) { d.Teams[0].InFlightLimit = 6 },
			"removed":       func(d *validator.Document) { d.Teams = d.Teams[1:] },
		} {
			lost, ok := a.Propose(t.Context(), "night-shift", next("b-"+strings.ReplaceAll(name, " ", "-"), change)).(proposer.Conflict)
			if diff := cmp.Diff([]differ.Clash{{Section: "teams", Name: "franchisees"}}, lost.Clashes); !ok || diff != "" || lost.Rebased != nil {
				t.Errorf("%s: clashes (-want +got):\n%s", name, diff)
			}
		}
		same := next("c", func(d *validator.Document) { d.Teams[0].Burst = 5 })
		want(t, "the same change again", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", same))
	})
}

func TestPropose_ALostAnswerNeverPublishesTwice(t *testing.T) {
	within(t, func(t *testing.T, log *memoryLog, start func() entry) {
		a, b := start(), start()
		a.Propose(t.Context(), "", first())
		log.fail = func() (error, bool) { return appender.ErrOutcomeUnknown, true }
		d := next("second", func(d *validator.Document) { d.Teams[0].Burst = 5 })
		want(t, "answer lost after the effect", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", d))
		log.fail = nil
		undone := next("third", func(d *validator.Document) { d.Base = 2 })
		want(t, "somebody undoes it", proposer.Accepted{Revision: 3}, a.Propose(t.Context(), "night-shift", undone))
		// A copy that another entry had sent comes late, after the undoing.
		sent, err := proposer.WithContentID(d)
		if err != nil {
			t.Fatal(err)
		}
		data, err := proposalOf(nil, sent)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), "", [][]byte{data}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for name, e := range map[string]entry{"same entry": a, "another entry": b, "a new entry": start()} {
			synctest.Wait()
			want(t, "asked again at "+name, proposer.Accepted{Revision: 2}, e.Propose(t.Context(), "night-shift", d))
		}
		if s, _ := b.follower.State(); s.Revision != 3 || s.Document.Teams[0].Burst != 1 {
			t.Errorf("the undone change came back at revision %d", s.Revision)
		}
	})
}

func TestPropose_ALogOutageLeavesItUndecidedAndTheSameDocumentGoesOn(t *testing.T) {
	within(t, func(t *testing.T, log *memoryLog, start func() entry) {
		a := start()
		a.Propose(t.Context(), "", first())
		d := next("second", func(d *validator.Document) { d.Teams[0].Burst = 5 })
		for name, err := range map[string]error{"down": appender.ErrUnavailable, "silent": appender.ErrOutcomeUnknown} {
			log.fail = func() (error, bool) { return err, false }
			r := a.Propose(t.Context(), "night-shift", d)
			if _, ok := r.(proposer.Undecided); !ok {
				t.Errorf("log %s: %+v", name, r)
			}
		}
		log.fail = nil
		want(t, "after the outage", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", d))
	})
}

// The draft's id stays while it is changed; each content has its own verdict.
func TestPropose_AChangedDraftIsNotGivenItsEarlierVerdict(t *testing.T) {
	within(t, func(t *testing.T, log *memoryLog, start func() entry) {
		a := start()
		a.Propose(t.Context(), "", first())
		d := next("draft", func(d *validator.Document) { d.Grants = []validator.Grant{{Team: "fitters", Service: "spares-app"}} })
		if r, ok := a.Propose(t.Context(), "night-shift", d).(proposer.Invalid); !ok {
			t.Errorf("a grant without approval: %+v", r)
		}
		d.Grants[0].Approval = approver.SignApproval(ownerKey, "fitters", "spares-app", "prakai", time.Now().Add(time.Hour))
		log.fail = func() (error, bool) { return appender.ErrOutcomeUnknown, true }
		want(t, "mended", proposer.Accepted{Revision: 2}, a.Propose(t.Context(), "night-shift", d))
		log.fail = nil
		d.Limits.MaxBodyBytes = 2
		if r, ok := a.Propose(t.Context(), "night-shift", d).(proposer.Conflict); !ok || r.Rebased == nil || len(r.Clashes) > 0 {
			t.Errorf("changed after it was accepted unseen: %+v", r)
		}
	})
}

func TestWithdraw_TheOwnerAloneAndAtOnceWhateverElseChanges(t *testing.T) {
	within(t, func(t *testing.T, _ *memoryLog, start func() entry) {
		a := start()
		d := first()
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
		for range 2 { // The second time as after a lost answer.
			r, err := a.Withdraw(t.Context(), approver.SignWithdrawal(ownerKey, grant))
			if err != nil {
				t.Fatal(err)
			}
			want(t, "withdrawn", proposer.Accepted{Revision: 2}, r)
		}
		s, _ := a.follower.State()
		if _, got := authorizer.NewIndex(s.Document, nil).AuthorizeService("franchisees", "spares-app", time.Now()); got != authorizer.RefusalNotApproved {
			t.Errorf("the team's next call: %q", got)
		}
	})
}

func TestEntries_TellWhoAndWhenAlsoOfTheRefused(t *testing.T) {
	within(t, func(t *testing.T, log *memoryLog, start func() entry) {
		a := start()
		base := first()
		a.Propose(t.Context(), "", base)
		a.Propose(t.Context(), "night-shift", next("second", func(d *validator.Document) { d.Teams[0].Burst = 5 }))
		// Another entry had not read the second yet when it appended this one.
		late, err := proposalOf(&base, next("late", func(d *validator.Document) { d.Teams[0].Burst = 6 }))
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
		r := a.Propose(t.Context(), "day-shift", next("stolen", func(*validator.Document) {}))
		if f, ok := r.(proposer.Invalid); !ok || f.Faults[0].Path != "author" {
			t.Errorf("a document in another operator's name: %+v", r)
		}
	})
}

// proposalOf is the record of d, made from base, as it is in the log.
func proposalOf(base *validator.Document, d validator.Document) ([]byte, error) {
	p, err := accepter.NewProposal(base, d)
	if err != nil {
		return nil, err
	}
	return accepter.EncodeRecord(p)
}
