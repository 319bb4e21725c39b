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

type noEndedJobs struct{}

func (noEndedJobs) LeftOver(identifier.ModelName, time.Duration) []jobstorer.CompletedItem {
	return nil
}

func (noEndedJobs) Unfinished(identifier.ModelName, time.Duration) []jobstorer.PartialItem {
	return nil
}

// The latest draft of an item is found until it expires or newer ones exceed the size
// limit, and the cache never exceeds that limit.
func TestKeep_LatestWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		c := New(clock, noEndedJobs{})
		items := []identifier.ItemID{"a", "b", "c", "d"}
		newest := make(map[identifier.ItemID]messenger.Draft)
		at := make(map[identifier.ItemID]time.Time)
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 10).Draw(t, "pause")) * time.Second)
			id := rapid.SampledFrom(items).Draw(t, "item")
			draft := messenger.Draft{Item: id, LastEvent: identifier.EventNumber(n + 1), Text: make([]byte, rapid.IntRange(0, 2<<20).Draw(t, "bytes"))}
			c.Keep("m", draft)
			newest[id], at[id] = draft, clock.Now()
			if c.bytes > maxBytes {
				t.Fatalf("%d bytes are kept", c.bytes)
			}
		}
		for _, found := range c.Drafts("m") {
			if found.LastEvent != newest[found.Item].LastEvent {
				t.Errorf("%s: draft %d was replaced by %d", found.Item, found.LastEvent, newest[found.Item].LastEvent)
			}
			if age := clock.Since(at[found.Item]); age > retention {
				t.Errorf("%s is %s old", found.Item, age)
			}
		}
	})
}

func TestDrafts_UntilTheyExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock, noEndedJobs{})
	want := messenger.Draft{Item: "a", Text: []byte("text"), LastEvent: 7, Versions: []identifier.WeightVersion{2}}
	c.Keep("m", want)
	c.Keep("other", messenger.Draft{Item: "b"})
	if diff := cmp.Diff([]messenger.Draft{want}, c.Drafts("m")); diff != "" {
		t.Error(diff)
	}
	clock.Advance(retention + time.Millisecond)
	if found := c.Drafts("m"); len(found) != 0 {
		t.Errorf("%d drafts are found after they expired", len(found))
	}
}
