package cataloger

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// plainDecoder decodes a configuration's version, a model's version or a target's
// state.
type plainDecoder struct{}

func (plainDecoder) Published(key string, value []byte) (PublishedRecord, error) {
	n, err := strconv.Atoi(string(value))
	if err != nil {
		return nil, err
	}
	if key == "config" {
		return &Configuration{Version: ConfigurationVersion(n)}, nil
	}
	return DesiredVersion{Model: identifier.ModelName(key), Version: identifier.WeightVersion(n)}, nil
}

func (plainDecoder) Target(key string, value []byte) (Target, error) {
	if string(value) == "?" {
		return Target{}, errors.New("unreadable")
	}
	return Target{Name: identifier.TargetName(key), Service: "s", State: TargetState(value)}, nil
}

func record(key, value string) storer.Record { return storer.Record{Key: key, Value: []byte(value)} }

func namesOf(c *Cataloger) (names []identifier.TargetName) {
	for _, t := range c.ReadyTargets("s") {
		names = append(names, t.Name)
	}
	return names
}

func TestConfiguration_VersionNeverDecreases(t *testing.T) {
	c := New(clockwork.NewFakeClock(), plainDecoder{})
	sink := c.PublishedSink()
	sink.Apply([]storer.Record{record("config", "7"), record("m", "3")})
	sink.Reset([]storer.Record{record("config", "5"), record("m", "2"), record("config", "no number")})
	sink.Apply([]storer.Record{record("config", "6")})
	if v := c.Configuration().Version; v != 7 {
		t.Errorf("version %d", v)
	}
	if diff := cmp.Diff(map[identifier.ModelName]identifier.WeightVersion{"m": 3}, c.Named()); diff != "" {
		t.Error(diff)
	}
}

func TestReadyTargets_UnreadableEntryIsLeftOutAndAffectsNoOther(t *testing.T) {
	c := New(clockwork.NewFakeClock(), plainDecoder{})
	c.TargetSink().Reset([]storer.Record{record("a", "ready"), record("b", "?"), record("c", "leaving"), record("d", "ready")})
	if diff := cmp.Diff([]identifier.TargetName{"a", "d"}, namesOf(c)); diff != "" {
		t.Error(diff)
	}
	c.TargetSink().Apply([]storer.Record{record("a", "?")})
	if diff := cmp.Diff([]identifier.TargetName{"d"}, namesOf(c)); diff != "" {
		t.Error(diff)
	}
}

func TestReadyTargets_EntryLapsedDuringOutageIsKeptForTheGracePeriod(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock, plainDecoder{})
	sink := c.TargetSink()
	sink.Reset([]storer.Record{record("a", "ready"), record("b", "ready")})
	c.StoreFailed()
	sink.Reset(nil)
	if diff := cmp.Diff([]identifier.TargetName{"a", "b"}, namesOf(c)); diff != "" {
		t.Error(diff)
	}
	sink.Apply([]storer.Record{record("a", "ready")})
	clock.Advance(lapseGrace + time.Millisecond)
	if diff := cmp.Diff([]identifier.TargetName{"a"}, namesOf(c)); diff != "" {
		t.Error(diff)
	}
	sink.Apply([]storer.Record{record("a", "")})
	if diff := cmp.Diff([]identifier.TargetName(nil), namesOf(c)); diff != "" {
		t.Error("entry removed without an outage is still listed: " + diff)
	}
}

func TestMatchRoute_LongestPrefixOfTheHost(t *testing.T) {
	c := &Configuration{Routes: []Route{
		{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"}, {Name: "other", Host: "o", PathPrefix: "/a/b/c/"},
	}}
	for path, want := range map[string]identifier.RouteName{"/a/x": "short", "/a/b/c/d": "long", "/a": "", "/a/bc/": "short"} {
		r, ok := c.MatchRoute("h", path)
		if r.Name != want || ok != (want != "") {
			t.Errorf("%s: %q, %t", path, r.Name, ok)
		}
	}
}

// panickingDecoder panics on some records.
type panickingDecoder struct{}

func (panickingDecoder) Published(key string, value []byte) (PublishedRecord, error) {
	if string(value) == "!" {
		panic("unexpected record")
	}
	return plainDecoder{}.Published(key, value)
}

func (panickingDecoder) Target(key string, value []byte) (Target, error) {
	if string(value) == "!" {
		panic("unexpected entry")
	}
	return plainDecoder{}.Target(key, value)
}

func TestSinks_PanicOnOneRecordAffectsNoOther(t *testing.T) {
	c := New(clockwork.NewFakeClock(), panickingDecoder{})
	c.PublishedSink().Reset([]storer.Record{record("config", "1"), record("config", "!"), record("config", "2")})
	if v := c.Configuration().Version; v != 2 {
		t.Errorf("version %d", v)
	}
	for _, apply := range []func([]storer.Record){c.TargetSink().Reset, c.TargetSink().Apply} {
		apply([]storer.Record{record("a", "ready"), record("b", "!"), record("c", "ready")})
		if diff := cmp.Diff([]identifier.TargetName{"a", "c"}, namesOf(c)); diff != "" {
			t.Error(diff)
		}
	}
}
