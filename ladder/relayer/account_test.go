package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

func acceptFor(ctx context.Context, e *entry, a identifier.AccountName, items int) error {
	return e.Accept(ctx, jobstorer.Submission{ID: "j", Account: a, Items: make([]jobstorer.Item, items)})
}

// outcomes returns what each call of an account for the job "j" returns, but the one that ends it.
func outcomes(ctx context.Context, e *entry, a identifier.AccountName) map[string]string {
	list := make(map[string]string)
	add := func(call string, err error) {
		list[call] = "done"
		if err != nil {
			list[call] = errors.Cause(err).Error()
		}
	}
	_, err := e.Results(ctx, a, "j", 0, 0, 1<<20)
	add("results", err)
	_, err = e.Body(ctx, a, "j", "")
	add("body", err)
	add("submission", acceptFor(ctx, e, a, 3))
	return list
}

func all(outcome string) map[string]string {
	return map[string]string{"results": outcome, "body": outcome, "submission": outcome}
}

// Guards against a job that another account reads, ends or submits again, through the owner, another
// host, or another host while the owner is silent.
func TestAccounts_JobsAreKeptApart(t *testing.T) {
	inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
		n.accounts = true
		if err := acceptFor(ctx, other, "first", 2); err != nil {
			t.Fatal(err)
		}
		check := func(e *entry) {
			t.Helper()
			for a, want := range map[identifier.AccountName]string{"first": "done", "second": jobstorer.ErrOtherAccount.Error(), "": jobstorer.ErrOtherAccount.Error()} {
				if diff := cmp.Diff(all(want), outcomes(ctx, e, a)); diff != "" {
					t.Errorf("account %q: %s", a, diff)
				}
			}
			if err := e.End(ctx, "second", "j"); !errors.Is(err, jobstorer.ErrOtherAccount) {
				t.Errorf("another account ends the job: %v", err)
			}
			if err := e.End(ctx, "second", "unknown"); !errors.Is(err, jobstorer.ErrUnknownJob) {
				t.Errorf("ending an unknown job: %v", err)
			}
		}
		check(owner)
		check(other)
		n.silent["owner"] = true
		check(other)
		time.Sleep(time.Second)
		if jobs := owner.jobStorer.OpenJobs(0); len(jobs) != 1 || len(jobs[0].Items) != 2 || jobs[0].Account != "first" {
			t.Errorf("the job has changed: %+v", jobs)
		}
		if err := other.End(ctx, "first", "j"); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if len(owner.jobStorer.OpenJobs(0)) != 0 {
			t.Error("the job has not ended")
		}
	})
}

// Guards against another account that reads, ends or submits again a job whose owner has an older
// configuration without accounts.
func TestAccounts_JobsAreKeptApartByAnOutdatedOwner(t *testing.T) {
	inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
		n.accounts, n.outdated["owner"] = true, true
		if err := acceptFor(ctx, other, "first", 2); err != nil {
			t.Fatal(err)
		}
		for a, want := range map[identifier.AccountName]string{"first": "done", "second": jobstorer.ErrOtherAccount.Error(), "": jobstorer.ErrOtherAccount.Error()} {
			if diff := cmp.Diff(all(want), outcomes(ctx, other, a)); diff != "" {
				t.Errorf("account %q: %s", a, diff)
			}
		}
		if err := other.End(ctx, "second", "j"); !errors.Is(err, jobstorer.ErrOtherAccount) {
			t.Errorf("another account ends the job: %v", err)
		}
		time.Sleep(time.Second)
		if len(owner.jobStorer.OpenJobs(0)) != 1 {
			t.Error("the job has ended")
		}
	})
}

// Guards against a proper caller that gets 403 for its own job from a host that has an older
// configuration without accounts, and so does not know the caller's account.
func TestAccounts_OutdatedHostsRefuseForNowOnly(t *testing.T) {
	inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
		n.accounts = true
		if err := acceptFor(ctx, other, "first", 2); err != nil {
			t.Fatal(err)
		}
		n.outdated["other"] = true
		_, results := other.Results(ctx, "", "j", 0, 0, 1<<20)
		_, body := other.Body(ctx, "", "j", "")
		for call, err := range map[string]error{"results": results, "body": body, "end": other.End(ctx, "", "j")} {
			if !errors.Is(err, appender.ErrUnavailable) || errors.Is(err, jobstorer.ErrOtherAccount) {
				t.Errorf("%s: %v", call, err)
			}
		}
		time.Sleep(time.Second)
		if len(owner.jobStorer.OpenJobs(0)) != 1 {
			t.Error("the job has ended")
		}
	})
}

// Guards against jobs without an account that are refused once accounts are in force, and against
// checks where none are.
func TestAccounts_JobsWithoutAccountAreOpenToAll(t *testing.T) {
	inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
		if err := acceptFor(ctx, other, "", 2); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		n.accounts = true
		for _, e := range []*entry{owner, other} {
			for _, a := range []identifier.AccountName{"", "first"} {
				if diff := cmp.Diff(all("done"), outcomes(ctx, e, a)); diff != "" {
					t.Errorf("account %q: %s", a, diff)
				}
			}
		}
	})
}

// Guards against a job that is refused as never run though the owner may still write its record, and
// against one that is lost after it was accepted, while the store loses answers.
func TestAccept_UnderAnAccountWhileTheStoreLosesAnswers(t *testing.T) {
	inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
		n.accounts = true
		n.store.Fail(faker.LoseAnswer{})
		if err := acceptFor(ctx, other, "first", 2); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if len(owner.jobStorer.OpenJobs(0)) != 1 {
			t.Error("the job is lost")
		}
	})
}

// lostBooks can't read the store once a job's pieces are stored.
type lostBooks struct{ Books }

func (lostBooks) CheckAccount(context.Context, identifier.AccountName, identifier.JobID) error {
	return jobstorer.ErrUnknownJob
}

func (lostBooks) StorePieces(context.Context, jobstorer.Submission) ([]byte, error) { return nil, nil }

func (lostBooks) Commit(context.Context, identifier.AccountName, identifier.JobID, []byte) error {
	return jobstorer.ErrStaleCopy
}

// Guards against a submission that is refused as never run though the owner, which was asked to
// write its record and has not answered, may still do so, and against one whose outcome is said to be
// unknown though the owner was not asked.
func TestAccept_UnknownOnceTheOwnerWasAsked(t *testing.T) {
	for name, c := range map[string]struct {
		isolate func(n *network)
		want    error
	}{
		"asked":     {func(n *network) { n.unanswered[messenger.JobCommit] = true }, appender.ErrOutcomeUnknown},
		"not asked": {func(n *network) { n.silent["owner"] = true }, jobstorer.ErrStaleCopy},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
				n.accounts = true
				c.isolate(n)
				owner.jobs, other.jobs = lostBooks{owner.jobStorer}, lostBooks{other.jobStorer}
				for e, want := range map[*entry]error{owner: jobstorer.ErrStaleCopy, other: c.want} {
					if err := acceptFor(ctx, e, "first", 1); !errors.Is(err, want) {
						t.Errorf("%v, want %v", err, want)
					}
				}
			})
		})
	}
}
