package jobstorer

import (
	"context"
	"encoding/hex"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// The records that the build before client accounts wrote for the job of previousJob.
const (
	previousPieceKey = "piece/j/4c060eb957a8d208/0"
	previousPiece    = "a801616a02616803632f702f04616d050306010781a801616902642f702f7803a1614161620441780509066167070008f60800"
	previousRecord   = "a301703463303630656239353761386432303802010307"
)

func previousJob() Submission {
	return Submission{
		ID: "j", Host: "h", Path: "/p/", Model: "m", MinVersion: 3, WantedGroups: 1, AcceptedAt: 7,
		Items: []Item{{ID: "i", Path: "/p/x", Headers: map[string]string{"A": "b"}, Body: []byte("x"), MaxTokens: 9, Group: "g"}},
	}
}

// accept stores a job of an account as hosts do where accounts are in force.
func accept(ctx context.Context, h *host, s Submission, a identifier.AccountName) error {
	s.Account = a
	record, err := h.StorePieces(ctx, s)
	if err != nil {
		return err
	}
	return h.Commit(ctx, a, s.ID, record)
}

// checkAccounts checks which accounts may use the job "j".
func checkAccounts(t *testing.T, h *host, want map[identifier.AccountName]error) {
	t.Helper()
	for a, wanted := range want {
		if err := h.CheckAccount(context.Background(), a, "j"); !errors.Is(err, wanted) || (err == nil) != (wanted == nil) {
			t.Errorf("account %q: %v, want %v", a, err, wanted)
		}
	}
}

var ownedByFirst = map[identifier.AccountName]error{"first": nil, "second": ErrOtherAccount, "": ErrOtherAccount}

// Guards against a job that loses its account when its partition is read anew, or when another
// account submits its id.
func TestCommit_AJobKeepsItsAccount(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		if err := accept(ctx, h, submission("j", 2, 10), "first"); err != nil {
			t.Fatal(err)
		}
		if err := accept(ctx, h, submission("j", 3, 10), "second"); !errors.Is(err, ErrOtherAccount) {
			t.Errorf("another account: %v", err)
		}
		if err := accept(ctx, h, submission("j", 4, 10), "first"); err != nil {
			t.Errorf("the same account: %v", err)
		}
		checkAccounts(t, h, ownedByFirst)
		h.stop()
		store.Forget()
		h = newHost(store)
		defer h.stop()
		checkAccounts(t, h, ownedByFirst)
		if jobs := h.OpenJobs(h.PartitionOf("j")); len(jobs) != 1 || jobs[0].Account != "first" || len(jobs[0].Items) != 2 {
			t.Errorf("%+v", jobs)
		}
	})
}

// Guards against two accounts that both get an id which they submit at the same time through
// different hosts.
func TestCommit_OnlyOneAccountGetsAnID(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		accounts := []identifier.AccountName{"first", "second", ""}
		results := make([]error, len(accounts))
		var tasks sync.WaitGroup
		for n, a := range accounts {
			h := newHost(store)
			defer h.stop()
			tasks.Go(func() { results[n] = accept(ctx, h, submission("j", n+1, 10), a) })
		}
		tasks.Wait()
		store.Forget()
		last := newHost(store)
		defer last.stop()
		for n, a := range accounts {
			if got := last.CheckAccount(ctx, a, "j"); (got == nil) != (results[n] == nil) {
				t.Errorf("%q was told %v and may now %v", a, results[n], got)
			}
		}
	})
}

// Guards against the record of another account, from a host at which accounts are not in force yet,
// that takes a known job over.
func TestApply_TheRecordOfAnotherAccountIsIgnored(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h, other := newHost(store), newHostThatOwns(store, false)
		defer h.stop()
		defer other.stop()
		if err := accept(ctx, h, submission("j", 2, 10), "first"); err != nil {
			t.Fatal(err)
		}
		h.AddResult(JobResult{Job: "j", Result: completed("j-0", "x")})
		foreign := submission("j", 3, 10)
		foreign.Account = "second"
		if err := other.Accept(ctx, foreign); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		checkAccounts(t, h, ownedByFirst)
		if results := resultsOf(t, h, "j"); len(results) != 1 {
			t.Errorf("%d results", len(results))
		}
	})
}

// Guards against records of jobs without an account that other builds can't read or write.
func TestSubmissionRecords_JobsWithoutAccountKeepTheirBytes(t *testing.T) {
	records, err := submissionRecords(previousJob(), minPieceBytes)
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]string)
	for _, r := range records {
		got[r.Key] = hex.EncodeToString(r.Value)
	}
	if diff := cmp.Diff(map[string]string{previousPieceKey: previousPiece, "job/j": previousRecord}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a job of the previous build that is lost, or refused to anyone.
func TestApply_JobOfThePreviousBuild(t *testing.T) {
	inBubble(t, func(_ context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		for _, r := range [][2]string{{previousPieceKey, previousPiece}, {"job/j", previousRecord}} {
			value, err := hex.DecodeString(r[1])
			if err != nil {
				t.Fatal(err)
			}
			store.Put(storer.Partition{Topic: topic, Number: h.PartitionOf("j")}, storer.Record{Key: r[0], Value: value})
		}
		checkAccounts(t, h, map[identifier.AccountName]error{"first": nil, "": nil})
		jobs := h.OpenJobs(h.PartitionOf("j"))
		if len(jobs) != 1 {
			t.Fatalf("%d jobs", len(jobs))
		}
		if diff := cmp.Diff(previousJob(), jobs[0].Submission); diff != "" {
			t.Error(diff)
		}
	})
}
