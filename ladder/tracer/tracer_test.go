package tracer

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

const logOfA = `I0311 09:21:00.000000       7 runner.go:1] "started" program="platform" version="1" host="a" zone="z" incarnation="x"
I0311 09:21:30.000000       7 tracker.go:92] "store lost" partition="jobs/0" offset=2 err="log \"x\" unavailable"
I0311 09:21:31.000000       7 cataloger.go:1] "target gone" target="t2" offset=3
I0311 09:21:31.500000       7 cataloger.go:1] "target gone" target="t1" offset=3
some other program's line
I0311 09:21:32.000000       7 place.go:64] "item placed" job="j" item="i1" target="t1" after=0 waited="1s" candidates=3 in-flight=1 slowness=1
I0311 09:21:32.100000       7 place.go:64] "item placed" job="j" item="i2" target="t3" after=0 waited="1s" candidates=3 in-flight=1 slowness=1
I0311 09:21:33.000000       7 draft.go:64] "items handed over" job="j" count=2 left=0 took="2ms"
I0311 09:21:39.000000       7 runner.go:64] "stopped" program="platform"
`

// The prefix added by the log collector contains the host name.
const logOfOthers = `  32.5 b I0311 09:21:32.500000       7 place.go:64] "item placed" job="j" item="i1" target="t3" after=4 waited="1s" candidates=3 in-flight=1 slowness=1
  32.6 c I0311 09:21:32.600000       7 tracker.go:92] "store lost" partition="jobs/1" offset=2 err="log unavailable"
`

func timelineOf(t *testing.T, id string) (events []string) {
	t.Helper()
	r := New(id)
	if err := r.ReadLog("a", strings.NewReader(logOfA)); err != nil {
		t.Fatal(err)
	}
	if err := r.ReadLog("others", strings.NewReader(logOfOthers)); err != nil {
		t.Fatal(err)
	}
	for _, l := range r.Timeline() {
		events = append(events, string(l.Host)+": "+l.Event)
	}
	return events
}

func TestTimeline_LinesWithIDAndContext(t *testing.T) {
	for id, want := range map[string][]string{
		"i1": {"a: store lost", "a: target gone", "a: item placed", "b: item placed"},
		"j": {
			"a: store lost", "a: target gone", "a: item placed", "a: item placed", "b: item placed", "a: items handed over",
		},
		"t2":      {"a: store lost", "a: target gone"},
		"unknown": nil,
	} {
		if diff := cmp.Diff(want, timelineOf(t, id)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", id, diff)
		}
	}
}

func TestParseLine_UnquotesValues(t *testing.T) {
	l, ok := parseLine("a", strings.Split(logOfA, "\n")[1])
	if !ok {
		t.Fatal("not parsed")
	}
	want := map[string]string{"partition": "jobs/0", "offset": "2", "err": `log "x" unavailable`}
	if diff := cmp.Diff(want, l.fields); diff != "" {
		t.Error(diff)
	}
	if _, ok := parseLine("a", "not a line of these programs"); ok {
		t.Error("a line of another program was parsed")
	}
}

func TestClockSkews_OneHostAhead(t *testing.T) {
	r := New("x")
	for host, seconds := range map[identifier.EntryName]string{"a": "30.000", "b": "30.020", "c": "32.510"} {
		log := "I0311 09:21:" + seconds + "000       7 cataloger.go:1] \"target gone\" target=\"t1\" offset=3\n"
		if err := r.ReadLog(host, strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(map[identifier.EntryName]time.Duration{"c": 2490 * time.Millisecond}, r.ClockSkews()); diff != "" {
		t.Error(diff)
	}
}

func TestTimeline_IncludesDroppedLines(t *testing.T) {
	r := New("i1")
	log := strings.Replace(logOfA, "some other program's line", "log lines dropped count=7", 1)
	if err := r.ReadLog("a", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, l := range r.Timeline() {
		events = append(events, l.Event+" "+l.fields["item"])
	}
	want := []string{"store lost ", "target gone ", "log lines dropped ", "item placed i1"}
	if diff := cmp.Diff(want, events); diff != "" {
		t.Error(diff)
	}
}
