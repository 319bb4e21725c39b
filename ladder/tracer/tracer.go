// Package tracer finds the story of one request, batch job, item or target in the
// logs of several hosts.
package tracer

import (
	"bufio"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The lines that name an id say what was decided. Why is often told by lines that
// don't: the host had lost the store, or the target had gone. So those of the
// same hosts and targets are told too, from shortly before.

const (
	// contextTime is how long before the first line of a story its context
	// begins: more than the 8 s for which a host keeps its work without the
	// store.
	contextTime = 10 * time.Second
	// lineBytes bounds a line; longer ones are no lines of ours.
	lineBytes = 1 << 20
	// timeLayout is that of a line's head. It has no year and no zone.
	timeLayout = "0102 15:04:05.000000"
)

// Line is one line of a log.
type Line struct {
	Host identifier.EntryName `json:"host"`
	// At is by the host's clock; its year is 0.
	At    time.Time         `json:"at"`
	Event string            `json:"event"`
	Text  string            `json:"text"`
	value map[string]string // by field
	scope explainer.Scope
}

var (
	// head is a line's time and event, after whatever a collector of logs has
	// put before it.
	head = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ [^ \]]+\] ("(?:[^"\\]|\\.)*") ?(.*)$`)
	// field is a name and a quoted or bare value.
	field = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|[^ ]*)`)
	// lastWord is the host's name in what a collector has put before a line.
	lastWord = regexp.MustCompile(`(\S+)\s*$`)
)

// parse returns the line of a host, or of the host that the line names itself.
func parse(host identifier.EntryName, text string) (l Line, ok bool) {
	m := head.FindStringSubmatch(text)
	if m == nil {
		return l, false
	}
	at, err := time.Parse(timeLayout, m[2])
	if err != nil {
		return l, false
	}
	event, err := strconv.Unquote(m[3])
	if err != nil {
		return l, false
	}
	if named := lastWord.FindStringSubmatch(m[1]); named != nil {
		host = identifier.EntryName(named[1])
	}
	l = Line{Host: host, At: at, Event: event, Text: m[4], value: make(map[string]string)}
	for _, f := range field.FindAllStringSubmatch(m[4], -1) {
		l.value[f[1]] = f[2]
		if unquoted, err := strconv.Unquote(f[2]); err == nil {
			l.value[f[1]] = unquoted
		}
	}
	if e, known := explainer.EventByName(event); known {
		l.scope = e.Scope
	}
	return l, true
}

// Tracer reads logs and keeps what may belong to the story of one id.
type Tracer struct {
	id string
	// lines name the id.
	lines []Line
	// context has the lines of hosts and targets, and those of whole jobs.
	context []Line
	clocks  clocks
}

// New returns a Tracer for the id of a request, job, item or target.
func New(id string) *Tracer { return &Tracer{id: id, clocks: make(clocks)} }

// EventLinesDropped is the event of lines that a process had to leave out.
const EventLinesDropped = "log lines dropped"

// readDropped takes the note of lines left out. It has no time, and stands where
// the line before it does.
func (t *Tracer) readDropped(before Line, text string) {
	at := strings.Index(text, EventLinesDropped)
	if at < 0 {
		return
	}
	l := Line{Host: before.Host, At: before.At, Event: EventLinesDropped, Text: strings.TrimSpace(text[at+len(EventLinesDropped):]), scope: explainer.ScopeHost}
	t.context = append(t.context, l)
}

// ClockSkews returns by how much the clocks of hosts are ahead of what most hosts
// say, or behind. Hosts that are within skewTold, or can't be compared, are left
// out.
func (t *Tracer) ClockSkews() map[identifier.EntryName]time.Duration { return t.clocks.skews() }

// ReadLog takes a log in. Lines that name their host come from that one, others from
// host. Lines of other programs are passed over.
func (t *Tracer) ReadLog(host identifier.EntryName, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, lineBytes)
	var before Line
	for scanner.Scan() {
		l, ok := parse(host, scanner.Text())
		if !ok {
			t.readDropped(before, scanner.Text())
			continue
		}
		before = l
		t.clocks.add(l)
		_, ofItem := l.value["item"]
		switch {
		case l.names(t.id):
			t.lines = append(t.lines, l)
		case l.scope == explainer.ScopeHost, l.scope == explainer.ScopeTarget, l.scope == explainer.ScopeJob && !ofItem:
			t.context = append(t.context, l)
		}
	}
	return errors.Wrapf(scanner.Err(), "log of %s", host)
}

func (l *Line) names(id string) bool {
	for _, v := range l.value {
		if v == id {
			return true
		}
	}
	return false
}

// Timeline returns the lines that name the id and their context, in the order of
// time. It is empty if no line names the id.
func (t *Tracer) Timeline() (story []Line) {
	if len(t.lines) == 0 {
		return nil
	}
	hosts, targets, jobs := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	first, last := t.lines[0].At, t.lines[0].At
	for n := range t.lines {
		l := &t.lines[n]
		hosts[string(l.Host)] = true
		targets[l.value["target"]], jobs[l.value["job"]] = true, true
		if l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	story = slices.Clone(t.lines)
	for _, l := range t.context {
		if l.At.Before(first.Add(-contextTime)) || l.At.After(last) || !hosts[string(l.Host)] {
			continue
		}
		if l.scope == explainer.ScopeHost || (l.scope == explainer.ScopeTarget && targets[l.value["target"]]) ||
			(l.scope == explainer.ScopeJob && jobs[l.value["job"]]) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}
