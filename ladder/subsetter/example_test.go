package subsetter_test

import (
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// A sidecar links to a few of many entries: all but one in its own zone.
func Example() {
	entries := []subsetter.Entry{
		{Address: "10.0.1.1:9000", Zone: "bkk-a"},
		{Address: "10.0.1.2:9000", Zone: "bkk-a"},
		{Address: "10.0.2.1:9000", Zone: "bkk-b"},
		{Address: "10.0.3.1:9000", Zone: "bkk-c"},
	}
	own := 0
	picked := subsetter.Pick("engine-7", "bkk-a", entries, 3)
	for _, e := range picked {
		if e.Zone == "bkk-a" {
			own++
		}
	}
	fmt.Println(len(picked), "links,", own, "in its own zone")
	// Output: 3 links, 2 in its own zone
}
