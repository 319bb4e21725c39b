package jobstorer

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const topic = "keyed.jobs"

// host is a JobStorer that runs as on one entry host.
type host struct {
	*JobStorer
	stop func()
}

func newHost(store storer.Log) *host { return newHostThatOwns(store, true) }

func newHostThatOwns(store storer.Log, all bool) *host {
	s := New(clockwork.NewRealClock(), store, Options{
		Topic: topic, Partitions: 2, MaxRecordBytes: 256 << 10, MaxAppendBytes: 2 << 20, Retention: time.Minute,
		SinceStoreAnswer: func() time.Duration { return 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { s.Run(ctx, func(identifier.PartitionNumber) bool { return all }) })
	return &host{JobStorer: s, stop: func() { cancel(); tasks.Wait() }}
}

func submission(id identifier.JobID, items, bodyBytes int) Submission {
	s := Submission{ID: id, Host: "h", Path: "/p/", Model: "m", MinVersion: 1}
	for n := range items {
		s.Items = append(s.Items, Item{
			ID: identifier.ItemID(fmt.Sprintf("%s-%d", id, n)), Path: "/p/x", Body: make([]byte, bodyBytes),
			Headers: map[string]string{"A": "b"}, Scorer: &Scorer{ID: "s", Host: "h", Path: "/s/"},
		})
	}
	return s
}

func inBubble(t *testing.T, f func(ctx context.Context, store *faker.Store)) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f(ctx, faker.NewStore(clockwork.NewRealClock()))
	})
}

func completed(item identifier.ItemID, text string) Result {
	return Result{Item: item, State: ResultCompleted, Text: []byte(text), Versions: []identifier.WeightVersion{2}, Score: "sig"}
}

