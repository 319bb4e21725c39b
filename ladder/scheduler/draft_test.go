package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// longText takes 6 s to generate, longer than a training step of 4 s.
func longText(version identifier.WeightVersion) behaviourFunc {
	return func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Events: 200, Gap: eventGap, Version: version}
	}
}

// resubmitAfter ends job j after d, resubmits the same items as job k after a further
// pause and returns how many calls had been sent by then.
func (env *testEnv) resubmitAfter(t *testing.T, d time.Duration, minVersion identifier.WeightVersion, items int) (calls int) {
	t.Helper()
	time.Sleep(d)
	if err := env.jobs.End(context.Background(), "j"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	calls = len(env.targets.Calls())
	env.submitAs(t, "k", minVersion, items)
	return calls
}

func TestRun_ItemsOfAnEndedJobGoOnInALaterOne(t *testing.T) {
	inTestEnv(t, false, longText(2), func(t *testing.T, env *testEnv) {
		env.submit(t, 8)
		env.resubmitAfter(t, 4*time.Second, 2, 8)
		time.Sleep(4 * time.Second)
		got := env.resultsOf(t, "k")
		if len(got) != 8 {
			t.Fatalf("%d of 8 items are done 4 s after they were resubmitted; generating the rest takes 2 s", len(got))
		}
		for id, r := range got {
			r.Score = ""
			want := jobstorer.Result{Item: id, State: jobstorer.ResultCompleted, Text: expectedText(200), Versions: []identifier.WeightVersion{2}}
			if diff := cmp.Diff(want, r); diff != "" {
				t.Errorf("%s: %s", id, diff)
			}
		}
	})
}

func TestRun_TextsUnderAVersionThatIsTooOldAreMadeAnew(t *testing.T) {
	var version atomic.Int64
	version.Store(2)
	b := func(target cataloger.Target, c sender.Call, n int) faker.Behaviour {
		return longText(identifier.WeightVersion(version.Load()))(target, c, n)
	}
	inTestEnv(t, false, b, func(t *testing.T, env *testEnv) {
		env.submit(t, 4)
		time.Sleep(3 * time.Second)
		version.Store(3)
		for _, name := range []identifier.TargetName{"a", "b", "c"} {
			env.catalog.RecordWeights(name, "m", 3)
		}
		before := env.resubmitAfter(t, time.Second, 3, 4)
		time.Sleep(8 * time.Second)
		for id, r := range env.resultsOf(t, "k") {
			if diff := cmp.Diff([]identifier.WeightVersion{3}, r.Versions); diff != "" {
				t.Errorf("%s: versions %s", id, diff)
			}
		}
		calls := env.targets.Calls()[before:]
		if len(calls) == 0 {
			t.Fatal("nothing was sent")
		}
		for _, c := range calls {
			if c.Call.ID[0] == 'i' && c.Call.ResumeAfter > 0 {
				t.Errorf("%s resumes after event %d of version 2", c.Call.ID, c.Call.ResumeAfter)
			}
		}
	})
}

func TestRun_CompleteTextsOfAnEndedJobAreOnlyScored(t *testing.T) {
	b := func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		if c.ID == "i00" {
			return faker.Behaviour{Events: 400, Gap: eventGap, Version: 2}
		}
		return healthy()
	}
	inTestEnv(t, false, b, func(t *testing.T, env *testEnv) {
		env.submit(t, 4)
		before := env.resubmitAfter(t, 3*time.Second, 2, 4)
		time.Sleep(time.Second)
		if n := len(env.resultsOf(t, "k")); n != 3 {
			t.Errorf("%d of 3 items have results at once", n)
		}
		for _, c := range env.targets.Calls()[before:] {
			if c.Call.ID[0] == 'i' && c.Call.ID != "i00" {
				t.Errorf("%s was run again", c.Call.ID)
			}
		}
		time.Sleep(9 * time.Second)
		if diff := cmp.Diff(expectedText(400), env.resultsOf(t, "k")["i00"].Text); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRun_ItemsUnderWayGoOnAtTheNextOwner(t *testing.T) {
	inTestEnv(t, false, longText(2), func(t *testing.T, env *testEnv) {
		next := env.newEntry("the next", []string{"self"})
		env.others = append(env.others, next)
		env.submit(t, 8)
		time.Sleep(3 * time.Second)
		before := len(env.targets.Calls())
		env.resign()
		time.Sleep(1500 * time.Millisecond)
		if n := env.RunningItems(); n > 0 {
			t.Errorf("%d items still run at the entry that gave up its partitions", n)
		}
		if n := env.targets.Running(); n != 8 {
			t.Errorf("%d runs of 8 items", n)
		}
		for _, c := range env.targets.Calls()[before:] {
			if c.Call.ResumeAfter < 90 {
				t.Errorf("%s resumes after event %d; about 100 were generated", c.Call.ID, c.Call.ResumeAfter)
			}
		}
		time.Sleep(3 * time.Second)
		for id, r := range env.results(t) {
			r.Score = ""
			want := jobstorer.Result{Item: id, State: jobstorer.ResultCompleted, Text: expectedText(200), Versions: []identifier.WeightVersion{2}}
			if diff := cmp.Diff(want, r); diff != "" {
				t.Errorf("%s: %s", id, diff)
			}
		}
		if n := len(env.results(t)); n != 8 {
			t.Errorf("%d of 8 items are done; starting over takes 3 s more", n)
		}
	})
}

// A partition changes owner while some of its items are running, some are being
// scored and some have results. Meant for the race detector.
func TestHandOver_AmongItemsInEveryState(t *testing.T) {
	b := func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		return faker.Behaviour{Events: 20 + int(c.ID[2]-'0'), Gap: eventGap, Version: 2}
	}
	inTestEnv(t, false, b, func(t *testing.T, env *testEnv) {
		env.others = append(env.others, env.newEntry("the next", []string{"self"}))
		env.submit(t, 10)
		time.Sleep(20*eventGap + 200*time.Millisecond)
		env.resign()
		time.Sleep(3 * time.Second)
		for id, r := range env.results(t) {
			if diff := cmp.Diff(expectedText(20+int(id[2]-'0')), r.Text); diff != "" || r.Score == "" {
				t.Errorf("%s: score %q, %s", id, r.Score, diff)
			}
		}
		if n := len(env.results(t)); n != 10 {
			t.Errorf("%d of 10 items are done", n)
		}
	})
}

// A text limited to a single weight version can only continue on a target that serves
// that version. Once a newer version is announced such targets become rare, so the
// text is generated from the start.
func TestRun_PartialTextsOfASingleVersionAreUsedWhileItIsTheNewest(t *testing.T) {
	for named, resumed := range map[bool]bool{false: true, true: false} {
		inTestEnv(t, true, longText(2), func(t *testing.T, env *testEnv) {
			env.submit(t, 4)
			if named {
				env.catalog.PublishedSink().Apply([]storer.Record{{Key: "version", Offset: 9, Value: []byte("x")}})
			}
			before := env.resubmitAfter(t, 3*time.Second, 2, 4)
			time.Sleep(time.Second)
			calls := env.targets.Calls()[before:]
			if len(calls) != 4 {
				t.Errorf("%d calls of 4 items", len(calls))
			}
			for _, c := range calls {
				if c.Call.ResumeAfter > 0 != resumed {
					t.Errorf("newer version announced %t: %s resumes after event %d", named, c.Call.ID, c.Call.ResumeAfter)
				}
			}
		})
	}
}

// The group reassigns partitions without waiting for the old owner, as the users'
// store may do, so that both entries briefly consider themselves the owner.
func TestRun_WorkContinuesWhenPartitionsAreReassigned(t *testing.T) {
	inTestEnv(t, false, longText(2), func(t *testing.T, env *testEnv) {
		next := env.newEntryOf("the next", []string{"self"}, 2)
		env.others = append(env.others, next)
		time.Sleep(2 * time.Second)
		env.submit(t, 8)
		for range 3 {
			time.Sleep(time.Second)
			env.group.Rebalance()
		}
		time.Sleep(8 * time.Second)
		for id, r := range env.results(t) {
			if diff := cmp.Diff(expectedText(200), r.Text); diff != "" {
				t.Errorf("%s: %s", id, diff)
			}
		}
		if n := len(env.results(t)); n != 8 {
			t.Errorf("%d of 8 items are done after 11 s", n)
		}
	})
}

// The owner of a job is killed while its items are running, so that their text can
// only come from the store.
func TestRun_ItemsOfAKilledOwnerGoOnFromWhatTheStoreHas(t *testing.T) {
	const events, items = 100, 8
	b := func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Events: events, Gap: eventGap, Version: 2}
	}
	for _, single := range []bool{false, true} {
		inTestEnv(t, single, b, func(t *testing.T, env *testEnv) {
			env.submit(t, items)
			time.Sleep(50*eventGap + 500*time.Millisecond)
			env.stop()
			before := len(env.targets.Calls())
			next := env.newEntry("the next", nil)
			env.others = append(env.others, next)
			env.entry = next
			time.Sleep(6 * time.Second)
			for _, c := range env.targets.Calls()[before:] {
				if isItem := c.Call.ID[0] == 'i'; isItem && c.Call.ResumeAfter < 50-2*saveInterval {
					t.Errorf("single version %t: %s resumes after event %d, about 50 were generated", single, c.Call.ID, c.Call.ResumeAfter)
				}
			}
			results := env.results(t)
			for id, r := range results {
				if diff := cmp.Diff(expectedText(events), r.Text); diff != "" {
					t.Errorf("%s: %s", id, diff)
				}
			}
			if len(results) != items {
				t.Errorf("%d of %d items are done 6 s after the kill", len(results), items)
			}
		})
	}
}
