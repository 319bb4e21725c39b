package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// pausing has every engine give whole texts, but put the first run of the item i00
// aside after its first event.
func pausing(pause time.Duration) behave {
	asked := false
	return func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		b := faker.Behaviour{Events: 60, Gap: pace, Version: 2}
		if c.ID == "i00" && !asked {
			asked = true
			b.PauseAfter, b.Pause = 1, pause
		}
		return b
	}
}

// Each engine has 4 slots. A step of 12 items fills them all, one of 3 doesn't.
func TestRun_AnItemPutAsideStaysWhereItIsWhileAllEnginesAreFull(t *testing.T) {
	for name, c := range map[string]struct {
		items int
		pause time.Duration
		// runs is how often the item is sent, and within how long it is done.
		runs   int
		within time.Duration
	}{
		"all are full":                 {items: 12, pause: time.Second, runs: 1, within: 3500 * time.Millisecond},
		"others have room":             {items: 3, pause: time.Minute, runs: 2, within: 3 * time.Second},
		"all are full, for too long":   {items: 12, pause: time.Minute, runs: 2, within: waitLimit + 3*time.Second},
		"put aside for a short moment": {items: 3, pause: 2 * pace, runs: 1, within: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, false, pausing(c.pause), func(t *testing.T, w *world) {
				w.submit(t, c.items)
				begun := time.Now()
				for len(w.results(t)["i00"].Text) == 0 && time.Since(begun) < 20*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(begun); took > c.within {
					t.Errorf("the item took %s, want at most %s", took, c.within)
				}
				time.Sleep(5 * time.Second)
				runs := make(map[identifier.ItemID]int)
				for _, call := range w.targets.Calls() {
					if call.Call.Path == "/p/x" {
						runs[identifier.ItemID(call.Call.ID)]++
					}
				}
				if diff := cmp.Diff(c.runs, runs["i00"]); diff != "" {
					t.Errorf("runs of the item: %s", diff)
				}
				if n := len(w.results(t)); n != c.items {
					t.Errorf("%d of %d items are done", n, c.items)
				}
			})
		})
	}
}
