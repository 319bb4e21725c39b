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

// TestMain fixes the seed of the properties: the same verdict every run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// Whatever a team sends, its bounds hold, a refusal says when to come back and
// that is true of the rate, and another team isn't touched.
func TestEnter_Properties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		l := New(clock)
		b := Limits{RequestsPerSecond: 4, Burst: rapid.IntRange(1, 5).Draw(t, "burst"), InFlight: rapid.IntRange(1, 6).Draw(t, "in flight")}
		began, admitted, open := clock.Now(), 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if open > 0 && rapid.Bool().Draw(t, "leaves") {
				l.Release("greedy")
				open--
				continue
			}
			retryAfter, ok := l.TryAcquire("greedy", b)
			switch {
			case ok:
				admitted++
				open++
			case retryAfter <= 0:
				t.Fatal("refused without when to come back")
			case open < b.InFlight:
				clock.Advance(retryAfter)
				if _, ok := l.TryAcquire("greedy", b); !ok {
					t.Fatalf("refused again after the %s asked for", retryAfter)
				}
				admitted++
				open++
			}
			if most := float64(b.Burst) + b.RequestsPerSecond*clock.Since(began).Seconds(); float64(admitted) > most+1e-6 {
				t.Fatalf("%d admitted, at most %.2f allowed", admitted, most)
			}
			if open > b.InFlight {
				t.Fatalf("%d open, at most %d allowed", open, b.InFlight)
			}
		}
		if _, ok := l.TryAcquire(identifier.TeamName("modest"), b); !ok {
			t.Fatal("a team that had sent nothing was refused")
		}
	})
}

func TestBudget_RetriesAreAShareOfSuccesses(t *testing.T) {
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
