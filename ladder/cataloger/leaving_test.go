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

// startDecoder decodes a target's state and the minute of its start, such as ready@2.
type startDecoder struct{ plainDecoder }

// firstMinute is when the clocks of these tests start.
var firstMinute = time.Unix(1_700_000_000, 0)

// startID returns the id of a start in a minute, the clock's first being 1.
func startID(minute int64) int64 {
	return firstMinute.Add(time.Duration(minute-1) * time.Minute).UnixMilli()
}

func (startDecoder) Target(key string, value []byte) (Target, error) {
	state, start, _ := strings.Cut(string(value), "@")
	minute, err := strconv.ParseInt(start, 10, 64)
	return Target{Name: identifier.TargetName(key), StartID: startID(minute), Service: "s", State: TargetState(state)}, err
}

const testGrace = time.Second

// Guards against a leaving target that is used again because its entry reads as ready.
func TestReadyTargets_WithoutThoseThatSaidThatTheyLeave(t *testing.T) {
	said := Incarnation{Name: "a", StartID: startID(1)}
	for name, c := range map[string]struct {
		change func(c *Cataloger)
		want   []identifier.TargetName
	}{
		"entry unchanged":     {func(*Cataloger) {}, []identifier.TargetName{"b"}},
		"entry written again": {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", "ready@1")}) }, []identifier.TargetName{"b"}},
		"all entries read again": {func(c *Cataloger) {
			c.TargetSink().Reset([]storer.Record{record("a", "ready@1"), record("b", "ready@1")})
		}, []identifier.TargetName{"b"}},
		"entry gone and back":        {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", ""), record("a", "ready@1")}) }, []identifier.TargetName{"b"}},
		"said again":                 {func(c *Cataloger) { c.RecordLeaving(said, c.clock.Now()) }, []identifier.TargetName{"b"}},
		"restarted under its name":   {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", "ready@2")}) }, []identifier.TargetName{"a", "b"}},
		"another target":             {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("c", "ready@1")}) }, []identifier.TargetName{"b", "c"}},
		"another target leaves, too": {func(c *Cataloger) { c.RecordLeaving(Incarnation{Name: "b", StartID: startID(1)}, c.clock.Now()) }, nil},
		"a start before left": {func(c *Cataloger) {
			c.RecordLeaving(Incarnation{Name: "b", StartID: startID(0)}, c.clock.Now().Add(-2*time.Hour))
		}, []identifier.TargetName{"b"}},
		"a later start, too": {func(c *Cataloger) {
			c.TargetSink().Apply([]storer.Record{record("b", "ready@0")})
			c.RecordLeaving(Incarnation{Name: "b", StartID: startID(-1)}, c.clock.Now())
		}, nil},
		"restarted and leaving again": {func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", "leaving@2")}) }, []identifier.TargetName{"b"}},
	} {
		for _, pause := range []time.Duration{0, time.Hour} {
			clock := clockwork.NewFakeClockAt(firstMinute)
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
	clock := clockwork.NewFakeClockAt(firstMinute)
	catalog := New(clock, startDecoder{}, WithLeaveGrace(testGrace))
	catalog.TargetSink().Reset([]storer.Record{record("a", "ready@1"), record("b", "leaving@1"), record("c", "ready@2"), record("d", "ready@1")})
	for _, name := range []identifier.TargetName{"a", "b", "c", "gone"} {
		catalog.RecordLeaving(Incarnation{Name: name, StartID: startID(1)}, clock.Now())
	}
	a := Incarnation{Name: "a", StartID: startID(1)}
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
	if !catalog.MayReceive(Incarnation{Name: "d", StartID: startID(1)}) {
		t.Error("a target that stays may not receive")
	}
}

func TestRecordLeaving_ForgetsOnlyTargetsThatAreLongGone(t *testing.T) {
	clock := clockwork.NewFakeClockAt(firstMinute)
	catalog := New(clock, startDecoder{})
	catalog.TargetSink().Reset([]storer.Record{record("listed", "ready@1")})
	listed, gone := Incarnation{Name: "listed", StartID: startID(1)}, Incarnation{Name: "gone", StartID: startID(1)}
	catalog.RecordLeaving(listed, clock.Now())
	catalog.RecordLeaving(gone, clock.Now())
	clock.Advance(leavingRetention + time.Second)
	catalog.RecordLeaving(Incarnation{Name: "new", StartID: startID(1)}, clock.Now())
	if diff := cmp.Diff([]bool{false, true}, []bool{catalog.MayReceive(listed), catalog.MayReceive(gone)}); diff != "" {
		t.Error(diff)
	}
	if got := catalog.Departures(time.Minute); len(got) != 1 {
		t.Errorf("departures of the last minute: %v", got)
	}
}

// Guards against a target that leaves being used because it had said so before its entry was read.
func TestUnconfirmedTargets_UntilTheyHaveAnswered(t *testing.T) {
	before, after := Incarnation{Name: "a", StartID: startID(1)}, Incarnation{Name: "a", StartID: startID(2)}
	for name, c := range map[string]struct {
		// saidAt is when it is heard that the target leaves, under its start before.
		saidAt time.Duration
		then   func(c *Cataloger)
		// ready and unconfirmed report in which lists the target is in the end.
		ready, unconfirmed bool
	}{
		"said before its start":      {50 * time.Second, func(*Cataloger) {}, true, false},
		"said about when it started": {57 * time.Second, func(*Cataloger) {}, false, true},
		"said after its start":       {90 * time.Second, func(*Cataloger) {}, false, true},
		"answers that it stays":      {90 * time.Second, func(c *Cataloger) { c.ConfirmStays(after, c.clock.Now()) }, true, false},
		"answers that it leaves":     {90 * time.Second, func(c *Cataloger) { c.RecordLeaving(after, c.clock.Now()); c.ConfirmStays(after, c.clock.Now()) }, false, false},
		"had answered before":        {90 * time.Second, func(c *Cataloger) { c.ConfirmStays(after, c.clock.Now().Add(-time.Hour)) }, false, true},
		"answers, but another host hears": {90 * time.Second, func(c *Cataloger) {
			c.ConfirmStays(after, c.clock.Now())
			c.RecordLeaving(before, c.clock.Now().Add(time.Second))
		}, false, true},
		"answers, another host heard then": {90 * time.Second, func(c *Cataloger) {
			c.ConfirmStays(after, c.clock.Now())
			c.RecordLeaving(before, c.clock.Now().Add(-time.Second))
		}, true, false},
		"its start before answers": {90 * time.Second, func(c *Cataloger) { c.ConfirmStays(before, c.clock.Now()) }, false, true},
		"gone":                     {90 * time.Second, func(c *Cataloger) { c.TargetSink().Apply([]storer.Record{record("a", "")}) }, false, false},
	} {
		clock := clockwork.NewFakeClockAt(firstMinute)
		start := clock.Now()
		catalog := New(clock, startDecoder{}, WithLeaveGrace(testGrace))
		catalog.TargetSink().Reset([]storer.Record{record("a", "ready@1")})
		clock.Advance(2 * time.Minute)
		catalog.RecordLeaving(before, start.Add(c.saidAt))
		catalog.TargetSink().Apply([]storer.Record{record("a", "ready@2")})
		changed := catalog.Changed()
		c.then(catalog)
		got := []bool{len(namesOf(catalog)) == 1, len(catalog.UnconfirmedTargets()) == 1}
		if diff := cmp.Diff([]bool{c.ready, c.unconfirmed}, got); diff != "" {
			t.Errorf("%s: ready, unconfirmed: %s", name, diff)
		}
		if list := catalog.LeavingTargets("s"); c.unconfirmed && len(list) > 0 {
			t.Errorf("%s: used as the last target: %v", name, list)
		}
		if may := catalog.MayReceive(after); name == "answers that it leaves" && may {
			t.Errorf("%s: may receive requests long after it said so under its start before", name)
		}
		if name == "answers that it stays" {
			select {
			case <-changed:
			default:
				t.Errorf("%s: nobody is told of the change", name)
			}
		}
	}
}
