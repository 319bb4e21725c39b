package router_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// The router counts the sender's own open requests and learns from the arrival
// of response chunks how fast the targets are.
func Example() {
	r := router.New(clockwork.NewRealClock(), router.NewRandom(1), router.LeastInFlight{})
	candidates := []router.Candidate{{Target: "engine-1", Service: "advice"}, {Target: "engine-2", Service: "advice"}}
	var open []identifier.TargetName
	for range 3 {
		target, _ := r.Choose(candidates, router.Monitored)
		open = append(open, target)
		fmt.Println("to", target)
	}
	r.RecordChunk(open[0], 30*time.Millisecond, true)
	r.Done(open[0], router.Monitored)
	fmt.Println("open at engine-1:", r.InFlight("engine-1"))
	// Output:
	// to engine-1
	// to engine-2
	// to engine-1
	// open at engine-1: 1
}
