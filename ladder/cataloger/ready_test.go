package cataloger

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Guards against a stale cache: ReadyTargets caches its list between changes, and every
// kind of change must invalidate it.
func TestReadyTargets_ShowsEveryChange(t *testing.T) {
	c := New(clockwork.NewFakeClock(), plainDecoder{})
	sink := c.TargetSink()
	sink.Apply([]storer.Record{record("b", "ready"), record("a", "ready")})
	steps := []struct {
		change func()
		want   []identifier.TargetName
	}{
		{func() {}, []identifier.TargetName{"a", "b"}},
		{func() { sink.Apply([]storer.Record{record("c", "ready")}) }, []identifier.TargetName{"a", "b", "c"}},
		{func() { sink.Apply([]storer.Record{record("a", "draining")}) }, []identifier.TargetName{"b", "c"}},
		{func() { sink.Apply([]storer.Record{record("b", "")}) }, []identifier.TargetName{"c"}},
		{func() { sink.Reset([]storer.Record{record("d", "ready")}) }, []identifier.TargetName{"d"}},
	}
	for n, s := range steps {
		s.change()
		if diff := cmp.Diff(s.want, namesOf(c)); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", n, diff)
		}
	}
	c.RecordWeights("d", "m", 7)
	if v := c.ReadyTargets("s")[0].Weights["m"]; v != 7 {
		t.Errorf("the list has version %d, want 7", v)
	}
}

// BenchmarkReadyTargets measures the lookup that placing an item performs.
func BenchmarkReadyTargets(b *testing.B) {
	for _, count := range []int{43, 3001} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := New(clockwork.NewRealClock(), plainDecoder{})
			var records []storer.Record
			for n := range count {
				records = append(records, record(fmt.Sprintf("i-%04x", n*7919%65521), "ready"))
			}
			c.TargetSink().Reset(records)
			for b.Loop() {
				if len(c.ReadyTargets("s")) != count {
					b.Fatal("targets are missing")
				}
			}
		})
	}
}
