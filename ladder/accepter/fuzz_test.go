package accepter

import (
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
)

// FuzzDecodeRecord: whatever stands in the log, a reader goes on, and only an
// accepted document changes what is in force.
func FuzzDecodeRecord(f *testing.F) {
	first := newDocument("first", 0, 2, 1, 2)
	before, _ := State{}.Apply(appender.Record{Time: epoch, Data: proposal(f, nil, first)})
	c, err := before.Checkpoint()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(proposal(f, &first, newDocument("second", 1, 3, 1, 2)))
	f.Add(encoded(f, c))
	f.Fuzz(func(t *testing.T, data []byte) {
		record := appender.Record{Offset: before.NextOffset, Time: epoch, Data: data}
		after, v := before.Apply(record)
		_, accepted := v.(Accepted)
		if accepted != (after.Revision == before.Revision+1) || (!accepted && after.Document != before.Document) {
			t.Errorf("verdict %#v, revision %d", v, after.Revision)
		}
		if s, ok := DecodeCheckpoint(record); ok && (s.Document == nil || s.NextOffset > record.Offset) {
			t.Errorf("carried: %+v", s)
		}
	})
}
