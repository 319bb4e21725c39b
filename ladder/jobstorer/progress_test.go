package jobstorer

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

func progress(item identifier.ItemID, last identifier.EventNumber) Progress {
	return Progress{Item: item, LastEvent: last, Text: []byte(strings.Repeat("x", int(last))), Versions: []identifier.WeightVersion{2}}
}

func wantProgress(t *testing.T, h *host, want map[identifier.ItemID]Progress) {
	t.Helper()
	got := make(map[identifier.ItemID]Progress)
	for _, item := range []identifier.ItemID{"j-0", "j-1", "j-2"} {
		if progress, ok := h.Progress("j", item); ok {
			got[item] = progress
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestSaveProgress_KnownToTheNextOwnerUntilTheResult(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		owner := newHost(store)
		if err := owner.Accept(ctx, submission("j", 3, 10)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		owner.SaveProgress("j", progress("j-0", 12))
		owner.SaveProgress("j", progress("j-1", 12))
		time.Sleep(time.Second)
		owner.SaveProgress("j", progress("j-0", 24))
		owner.SaveProgress("j", progress("j-1", 11)) // superseded before it was written
		time.Sleep(time.Second)
		owner.stop()

		next := newHost(store)
		defer next.stop()
		time.Sleep(time.Second)
		wantProgress(t, next, map[identifier.ItemID]Progress{"j-0": progress("j-0", 24), "j-1": progress("j-1", 12)})
		next.SaveProgress("j", Progress{Item: "j-1"})
		next.AddResult(JobResult{Job: "j", Result: completed("j-0", "whole")})
		time.Sleep(time.Second)
		wantProgress(t, next, map[identifier.ItemID]Progress{})
		next.SaveProgress("j", progress("j-0", 36)) // has a result
		next.SaveProgress("j", progress("j-2", 12))
		time.Sleep(time.Second)
		if err := next.End(ctx, "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		wantProgress(t, next, map[identifier.ItemID]Progress{"j-2": progress("j-2", 12)})
		want := []PartialItem{{Item: &submission("j", 3, 10).Items[2], Progress: progress("j-2", 12)}}
		if diff := cmp.Diff(want, next.Unfinished("m", time.Minute)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

func TestDeleteExpired_LeavesNoPartialTexts(t *testing.T) {
	testDeletion(t, 10, func(h *host) {
		time.Sleep(time.Second)
		h.SaveProgress("j", progress("j-0", 12))
		h.SaveProgress("j", progress("j-1", 12))
		time.Sleep(time.Second)
		h.AddResult(JobResult{Job: "j", Result: completed("j-1", "x")})
	})
}

// Partial texts must not delay results, nor cause an append to be repeated.
func TestSaveProgress_WhileTheStoreIsAway(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		if err := h.Accept(ctx, submission("j", 3, 10)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		store.SetDown(true)
		h.SaveProgress("j", progress("j-0", 12))
		time.Sleep(time.Second)
		h.AddResult(JobResult{Job: "j", Result: completed("j-1", "x")})
		h.SaveProgress("j", progress("j-0", 24))
		time.Sleep(3 * time.Second)
		store.SetDown(false)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff([]Result{completed("j-1", "x")}, resultsOf(t, h, "j")); diff != "" {
			t.Error(diff)
		}
		h.SaveProgress("j", progress("j-0", 36))
		time.Sleep(time.Second)
		wantProgress(t, h, map[identifier.ItemID]Progress{"j-0": progress("j-0", 36)})
	})
}
