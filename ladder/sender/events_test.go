package sender_test

import (
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// numbers is a stream of events with the given numbers.
type numbers []identifier.EventNumber

func (n *numbers) Next() (e sender.Event, err error) {
	if len(*n) == 0 {
		return e, io.EOF
	}
	e.Number, *n = (*n)[0], (*n)[1:]
	return e, nil
}

// Guards against events that are missing, repeated or out of order in a stream that counts as
// complete, and against a stream without events that does.
func TestCheckOrder(t *testing.T) {
	for _, c := range []struct {
		after     identifier.EventNumber
		numbering sender.Numbering
		sent      numbers
		// read is how many events are read before err.
		read int
		err  string
	}{
		{0, sender.Consecutive, numbers{1, 2}, 2, "EOF"},
		{0, sender.Consecutive, nil, 0, "stream without events"},
		{3, sender.Consecutive, nil, 0, "EOF"},
		{3, sender.Consecutive, numbers{4, 6}, 1, "received event 6 after event 4"},
		{3, sender.Consecutive, numbers{1}, 0, "received event 1 after event 3"},
		{0, sender.Ascending, numbers{2, 5}, 2, "EOF"},
		{0, sender.Ascending, numbers{2, 2}, 1, "received event 2 after event 2"},
		{0, sender.Ascending, numbers{0}, 0, "received event 0 after event 0"},
	} {
		events, read := sender.CheckOrder(&c.sent, c.after, c.numbering), 0
		_, err := events.Next()
		for ; err == nil; _, err = events.Next() {
			read++
		}
		if diff := cmp.Diff([]any{c.read, c.err}, []any{read, err.Error()}); diff != "" {
			t.Errorf("after %d: %s", c.after, diff)
		}
	}
}