func resultsOf(t *testing.T, h *host, id identifier.JobID) []Result {
	t.Helper()
	page, err := h.Results(context.Background(), id, 0, 0, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	return page.Results
}

func TestAccept_AJobIsCompleteAfterAllHostsLostPower(t *testing.T) {
	for name, size := range map[string]int{"one append": 600, "many appends": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, store *faker.Store) {
				want := submission("j", 60, size)
				first := newHost(store)
				store.Fail(faker.LoseAnswer{})
				if err := first.Accept(ctx, want); err != nil {
					t.Fatal(err)
				}
				first.stop()
				store.Forget()
				second := newHost(store)
				defer second.stop()
				for n, item := range want.Items {
					body, err := second.Body(ctx, "j", item.ID)
					if err != nil || len(body) != size {
						t.Fatalf("item %d: %d bytes, %v", n, len(body), err)
					}
				}
				if err := second.Accept(ctx, want); err != nil {
					t.Errorf("submitted again: %v", err)
				}
				jobs := second.OpenJobs(second.PartitionOf("j"))
				if len(jobs) != 1 {
					t.Fatalf("%d jobs", len(jobs))
				}
				want.AcceptedAt = jobs[0].AcceptedAt
				if diff := cmp.Diff(want, jobs[0].Submission, cmp.Comparer(bytes.Equal)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestAccept_RefusedOnlyIfSurelyNotKept(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		time.Sleep(time.Second)
		store.SetDown(true)
		if err := h.Accept(ctx, submission("j", 1, 10)); !errors.Is(err, appender.ErrUnavailable) {
			t.Errorf("got %v", err)
		}
		store.SetDown(false)
		time.Sleep(5 * time.Second)
		if _, err := h.Results(ctx, "j", 0, 0, 1); !errors.Is(err, ErrUnknownJob) {
			t.Errorf("the refused job: %v", err)
		}
	})
}

func TestList_TwoOwnersAgreeOnPositionsAndContent(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		hosts := []*host{newHost(store), newHost(store)}
		s := submission("j", 20, 10)
		if err := hosts[0].Accept(ctx, s); err != nil {
			t.Fatal(err)
		}
		store.Fail(faker.LoseAnswer{}, nil, faker.DelayAppend{By: 3 * time.Second})
		for n, item := range s.Items {
			for k, h := range hosts {
				h.AddResult(JobResult{Job: "j", Result: completed(item.ID, fmt.Sprintf("by %d", k))})
			}
			if n%5 == 0 {
				time.Sleep(40 * time.Millisecond)
			}
		}
		time.Sleep(10 * time.Second)
		before := resultsOf(t, hosts[0], "j")
		if len(before) != len(s.Items) {
			t.Fatalf("%d results", len(before))
		}
		seen := make(map[identifier.ItemID]bool)
		for _, r := range before {
			if seen[r.Item] {
				t.Errorf("item %s stands twice", r.Item)
			}
			seen[r.Item] = true
		}
		for _, h := range hosts {
			h.stop()
		}
		store.Forget()
		third := newHost(store)
		defer third.stop()
		if diff := cmp.Diff(before, resultsOf(t, third, "j")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestAccept_HandedInAgainAfterResultsKeepsThem(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		s := submission("j", 3, 10)
		first := newHost(store)
		if err := first.Accept(ctx, s); err != nil {
			t.Fatal(err)
		}
		first.AddResult(JobResult{Job: "j", Result: completed("j-2", "x")})
		time.Sleep(time.Second)
		if err := first.Accept(ctx, s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		before := resultsOf(t, first, "j")
		first.stop()
		second := newHost(store)
		defer second.stop()
		if diff := cmp.Diff(before, resultsOf(t, second, "j")); diff != "" || len(before) != 1 {
			t.Errorf("%d results, then %s", len(before), diff)
		}
	})
}

func TestAddResult_IsWrittenToAPartitionThatIsNoLongerFollowed(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		owner, former := newHost(store), newHostThatOwns(store, false)
		defer owner.stop()
		defer former.stop()
		if err := owner.Accept(ctx, submission("j", 2, 10)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * followTime)
		former.AddResult(JobResult{Job: "j", Result: completed("j-1", "x")})
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]Result{completed("j-1", "x")}, resultsOf(t, owner, "j")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestEnd_KnownAtOtherHostsAndAfterwards(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		a, b := newHost(store), newHost(store)
		defer a.stop()
		defer b.stop()
		if err := a.Accept(ctx, submission("j", 2, 10)); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := b.End(ctx, "j"); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if a.AwaitsResult("j", "j-0") {
			t.Error("an item of an ended job still awaits a result")
		}
		if err := b.Exists(ctx, "other"); !errors.Is(err, ErrUnknownJob) {
			t.Errorf("an unknown job: %v", err)
		}
	})
}

func TestResults_WaitsForTheFirst(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		if err := h.Accept(ctx, submission("j", 2, 10)); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		time.AfterFunc(400*time.Millisecond, func() { h.AddResult(JobResult{Job: "j", Result: completed("j-1", "x")}) })
		page, err := h.Results(ctx, "j", 0, time.Second, 1<<20)
		if err != nil || len(page.Results) != 1 || page.Total != 2 {
			t.Errorf("%+v, %v", page, err)
		}
		if took := time.Since(start); took < 400*time.Millisecond || took > 600*time.Millisecond {
			t.Errorf("took %s", took)
		}
	})
}

// Guards against a job that is reported as unknown because the copy of its partition was
// dropped while the caller waited.
func TestResults_WaitsOnWhenTheCopyIsDropped(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHostThatOwns(store, false)
		defer h.stop()
		if err := h.Accept(ctx, submission("j", 2, 10)); err != nil {
			t.Fatal(err)
		}
		page, err := h.Results(ctx, "j", 0, 2*followTime, 1<<20)
		if err != nil || page.Total != 2 {
			t.Errorf("%+v, %v", page, err)
		}
	})
}

