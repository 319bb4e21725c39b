package queuer_test

import (
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
)

// A queue with two slots at the target and room for one waiting item of each class.
func Example() {
	q := queuer.New(clockwork.NewRealClock(), queuer.StrictPriority{}, 2, 1)
	for _, i := range []queuer.Item{
		{Request: "sample-1", Class: identifier.ClassRollout},
		{Request: "sample-2", Class: identifier.ClassRollout, Urgency: 1},
		{Request: "lookup", Class: identifier.ClassLive},
		{Request: "sample-3", Class: identifier.ClassRollout},
		{Request: "one-too-many", Class: identifier.ClassRollout},
	} {
		if err := q.Put(i); err != nil {
			fmt.Println(i.Request, "refused at once:", err)
		}
	}
	for i, ok := q.TryTake(); ok; i, ok = q.TryTake() {
		fmt.Println("taken:", i.Request)
	}
	running, waiting, slots := q.Counts()
	fmt.Println(running, "of", slots, "slots taken,", waiting, "waiting")
	// Output:
	// one-too-many refused at once: queue full
	// taken: lookup
	// taken: sample-2
	// 2 of 2 slots taken, 2 waiting
}
