package relayer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/batch/roomkeeper"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// roomBytes is the room that a test's host has for large jobs.
const roomBytes = 4 << 20

func jobOfBytes(id identifier.JobID, bytes int) jobstorer.Submission {
	return jobstorer.Submission{ID: id, Items: []jobstorer.Item{{ID: "i", Body: make([]byte, bytes)}}}
}

// Guards against large jobs that are accepted, all at once or one by one, until their owner exceeds
// its memory, and against a large job that is refused though there is no other.
func TestAccept_LargeJobsOnlyWithinTheRoomOfTheirOwner(t *testing.T) {
	inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
		entries := []*entry{owner, other}
		const jobs, bytes = 8, 3 << 19
		outcomes := make([]error, jobs)
		var submissions conc.WaitGroup
		for k := range jobs {
			submissions.Go(func() {
				outcomes[k] = entries[k%2].Accept(ctx, jobOfBytes(identifier.JobID(fmt.Sprint("large-", k)), bytes))
			})
		}
		submissions.Wait()
		time.Sleep(time.Second)
		accepted := 0
		for k, err := range outcomes {
			exists := owner.jobStorer.Exists(ctx, identifier.JobID(fmt.Sprint("large-", k))) == nil
			switch {
			case err == nil && exists:
				accepted++
			case !errors.Is(err, roomkeeper.ErrNoRoom) || exists:
				t.Errorf("job %d: %v, exists %t", k, err, exists)
			}
		}
		if accepted != roomBytes/bytes {
			t.Errorf("%d jobs accepted, want %d", accepted, roomBytes/bytes)
		}
		if err := other.Accept(ctx, jobOfBytes("small", 1<<10)); err != nil {
			t.Errorf("a small job: %v", err)
		}
		n.silent["owner"] = true
		if err := other.Accept(ctx, jobOfBytes("unasked", bytes)); !errors.Is(err, appender.ErrUnavailable) {
			t.Errorf("while the owner is silent: %v, want %v", err, appender.ErrUnavailable)
		}
	})
	inBubble(t, func(ctx context.Context, _ *network, owner, other *entry) {
		if err := other.Accept(ctx, jobOfBytes("alone", 2*roomBytes)); err != nil {
			t.Errorf("a job that is alone: %v", err)
		}
		time.Sleep(time.Second)
		if err := owner.jobStorer.Exists(ctx, "alone"); err != nil {
			t.Error(err)
		}
	})
}

// Guards against clients that fill the store by sending a large job again and again.
func TestAccept_AKnownLargeJobIsNotStoredAgain(t *testing.T) {
	inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
		end := func() identifier.LogOffset {
			page, err := n.store.Newest(ctx, storer.Partition{Topic: "jobs"}, "")
			if err != nil {
				t.Fatal(err)
			}
			return page.End
		}
		job := jobOfBytes("j", 2<<20)
		if err := other.Accept(ctx, job); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		first := end()
		for _, e := range []*entry{owner, other, other} {
			if err := e.Accept(ctx, job); err != nil {
				t.Error(err)
			}
		}
		if got := end(); got != first {
			t.Errorf("%d records were stored again", got-first)
		}
	})
}

// Guards against the end of an unknown job that leaves no trace, so that the job runs once its
// submission is carried out.
func TestEnd_OfAJobThatIsStoredLater(t *testing.T) {
	for _, accounts := range []bool{false, true} {
		inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
			n.accounts = accounts
			time.Sleep(time.Second)
			for _, e := range []*entry{owner, other} {
				if err := e.End(ctx, "first", "j"); !errors.Is(err, jobstorer.ErrUnknownJob) {
					t.Errorf("the end of an unknown job: %v", err)
				}
			}
			if err := acceptFor(ctx, other, "first", 2); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if got := len(owner.jobStorer.OpenJobs(0)); got != 0 {
				t.Errorf("accounts %t: the ended job is open", accounts)
			}
		})
	}
}
