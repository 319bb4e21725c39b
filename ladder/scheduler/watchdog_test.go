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

// pausingFirstRun makes every engine generate complete texts, but pause the first run
// of item i00 after its first event.
func pausingFirstRun(pause time.Duration) behaviourFunc {
	asked := false
	return func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		b := faker.Behaviour{Events: 60, Gap: eventGap, Version: 2}
		if c.ID == "i00" && !asked {
			asked = true
			b.PauseAfter, b.Pause = 1, pause
		}
		return b
	}
}

// Each engine has 4 slots. A step of 12 items fills them all, a step of 3 does not.
func TestRun_AnItemPutAsideStaysWhereItIsWhileAllEnginesAreFull(t *testing.T) {
	for name, c := range map[string]struct {
		items int
		pause time.Duration
		// runs is how often the item is sent, within is the time limit for its
		// result.
		runs   int
		within time.Duration
	}{
		"all are full":                 {items: 12, pause: time.Second, runs: 1, within: 3500 * time.Millisecond},
		"others have room":             {items: 3, pause: time.Minute, runs: 2, within: 3 * time.Second},
		"all are full, for too long":   {items: 12, pause: time.Minute, runs: 2, within: maxSilence + 3*time.Second},
		"put aside for a short moment": {items: 3, pause: 2 * eventGap, runs: 1, within: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inTestEnv(t, false, pausingFirstRun(c.pause), func(t *testing.T, env *testEnv) {
				env.submit(t, c.items)
				start := time.Now()
				for len(env.results(t)["i00"].Text) == 0 && time.Since(start) < 20*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(start); took > c.within {
					t.Errorf("the item took %s, want at most %s", took, c.within)
				}
				time.Sleep(5 * time.Second)
				runs := make(map[identifier.ItemID]int)
				for _, call := range env.targets.Calls() {
					if call.Call.Path == "/p/x" {
						runs[identifier.ItemID(call.Call.ID)]++
					}
				}
				if diff := cmp.Diff(c.runs, runs["i00"]); diff != "" {
					t.Errorf("runs of the item: %s", diff)
				}
				if n := len(env.results(t)); n != c.items {
					t.Errorf("%d of %d items are done", n, c.items)
				}
			})
		})
	}
}
