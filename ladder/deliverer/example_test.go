package deliverer_test

import (
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
)

// Staleness is the trainer's version minus the oldest version in a sample's
// spans.
func ExampleStale() {
	fmt.Println(deliverer.Stale(9, 7, 2), deliverer.Stale(10, 7, 2))
	// Output: false true
}
