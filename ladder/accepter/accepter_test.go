package accepter

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

func TestApply_IgnoresResubmittedDocument(t *testing.T) {
	first := newDocument("first", 0, 2, 1, 2)
	other := newDocument("first", 1, 3, 1, 2)
	next := newDocument("next", 1, 4, 1, 2)
	records := [][]byte{
		mustEncodeProposal(t, nil, first), mustEncodeProposal(t, nil, first), mustEncodeProposal(t, &first, next),
		mustEncodeProposal(t, nil, first), mustEncodeProposal(t, &next, other), mustEncodeProposal(t, &first, newDocument("late", 1, 1, 1, 1)),
	}
	want := []Verdict{
		Accepted{Revision: 1},
		Ignored{Reason: "accepted before as revision 1"},
		Accepted{Revision: 2},
		Ignored{Reason: "accepted before as revision 1"},
		Invalid{Faults: validator.Faults{{Path: "document-id", Value: "first", Allowed: "an id that no other document had"}}},
		Conflict{Base: 1, Current: 2},
	}
	var s State
	var got []Verdict
	for _, data := range records {
		var v Verdict
		s, v = s.Apply(appender.Record{Offset: s.NextOffset, Time: epoch, Data: data})
		got = append(got, v)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// BenchmarkApply applies a change of one limit of one team in a large
// document. It reports the sizes of the change record, of the whole document
// and of a checkpoint.
func BenchmarkApply(b *testing.B) {
	base := newDocument("base", 0, 300, 100, 2000)
	s, v := State{}.Apply(appender.Record{Time: epoch, Data: mustEncodeProposal(b, nil, base)})
	if diff := cmp.Diff(Verdict(Accepted{Revision: 1}), v); diff != "" {
		b.Fatal(diff)
	}
	changed := newDocument("change", 1, 300, 100, 2000)
	changed.Teams[150].Burst = 99
	data := mustEncodeProposal(b, &base, changed)
	uncompressed, _ := validator.Encode(changed)
	checkpoint, _ := s.Checkpoint()
	b.ReportAllocs()
	for b.Loop() {
		if _, v := s.Apply(appender.Record{Offset: 1, Time: epoch, Data: data}); v != (Accepted{Revision: 2}) {
			b.Fatal(v)
		}
	}
	b.ReportMetric(float64(len(data)), "bytes/change")
	b.ReportMetric(float64(len(uncompressed)), "bytes/document")
	b.ReportMetric(float64(len(mustEncode(b, checkpoint))), "bytes/carry-forward")
}
