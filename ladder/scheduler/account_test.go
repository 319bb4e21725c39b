package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// submitFor submits a job with one item for an account.
func (env *testEnv) submitFor(t *testing.T, id identifier.JobID, a identifier.AccountName) {
	t.Helper()
	err := env.jobs.Accept(context.Background(), jobstorer.Submission{
		ID: id, Host: "h", Path: "/p/", Account: a,
		Items: []jobstorer.Item{{ID: "i", Path: "/p/x", Headers: map[string]string{"A": "b"}, Scorer: &jobstorer.Scorer{ID: "s", Host: "h", Path: "/s/x"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against items without the account of their job, and scoring calls with one.
func TestRun_ItemsHaveTheAccountOfTheirJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(false, func(cataloger.Target, sender.Call, int) faker.Behaviour {
			return faker.Behaviour{Events: 3, Gap: eventGap}
		})
		defer env.stop()
		env.newer.Accounts = cataloger.NewAccounts(0)
		env.publishNewer(func(_, _ *cataloger.Route) {})
		env.applyNewer()
		env.submitFor(t, "j", "first")
		env.submitFor(t, "k", "")
		time.Sleep(5 * time.Second)
		got := make(map[string]bool) // scoring calls may be hedged
		for _, sent := range env.targets.Calls() {
			if !sent.Call.AccountsInForce {
				t.Errorf("%s was not told that accounts are in force", sent.Call.ID)
			}
			got[sent.Call.ID+" of "+string(sent.Call.Account)] = true
		}
		if diff := cmp.Diff(map[string]bool{"i of first": true, "i of ": true, "s of ": true}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a text that was generated for one account and goes to a job of another that has
// an item with the same id and prompt.
func TestRun_TextsGoOnOnlyInJobsOfTheSameAccount(t *testing.T) {
	for next, resumes := range map[identifier.AccountName]bool{"first": true, "second": false, "": false} {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(false, func(cataloger.Target, sender.Call, int) faker.Behaviour {
				return faker.Behaviour{Events: 100, Gap: eventGap}
			})
			defer env.stop()
			env.submitFor(t, "j", "first")
			time.Sleep(2 * time.Second)
			if err := env.jobs.End(context.Background(), "j"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			env.submitFor(t, "k", next)
			time.Sleep(time.Second)
			calls := env.targets.Calls()
			if last := calls[len(calls)-1].Call; last.Account != next || last.ResumeAfter > 0 != resumes {
				t.Errorf("item of account %q goes on after event %d of another job, want %t", last.Account, last.ResumeAfter, resumes)
			}
		})
	}
}
