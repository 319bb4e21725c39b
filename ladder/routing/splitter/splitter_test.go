package splitter

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Guards against work at a service whose weight is 0, and against shares other than the weights,
// whichever way the service is chosen.
func TestServices_FollowTheWeights(t *testing.T) {
	const draws = 10_000
	random := rand.New(rand.NewPCG(1, 1))
	for name, c := range map[string]struct {
		shares []cataloger.TrafficShare
		// want is the share of each service in percent.
		want map[identifier.ServiceName]int
	}{
		"one":         {[]cataloger.TrafficShare{{Service: "a", Weight: 5}}, map[identifier.ServiceName]int{"a": 100}},
		"taken off":   {[]cataloger.TrafficShare{{Service: "a"}, {Service: "b", Weight: 100}}, map[identifier.ServiceName]int{"b": 100}},
		"last is off": {[]cataloger.TrafficShare{{Service: "a", Weight: 1}, {Service: "b"}}, map[identifier.ServiceName]int{"a": 100}},
		"split":       {[]cataloger.TrafficShare{{Service: "a", Weight: 1}, {Service: "b"}, {Service: "c", Weight: 3}}, map[identifier.ServiceName]int{"a": 25, "c": 75}},
		"no weights":  {[]cataloger.TrafficShare{{Service: "a"}, {Service: "b"}}, map[identifier.ServiceName]int{"a": 100}},
		"below 0":     {[]cataloger.TrafficShare{{Service: "a", Weight: -1}, {Service: "b", Weight: 1}}, map[identifier.ServiceName]int{"b": 100}},
		"no services": {nil, map[identifier.ServiceName]int{"": 100}},
	} {
		t.Run(name, func(t *testing.T) {
			r := cataloger.Route{Shares: c.shares}
			for way, choose := range map[string]func(n int) identifier.ServiceName{
				"drawn":    func(int) identifier.ServiceName { return Draw(r, random) },
				"assigned": func(n int) identifier.ServiceName { return Assign(r, "item-"+strconv.Itoa(n)) },
			} {
				got := make(map[identifier.ServiceName]int)
				for n := range draws {
					got[choose(n)]++
				}
				for s, count := range got {
					got[s] = (100*count + draws/2) / draws
				}
				tolerance := cmp.Comparer(func(a, b int) bool { return a-b <= 2 && b-a <= 2 })
				if diff := cmp.Diff(c.want, got, tolerance); diff != "" {
					t.Errorf("%s: %s", way, diff)
				}
			}
		})
	}
}
