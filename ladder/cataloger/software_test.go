package cataloger

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

func TestIsCurrent_WhileTheStartHasJustBeenSeen(t *testing.T) {
	listed, later := Target{Name: "a", StartID: startID(1)}, Target{Name: "a", StartID: startID(2)}
	for name, c := range map[string]struct {
		target Target
		then   func(c *Cataloger, clock *clockwork.FakeClock)
		want   bool
	}{
		"just read": {listed, func(*Cataloger, *clockwork.FakeClock) {}, true},
		"long ago":  {listed, func(_ *Cataloger, clock *clockwork.FakeClock) { clock.Advance(maxStartAge + 1) }, false},
		"read again": {listed, func(c *Cataloger, clock *clockwork.FakeClock) {
			clock.Advance(maxStartAge + 1)
			c.TargetSink().Apply([]storer.Record{record("a", "ready@1")})
		}, true},
		"named by the target": {listed, func(c *Cataloger, clock *clockwork.FakeClock) { clock.Advance(maxStartAge + 1); c.RecordSeen(listed) }, true},
		"another start named": {listed, func(c *Cataloger, clock *clockwork.FakeClock) { clock.Advance(maxStartAge + 1); c.RecordSeen(later) }, false},
		"another start":       {later, func(*Cataloger, *clockwork.FakeClock) {}, false},
		"gone":                {listed, func(c *Cataloger, _ *clockwork.FakeClock) { c.TargetSink().Apply([]storer.Record{record("a", "")}) }, false},
	} {
		clock := clockwork.NewFakeClockAt(firstMinute)
		catalog := New(clock, startDecoder{})
		catalog.TargetSink().Reset([]storer.Record{record("a", "ready@1")})
		c.then(catalog, clock)
		if got := catalog.IsCurrent(c.target); got != c.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}

func TestRespondingSoftware_OfUnlistedStarts(t *testing.T) {
	catalog := New(clockwork.NewFakeClockAt(firstMinute), startDecoder{})
	catalog.TargetSink().Reset([]storer.Record{record("a", "ready@1")})
	listed, _ := catalog.Target("a")
	var got []identifier.SoftwareVersion
	for _, id := range []int64{0, startID(1), 7, 7, 8} {
		software, err := catalog.RespondingSoftware(listed, id)
		if err != nil {
			t.Error(err)
		}
		got = append(got, software)
	}
	if diff := cmp.Diff([]identifier.SoftwareVersion{"", "", "of unlisted start 7 of a", "of unlisted start 7 of a", "of unlisted start 8 of a"}, got); diff != "" {
		t.Error(diff)
	}
	replaced := listed
	replaced.StartID--
	if _, err := catalog.RespondingSoftware(replaced, 0); !errors.Is(err, ErrReplaced) {
		t.Errorf("a replaced target: %v", err)
	}
}
