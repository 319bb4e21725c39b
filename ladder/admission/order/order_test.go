package order

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const trip = 30 * time.Millisecond

func drawRequest(t *rapid.T, n int) Request {
	at := func(name string, from, to int) time.Time {
		if rapid.Bool().Draw(t, "no "+name) {
			return time.Time{}
		}
		return start.Add(time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond)
	}
	return Request{
		Account: rapid.SampledFrom([]identifier.AccountName{"", "a", "b"}).Draw(t, "account"), Owed: rapid.Bool().Draw(t, "owed"),
		Priority: rapid.IntRange(-1, 20).Draw(t, "priority"), Arrived: start.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond),
		Goal: at("goal", -500, 500), Deadline: at("deadline", -500, 30000), Work: time.Duration(rapid.IntRange(0, 200).Draw(t, "work")) * time.Millisecond,
		GroupLeft: rapid.IntRange(0, 8).Draw(t, "left"), Sequence: uint64(n),
	}
}

// Guards against an order that depends on the order in which requests are compared.
func TestCompare_IsATotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Ranked
		for n := range rapid.IntRange(2, 12).Draw(t, "count") {
			r := drawRequest(t, n)
			list = append(list, Ranked{r, Cost(start, r, trip) * ShareFactor(float64(rapid.IntRange(0, 5).Draw(t, "used")), 5, 2)})
		}
		for _, a := range list {
			if !(a.Rank > 0) {
				t.Fatalf("rank %f of %+v", a.Rank, a.Request)
			}
			for _, b := range list {
				if (Compare(a, b) == 0) != (a.Sequence == b.Sequence) || Compare(a, b) != -Compare(b, a) {
					t.Fatalf("%+v and %+v compare as %d and %d", a, b, Compare(a, b), Compare(b, a))
				}
			}
		}
		shuffled := rapid.Permutation(list).Draw(t, "shuffled")
		slices.SortFunc(list, Compare)
		slices.SortFunc(shuffled, Compare)
		if diff := cmp.Diff(list, shuffled); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against a scoring call that waits for ever behind newer requests, whatever their
// priorities and goals.
func TestCost_AnOwedRequestIsFirstAtSomeTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := drawRequest(t, 0)
		old.Owed, old.Work = true, trip
		other := drawRequest(t, 1)
		other.Arrived, other.Work = old.Arrived.Add(12*time.Hour), max(trip, other.Work)
		if other.Owed {
			other.Deadline = time.Time{} // due later than old
		}
		now := other.Arrived
		if !other.Goal.IsZero() {
			other.Goal = now.Add(150 * time.Millisecond)
		}
		// The shares are equal: the factor of a flow that waits without being served is the greatest.
		if a, b := Cost(now, old, trip), Cost(now, other, trip); a <= b {
			t.Fatalf("after 12 hours a cost of %f against %f of %+v", a, b, other)
		}
	})
}

// Guards against an order that ignores what a delay costs.
func TestCompare_GoesBefore(t *testing.T) {
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	live := Request{Arrived: start, Goal: ms(150), Deadline: ms(1000), Work: trip, Priority: 2}
	owed := Request{Arrived: start, Owed: true, Deadline: ms(20000), Work: trip, Priority: 2}
	with := func(r Request, change func(*Request)) Request { change(&r); return r }
	for name, c := range map[string]struct{ first, second Request }{
		"more urgent priority":                 {with(live, func(r *Request) { r.Priority = 1 }), live},
		"earlier goal":                         {with(live, func(r *Request) { r.Goal = ms(80) }), live},
		"goal that can still be met":           {live, with(live, func(r *Request) { r.Goal = ms(10) })},
		"less work":                            {with(live, func(r *Request) { r.Work = trip / 2 }), live},
		"live before a job that can wait":      {live, owed},
		"job due at once before one due later": {with(owed, func(r *Request) { r.Deadline = ms(500) }), owed},
		"job due at once before a live call":   {with(owed, func(r *Request) { r.Deadline = ms(500) }), live},
		"last item of a group":                 {with(owed, func(r *Request) { r.GroupLeft = 1 }), with(owed, func(r *Request) { r.GroupLeft = 5 })},
	} {
		a, b := Ranked{c.first, Cost(start, c.first, trip)}, Ranked{c.second, Cost(start, c.second, trip)}
		if Compare(a, b) >= 0 {
			t.Errorf("%s: %f against %f", name, a.Rank, b.Rank)
		}
	}
}
