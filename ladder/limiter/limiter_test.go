package limiter

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// Whatever a team sends, its limits hold, a refusal has a valid retry time, and
// another team isn't affected.
func TestTryAcquire_Properties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		l := New(clock)
		limits := Limits{RequestsPerSecond: 4, Burst: rapid.IntRange(1, 5).Draw(t, "burst"), InFlight: rapid.IntRange(1, 6).Draw(t, "in flight")}
		start, admitted, open := clock.Now(), 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if open > 0 && rapid.Bool().Draw(t, "release") {
				l.Release("greedy")
				open--
				continue
			}
			retryAfter, ok := l.TryAcquire("greedy", limits)
			switch {
			case ok:
				admitted++
				open++
			case retryAfter <= 0:
				t.Fatal("refused without a retry time")
			case open < limits.InFlight:
				clock.Advance(retryAfter)
				if _, ok := l.TryAcquire("greedy", limits); !ok {
					t.Fatalf("refused again after waiting %s as told", retryAfter)
				}
				admitted++
				open++
			}
			if allowed := float64(limits.Burst) + limits.RequestsPerSecond*clock.Since(start).Seconds(); float64(admitted) > allowed+1e-6 {
				t.Fatalf("%d admitted, at most %.2f allowed", admitted, allowed)
			}
			if open > limits.InFlight {
				t.Fatalf("%d open, at most %d allowed", open, limits.InFlight)
			}
		}
		if _, ok := l.TryAcquire(identifier.TeamName("modest"), limits); !ok {
			t.Fatal("a team without requests was refused")
		}
	})
}

func TestRetryBudget_RetriesAreAShareOfSuccesses(t *testing.T) {
	b := NewRetryBudget(0.1, 2)
	spent := func() (n int) {
		for b.TrySpend() {
			n++
		}
		return n
	}
	got := []int{spent()}
	for range 15 {
		b.RecordSuccess()
	}
	got = append(got, spent())
	for range 1000 {
		b.RecordSuccess()
	}
	got = append(got, spent())
	if diff := cmp.Diff([]int{2, 1, 2}, got); diff != "" {
		t.Errorf("retries at first, after 15 successes and after 1000 (-want +got):\n%s", diff)
	}
}
