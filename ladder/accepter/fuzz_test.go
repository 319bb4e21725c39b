package accepter

import (
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
)

// FuzzDecodeRecord checks that arbitrary bytes in the log neither stop a
// reader nor change the configuration in force, unless they are an accepted
// document.
func FuzzDecodeRecord(f *testing.F) {
	first := newDocument("first", 0, 2, 1, 2)
	before, _ := State{}.Apply(appender.Record{Time: epoch, Data: mustEncodeProposal(f, nil, first)})
	checkpoint, err := before.Checkpoint()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(mustEncodeProposal(f, &first, newDocument("second", 1, 3, 1, 2)))
	f.Add(mustEncode(f, checkpoint))
	f.Fuzz(func(t *testing.T, data []byte) {
		record := appender.Record{Offset: before.NextOffset, Time: epoch, Data: data}
		after, v := before.Apply(record)
		_, accepted := v.(Accepted)
		if accepted != (after.Revision == before.Revision+1) || (!accepted && after.Document != before.Document) {
			t.Errorf("verdict %#v, revision %d", v, after.Revision)
		}
		if s, ok := DecodeCheckpoint(record); ok && (s.Document == nil || s.NextOffset > record.Offset) {
			t.Errorf("state in the checkpoint: %+v", s)
		}
	})
}
