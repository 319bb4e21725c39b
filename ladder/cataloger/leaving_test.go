package cataloger

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// startDecoder decodes a target's state and start id, such as ready@2.
type startDecoder struct{ plainDecoder }

func (startDecoder) Target(key string, value []byte) (Target, error) {
	state, start, _ := strings.Cut(string(value), "@")
	id, err := strconv.ParseInt(start, 10, 64)
	return Target{Name: identifier.TargetName(key), StartID: id, Service: "s", State: TargetState(state)}, err
}

const testGrace = time.Second

// Guards against a leaving target that is used again because its entry reads as ready.
func TestReadyTargets_WithoutThoseThatSaidThatTheyLeave(t *testing.T) {
	said := Incarnation{Name: "a", StartID: 1}
	for name, c := range map[string]struct {
		change func(c *Cataloger)
		want   []identifier.TargetName
	}{
		"entry unchanged":     {func(*Cataloger) {}, []identifier.TargetName{"b"}},
		"entry written again": {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", "ready@1")}) }, []identifier.TargetName{"b"}},
		"all entries read again": {func(c *Cataloger) {
			c.TargetSink().Reset([]storer.Record{record("a", "ready@1"), record("b", "ready@1")})
		}, []identifier.TargetName{"b"}},
		"entry gone and back":         {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", ""), record("a", "ready@1")}) }, []identifier.TargetName{"b"}},
		"said again":                  {func(c *Cataloger) { c.RecordLeaving(said, c.clock.Now()) }, []identifier.TargetName{"b"}},
		"restarted under its name":    {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", "ready@2")}) }, []identifier.TargetName{"a", "b"}},
		"another target":              {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("c", "ready@1")}) }, []identifier.TargetName{"b", "c"}},
		"another target leaves, too":  {func(c *Cataloger) { c.RecordLeaving(Incarnation{Name: "b", StartID: 1}, c.clock.Now()) }, nil},
		"a start before leaves":       {func(c *Cataloger) { c.RecordLeaving(Incarnation{Name: "b"}, c.clock.Now()) }, []identifier.TargetName{"b"}},
		"restarted and leaving again": {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", "leaving@2")}) }, []identifier.TargetName{"b"}},
	} {
		for _, pause := range []time.Duration{0, time.Hour} {
			clock := clockwork.NewFakeClock()
			catalog := New(clock, startDecoder{})
			catalog.TargetSink().Reset([]storer.Record{record("a", "ready@1"), record("b", "ready@1")})
			changed := catalog.Changed()
			if !catalog.RecordLeaving(said, clock.Now()) {
				t.Errorf("%s: no news", name)
			}
			select {
			case <-changed:
			default:
				t.Errorf("%s: nobody is told of the change", name)
			}
			clock.Advance(pause)
			c.change(catalog)
			if diff := cmp.Diff(c.want, namesOf(catalog)); diff != "" {
				t.Errorf("%s, after %s: %s", name, pause, diff)
			}
		}
	}
}

func TestLeavingTargets_OnlyForTheGrace(t *testing.T) {
	clock := clockwork.NewFakeClock()
	catalog := New(clock, startDecoder{}, WithLeaveGrace(testGrace))
	catalog.TargetSink().Reset([]storer.Record{record("a", "ready@1"), record("b", "leaving@1"), record("c", "ready@2"), record("d", "ready@1")})
	for _, name := range []identifier.TargetName{"a", "b", "c", "gone"} {
		catalog.RecordLeaving(Incarnation{Name: name, StartID: 1}, clock.Now())
	}
	a := Incarnation{Name: "a", StartID: 1}
	for _, c := range []struct {
		after time.Duration
		want  []identifier.TargetName
	}{{0, []identifier.TargetName{"a"}}, {testGrace - 1, []identifier.TargetName{"a"}}, {1, nil}} {
		clock.Advance(c.after)
		var names []identifier.TargetName
		for _, target := range catalog.LeavingTargets("s") {
			names = append(names, target.Name)
		}
		if diff := cmp.Diff(c.want, names); diff != "" {
			t.Error(diff)
		}
		if may := catalog.MayReceive(a); may != (c.want != nil) {
			t.Errorf("may receive: %t", may)
		}
	}
	if !catalog.MayReceive(Incarnation{Name: "d", StartID: 1}) {
		t.Error("a target that stays may not receive")
	}
}

func TestRecordLeaving_ForgetsOnlyTargetsThatAreLongGone(t *testing.T) {
	clock := clockwork.NewFakeClock()
	catalog := New(clock, startDecoder{})
	catalog.TargetSink().Reset([]storer.Record{record("listed", "ready@1")})
	listed, gone := Incarnation{Name: "listed", StartID: 1}, Incarnation{Name: "gone", StartID: 1}
	catalog.RecordLeaving(listed, clock.Now())
	catalog.RecordLeaving(gone, clock.Now())
	clock.Advance(leavingRetention + time.Second)
	catalog.RecordLeaving(Incarnation{Name: "new", StartID: 1}, clock.Now())
	if diff := cmp.Diff([]bool{false, true}, []bool{catalog.MayReceive(listed), catalog.MayReceive(gone)}); diff != "" {
		t.Error(diff)
	}
	if got := catalog.Departures(time.Minute); len(got) != 1 {
		t.Errorf("departures of the last minute: %v", got)
	}
}
