package accepter_test

import (
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Two operators publish documents made from the same revision. Every reader of
// the log reaches the same verdicts on its own.
func ExampleState_Apply() {
	var s accepter.State
	for offset, id := range []string{"first", "second"} {
		p, err := accepter.NewProposal(nil, document(0, id))
		if err != nil {
			fmt.Println(err)
			return
		}
		data, err := accepter.EncodeRecord(p)
		if err != nil {
			fmt.Println(err)
			return
		}
		var v accepter.Verdict
		s, v = s.Apply(appender.Record{Offset: identifier.LogOffset(offset), Time: noon, Data: data})
		fmt.Printf("%s: %T\n", id, v)
	}
	fmt.Println("revision", s.Revision)
	// Output:
	// first: accepter.Accepted
	// second: accepter.Conflict
	// revision 1
}
