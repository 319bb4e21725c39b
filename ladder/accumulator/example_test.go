package accumulator_test

import (
	"context"
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/accumulator"
)

// After a reconnect the sender repeats some data: overlaps are skipped, and a gap
// is refused so that the missing part can be requested.
func Example() {
	a := accumulator.New()
	fmt.Println(a.WriteAt(0, []byte("hanging ")))
	fmt.Println(a.WriteAt(11, []byte("in")), "ask from", a.Length())
	fmt.Println(a.WriteAt(4, []byte("ing chain")))
	a.End()
	data, _, _ := a.ReadFromOffset(context.Background(), 0)
	fmt.Println(string(data))
	// Output:
	// true
	// false ask from 8
	// true
	// hanging chain
}
