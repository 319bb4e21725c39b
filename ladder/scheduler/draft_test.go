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

// longText has events for 6 s, more than the 4 s of a step.
func longText(version identifier.WeightVersion) behave {
	return func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Events: 200, Gap: pace, Version: version}
	}
}

// endAfter ends the job j, hands in the same items as k after a pause and
// returns how many calls engines had got before.
func (w *world) endAfter(t *testing.T, d time.Duration, oldest identifier.WeightVersion, items int) (calls int) {
	t.Helper()
	time.Sleep(d)
	if err := w.books.End(context.Background(), "j"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	calls = len(w.targets.Calls())
	w.submitAs(t, "k", oldest, items)
	return calls
}

func TestRun_ItemsOfAnEndedJobGoOnInALaterOne(t *testing.T) {
	inWorld(t, false, longText(2), func(t *testing.T, w *world) {
		w.submit(t, 8)
		w.endAfter(t, 4*time.Second, 2, 8)
		time.Sleep(4 * time.Second)
		got := w.resultsOf(t, "k")
		if len(got) != 8 {
			t.Fatalf("%d of 8 items are done 4 s after they came again; 2 s of their texts were left", len(got))
		}
		for id, r := range got {
			r.Score = ""
			want := jobstorer.Result{Item: id, State: jobstorer.ResultCompleted, Text: wholeText(200), Versions: []identifier.WeightVersion{2}}
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
	inWorld(t, false, b, func(t *testing.T, w *world) {
		w.submit(t, 4)
		time.Sleep(3 * time.Second)
		version.Store(3)
		for _, name := range []identifier.TargetName{"a", "b", "c"} {
			w.catalog.RecordWeights(name, "m", 3)
		}
		before := w.endAfter(t, time.Second, 3, 4)
		time.Sleep(8 * time.Second)
		for id, r := range w.resultsOf(t, "k") {
			if diff := cmp.Diff([]identifier.WeightVersion{3}, r.Versions); diff != "" {
				t.Errorf("%s: versions %s", id, diff)
			}
		}
		calls := w.targets.Calls()[before:]
		if len(calls) == 0 {
			t.Fatal("nothing was sent")
		}
		for _, c := range calls {
			if c.Call.ID[0] == 'i' && c.Call.ResumeAfter > 0 {
				t.Errorf("%s goes on after event %d of version 2", c.Call.ID, c.Call.ResumeAfter)
			}
		}
	})
}

func TestRun_WholeTextsOfAnEndedJobAreOnlyScored(t *testing.T) {
	b := func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		if c.ID == "i00" {
			return faker.Behaviour{Events: 400, Gap: pace, Version: 2}
		}
		return good()
	}
	inWorld(t, false, b, func(t *testing.T, w *world) {
		w.submit(t, 4)
		before := w.endAfter(t, 3*time.Second, 2, 4)
		time.Sleep(time.Second)
		if n := len(w.resultsOf(t, "k")); n != 3 {
			t.Errorf("%d of 3 items are listed at once", n)
		}
		for _, c := range w.targets.Calls()[before:] {
			if c.Call.ID[0] == 'i' && c.Call.ID != "i00" {
				t.Errorf("%s was run again", c.Call.ID)
			}
		}
		time.Sleep(9 * time.Second)
		if diff := cmp.Diff(wholeText(400), w.resultsOf(t, "k")["i00"].Text); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRun_ItemsUnderWayGoOnAtTheNextOwner(t *testing.T) {
	inWorld(t, false, longText(2), func(t *testing.T, w *world) {
		next := w.newEntry("the next", []string{"self"})
		w.others = append(w.others, next)
		w.submit(t, 8)
		time.Sleep(3 * time.Second)
		before := len(w.targets.Calls())
		w.resign()
		time.Sleep(1500 * time.Millisecond)
		if n := w.RunningItems(); n > 0 {
			t.Errorf("%d items still run at the entry that has resigned", n)
		}
		if n := w.targets.Running(); n != 8 {
			t.Errorf("%d runs of 8 items", n)
		}
		for _, c := range w.targets.Calls()[before:] {
			if c.Call.ResumeAfter < 90 {
				t.Errorf("%s goes on after event %d; about 100 were made", c.Call.ID, c.Call.ResumeAfter)
			}
		}
		time.Sleep(3 * time.Second)
		for id, r := range w.results(t) {
			r.Score = ""
			want := jobstorer.Result{Item: id, State: jobstorer.ResultCompleted, Text: wholeText(200), Versions: []identifier.WeightVersion{2}}
			if diff := cmp.Diff(want, r); diff != "" {
				t.Errorf("%s: %s", id, diff)
			}
		}
		if n := len(w.results(t)); n != 8 {
			t.Errorf("%d of 8 items are done; a new start takes 3 s more", n)
		}
	})
}

// A partition changes hands while some items run and some are scored or listed.
// The race detector looks on.
func TestHandOver_AmongItemsInEveryState(t *testing.T) {
	b := func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		return faker.Behaviour{Events: 20 + int(c.ID[2]-'0'), Gap: pace, Version: 2}
	}
	inWorld(t, false, b, func(t *testing.T, w *world) {
		w.others = append(w.others, w.newEntry("the next", []string{"self"}))
		w.submit(t, 10)
		time.Sleep(20*pace + 200*time.Millisecond)
		w.resign()
		time.Sleep(3 * time.Second)
		for id, r := range w.results(t) {
			if diff := cmp.Diff(wholeText(20+int(id[2]-'0')), r.Text); diff != "" || r.Score == "" {
				t.Errorf("%s: score %q, %s", id, r.Score, diff)
			}
		}
		if n := len(w.results(t)); n != 10 {
			t.Errorf("%d of 10 items are done", n)
		}
	})
}

// A text that must have one version waits for a target that has it. Once a newer
// one is named such targets grow fewer, and the text is made anew.
func TestRun_PartsUnderASingleVersionAreUsedWhileItIsTheNewest(t *testing.T) {
	for named, resumed := range map[bool]bool{false: true, true: false} {
		inWorld(t, true, longText(2), func(t *testing.T, w *world) {
			w.submit(t, 4)
			if named {
				w.catalog.PublishedSink().Apply([]storer.Record{{Key: "version", Offset: 9, Value: []byte("x")}})
			}
			before := w.endAfter(t, 3*time.Second, 2, 4)
			time.Sleep(time.Second)
			calls := w.targets.Calls()[before:]
			if len(calls) != 4 {
				t.Errorf("%d calls of 4 items", len(calls))
			}
			for _, c := range calls {
				if c.Call.ResumeAfter > 0 != resumed {
					t.Errorf("newer version named %t: %s goes on after event %d", named, c.Call.ID, c.Call.ResumeAfter)
				}
			}
		})
	}
}

// The group deals the partitions anew at once, as the users' store may: both
// entries believe for a moment that they own them.
func TestRun_WorkGoesOnWhenThePartitionsAreDealtAnew(t *testing.T) {
	inWorld(t, false, longText(2), func(t *testing.T, w *world) {
		next := w.newEntryOf("the next", []string{"self"}, 2)
		w.others = append(w.others, next)
		time.Sleep(2 * time.Second)
		w.submit(t, 8)
		for range 3 {
			time.Sleep(time.Second)
			w.group.Rebalance()
		}
		time.Sleep(8 * time.Second)
		for id, r := range w.results(t) {
			if diff := cmp.Diff(wholeText(200), r.Text); diff != "" {
				t.Errorf("%s: %s", id, diff)
			}
		}
		if n := len(w.results(t)); n != 8 {
			t.Errorf("%d of 8 items are done after 11 s", n)
		}
	})
}

// The owner of a job is killed while its items run, and nobody is left to ask for
// their texts.
func TestRun_ItemsOfAKilledOwnerGoOnFromWhatTheStoreHas(t *testing.T) {
	const events, items = 100, 8
	b := func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Events: events, Gap: pace, Version: 2}
	}
	for _, single := range []bool{false, true} {
		inWorld(t, single, b, func(t *testing.T, w *world) {
			w.submit(t, items)
			time.Sleep(50*pace + 500*time.Millisecond)
			w.stop()
			before := len(w.targets.Calls())
			next := w.newEntry("the next", nil)
			w.others = append(w.others, next)
			w.entry = next
			time.Sleep(6 * time.Second)
			for _, c := range w.targets.Calls()[before:] {
				if isItem := c.Call.ID[0] == 'i'; isItem && c.Call.ResumeAfter < 50-2*saveEvents {
					t.Errorf("single version %t: %s goes on after event %d, some 50 were made", single, c.Call.ID, c.Call.ResumeAfter)
				}
			}
			results := w.results(t)
			for id, r := range results {
				if diff := cmp.Diff(wholeText(events), r.Text); diff != "" {
					t.Errorf("%s: %s", id, diff)
				}
			}
			if len(results) != items {
				t.Errorf("%d of %d items are done 6 s after the kill", len(results), items)
			}
		})
	}
}
