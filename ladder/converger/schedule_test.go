package converger

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// TestMain fixes the seed of the property tests, so that every run gives the same
// result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// Guards against too many targets being unavailable at once: however late each target
// has loaded its weights, the number of targets that switch at one time never exceeds
// the share, and a target that has loaded in time has switched within the budget.
func TestSwitchDelay_KeepsShareAndBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(2, 40).Draw(t, "peers")
		percent := rapid.IntRange(10, 99).Draw(t, "percent")
		share := max(1, peers*percent/100)
		waves := (peers + share - 1) / share
		took := time.Duration(rapid.IntRange(1, 3000).Draw(t, "took")) * time.Millisecond
		since := time.Unix(1_800_000_000, 0)
		latest := max(switchBudget, leadTime+time.Duration(waves)*(took+startTolerance+2*switchTimeStep))
		starts := make([]time.Time, peers)
		for rank := range peers {
			m := messenger.Configuration{AwayPercent: percent, Peers: peers, Rank: rank, SwitchTime: UpdateSwitchTime(0, took)}
			loaded := time.Duration(rapid.IntRange(0, 12000).Draw(t, "loaded")) * time.Millisecond
			now := since.Add(loaded)
			starts[rank] = now.Add(SwitchDelay(m, since, now))
			if d := SwitchDelay(m, since, starts[rank]); d != 0 {
				t.Fatalf("rank %d has to wait another %s at the start of its window", rank, d)
			}
			if loaded <= leadTime && starts[rank].Add(took).Sub(since) > latest {
				t.Fatalf("rank %d loaded after %s and switched after %s", rank, loaded, starts[rank].Add(took).Sub(since))
			}
		}
		for _, at := range starts {
			unavailable := 0
			for _, s := range starts {
				if !s.After(at) && at.Before(s.Add(took)) {
					unavailable++
				}
			}
			if unavailable > share {
				t.Fatalf("%d of %d targets unavailable at once, limit is %d", unavailable, peers, share)
			}
		}
	})
}