func TestResults_RefusesWhileTheStoreIsAway(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		if err := h.Accept(ctx, submission("j", 2, 10)); err != nil {
			t.Fatal(err)
		}
		store.SetDown(true)
		time.Sleep(2 * maxResultsAge)
		if _, err := h.Results(ctx, "j", 0, 0, 1); !errors.Is(err, ErrStaleCopy) {
			t.Errorf("a known job with a stale copy: %v", err)
		}
		if _, err := h.Results(ctx, "other", 0, 0, 1); !errors.Is(err, ErrStaleCopy) {
			t.Errorf("an unknown job: %v", err)
		}
	})
}

func TestDeleteExpired_LeavesNothingBehind(t *testing.T) {
	testDeletion(t, 200<<10, func(h *host) {
		h.AddResult(JobResult{Job: "j", Result: completed("j-1", "x")})
	})
}

// Guards against open jobs that are deleted because all their results are listed.
func TestDeleteExpired_KeepsOpenJobs(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		go h.DeleteExpired(ctx, func(identifier.PartitionNumber) bool { return true })
		s := submission("j", 2, 10)
		if err := h.Accept(ctx, s); err != nil {
			t.Fatal(err)
		}
		for _, i := range s.Items {
			h.AddResult(JobResult{Job: "j", Result: completed(i.ID, "x")})
		}
		time.Sleep(time.Hour)
		want := []Result{completed("j-0", "x"), completed("j-1", "x")}
		if diff := cmp.Diff(want, resultsOf(t, h, "j")); diff != "" {
			t.Error(diff)
		}
		if err := h.End(ctx, "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		wantNoRecords(ctx, t, store)
	})
}

// testDeletion submits job j, whose items have bodies of bodyBytes bytes, lets work
// change it, ends it, and checks that no record of it remains.
func testDeletion(t *testing.T, bodyBytes int, work func(h *host)) {
	t.Helper()
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		go h.DeleteExpired(ctx, func(identifier.PartitionNumber) bool { return true })
		if err := h.Accept(ctx, submission("j", 3, bodyBytes)); err != nil {
			t.Fatal(err)
		}
		work(h)
		time.Sleep(time.Second)
		if err := h.End(ctx, "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		wantNoRecords(ctx, t, store)
	})
}

func wantNoRecords(ctx context.Context, t *testing.T, store *faker.Store) {
	t.Helper()
	for n := range 2 {
		p := storer.Partition{Topic: topic, Number: identifier.PartitionNumber(n)}
		page, err := store.Newest(ctx, p, "")
		if err != nil || len(page.Records) > 0 {
			t.Errorf("partition %d keeps %d records, %v", n, len(page.Records), err)
		}
	}
}

// The completed items of incomplete groups may be submitted again after their job has
// ended.
func TestLeftOver_CompletedItemsOfIncompleteGroups(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		s := submission("j", 5, 10)
		for n, group := range []identifier.GroupID{"whole", "whole", "part", "part", "failed"} {
			s.Items[n].Group = group
		}
		if err := h.Accept(ctx, s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for _, item := range []identifier.ItemID{"j-0", "j-1", "j-2"} {
			h.AddResult(JobResult{Job: "j", Result: completed(item, "text of "+string(item))})
		}
		h.AddResult(JobResult{Job: "j", Result: Result{Item: "j-4", State: ResultFailed}})
		time.Sleep(time.Second)
		if open := h.LeftOver("m", time.Minute); len(open) != 0 {
			t.Errorf("%d items of an open job are left over", len(open))
		}
		if err := h.End(ctx, "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		want := []CompletedItem{{Item: &s.Items[2], Result: completed("j-2", "text of j-2")}}
		if diff := cmp.Diff(want, h.LeftOver("m", time.Minute)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		if others := len(h.LeftOver("n", time.Minute)) + len(h.LeftOver("m", time.Second)); others != 0 {
			t.Errorf("%d items of another model or time", others)
		}
	})
}
