package labeler_test

import (
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/labeler"
)

// The weights change in the middle of a response; the versions stamped on its
// chunks show where.
func Example() {
	l := labeler.New(caller.State{BootID: "boot", Version: 7, SwitchCount: 1})
	l.Add(caller.Chunk{Tokens: 3, Version: 7})
	l.Add(caller.Chunk{Tokens: 2, Version: 8})
	spans, known := l.Finish(caller.State{BootID: "boot", Version: 8, SwitchCount: 2})
	fmt.Println(spans, known, "oldest", labeler.OldestVersion(spans))

	// Without stamped versions a switch in between leaves the versions unknown.
	l = labeler.New(caller.State{BootID: "boot", Version: 7, SwitchCount: 1})
	l.Add(caller.Chunk{Tokens: 5})
	_, known = l.Finish(caller.State{BootID: "boot", Version: 8, SwitchCount: 2})
	fmt.Println(known)
	// Output:
	// [{7 0 3} {8 3 5}] true oldest 7
	// false
}
