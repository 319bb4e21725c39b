package draftcacher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

type noBooks struct{}

func (noBooks) LeftOver(identifier.ModelName, time.Duration) []jobstorer.CompletedItem { return nil }

func (noBooks) Unfinished(identifier.ModelName, time.Duration) []jobstorer.PartialItem { return nil }

// The newest draft of an item is found until it is old or newer ones fill the
// bound, and what is kept never exceeds the bound.
func TestKeep_NewestWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		d := New(clock, noBooks{})
		items := []identifier.ItemID{"a", "b", "c", "d"}
		newest := make(map[identifier.ItemID]messenger.Draft)
		at := make(map[identifier.ItemID]time.Time)
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 10).Draw(t, "pause")) * time.Second)
			id := rapid.SampledFrom(items).Draw(t, "item")
			draft := messenger.Draft{Item: id, LastEvent: identifier.EventNumber(n + 1), Text: make([]byte, rapid.IntRange(0, 2<<20).Draw(t, "bytes"))}
			d.Keep("m", draft)
			newest[id], at[id] = draft, clock.Now()
			if d.bytes > mostBytes {
				t.Fatalf("%d bytes are kept", d.bytes)
			}
		}
		for _, found := range d.Drafts("m") {
			if found.LastEvent != newest[found.Item].LastEvent {
				t.Errorf("%s: draft %d was replaced by %d", found.Item, found.LastEvent, newest[found.Item].LastEvent)
			}
			if age := clock.Since(at[found.Item]); age > keepFor {
				t.Errorf("%s is %s old", found.Item, age)
			}
		}
	})
}

func TestFind_WhatWasKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := New(clock, noBooks{})
	want := messenger.Draft{Item: "a", Text: []byte("text"), LastEvent: 7, Versions: []identifier.WeightVersion{2}}
	d.Keep("m", want)
	d.Keep("other", messenger.Draft{Item: "b"})
	if diff := cmp.Diff([]messenger.Draft{want}, d.Drafts("m")); diff != "" {
		t.Error(diff)
	}
	clock.Advance(keepFor + time.Millisecond)
	if found := d.Drafts("m"); len(found) != 0 {
		t.Errorf("%d drafts are found after their time", len(found))
	}
}
