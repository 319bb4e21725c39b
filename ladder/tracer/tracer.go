// Package tracer finds the log lines about one request, batch job, item or
// target in the logs of several hosts.
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

// The lines with an id show what was decided. The cause is often in lines
// without it: the host had lost the store, or the target had disappeared.
// Lines of the same hosts and targets from shortly before are therefore
// included.

const (
	// contextDuration is how long before the first line of a timeline its
	// context begins. It exceeds the 8 s for which a host keeps its work
	// without the store.
	contextDuration = 10 * time.Second
	// maxLineBytes limits the length of a line. The programs do not write
	// longer ones.
	maxLineBytes = 1 << 20
	// timeLayout is the format of the time in the header of a line. It has
	// neither a year nor a time zone.
	timeLayout = "0102 15:04:05.000000"
)

// Line is one line of a log.
type Line struct {
	Host identifier.EntryName `json:"host"`
	// At is the time by the clock of the host. Its year is 0.
	At     time.Time `json:"at"`
	Event  string    `json:"event"`
	Text   string    `json:"text"`
	fields map[string]string
	scope  explainer.Scope
}

var (
	// headPattern matches the time and the event of a line, after any prefix
	// added by a log collector.
	headPattern = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ [^ \]]+\] ("(?:[^"\\]|\\.)*") ?(.*)$`)
	// fieldPattern matches a name and a quoted or unquoted value.
	fieldPattern = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|[^ ]*)`)
	// lastWordPattern matches the host name in the prefix added by a log
	// collector.
	lastWordPattern = regexp.MustCompile(`(\S+)\s*$`)
)

// parseLine parses a line of a host. If a log collector has added a host name,
// that name takes precedence.
func parseLine(host identifier.EntryName, text string) (l Line, ok bool) {
	m := headPattern.FindStringSubmatch(text)
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
	if collected := lastWordPattern.FindStringSubmatch(m[1]); collected != nil {
		host = identifier.EntryName(collected[1])
	}
	l = Line{Host: host, At: at, Event: event, Text: m[4], fields: make(map[string]string)}
	for _, f := range fieldPattern.FindAllStringSubmatch(m[4], -1) {
		l.fields[f[1]] = f[2]
		if unquoted, err := strconv.Unquote(f[2]); err == nil {
			l.fields[f[1]] = unquoted
		}
	}
	if e, known := explainer.EventByName(event); known {
		l.scope = e.Scope
	}
	return l, true
}

// Tracer reads logs and keeps the lines that may belong to the timeline of one
// id.
type Tracer struct {
	id string
	// lines contain the id.
	lines []Line
	// context holds lines about hosts, targets and whole jobs that do not
	// contain the id.
	context []Line
	clocks  clockSamples
}

// New returns a Tracer for the id of a request, job, item or target.
func New(id string) *Tracer { return &Tracer{id: id, clocks: make(clockSamples)} }

// EventLinesDropped is the event that reports lines that a process had to
// drop.
const EventLinesDropped = "log lines dropped"

// readDroppedLines records a report of dropped lines. The report has no time
// of its own and gets that of the previous line.
func (t *Tracer) readDroppedLines(previous Line, text string) {
	at := strings.Index(text, EventLinesDropped)
	if at < 0 {
		return
	}
	l := Line{Host: previous.Host, At: previous.At, Event: EventLinesDropped, Text: strings.TrimSpace(text[at+len(EventLinesDropped):]), scope: explainer.ScopeHost}
	t.context = append(t.context, l)
}

// ClockSkews returns how far the clock of each host is ahead of the median of
// all hosts. Hosts whose skew is below minReportedSkew or cannot be determined
// are omitted.
func (t *Tracer) ClockSkews() map[identifier.EntryName]time.Duration { return t.clocks.skews() }

// ReadLog reads a log. Lines without a host name from a log collector are
// attributed to host. Lines of other programs are ignored.
func (t *Tracer) ReadLog(host identifier.EntryName, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	var previous Line
	for scanner.Scan() {
		l, ok := parseLine(host, scanner.Text())
		if !ok {
			t.readDroppedLines(previous, scanner.Text())
			continue
		}
		previous = l
		t.clocks.add(l)
		_, ofItem := l.fields["item"]
		switch {
		case l.hasValue(t.id):
			t.lines = append(t.lines, l)
		case l.scope == explainer.ScopeHost, l.scope == explainer.ScopeTarget, l.scope == explainer.ScopeJob && !ofItem:
			t.context = append(t.context, l)
		}
	}
	return errors.Wrapf(scanner.Err(), "log of %s", host)
}

func (l *Line) hasValue(id string) bool {
	for _, v := range l.fields {
		if v == id {
			return true
		}
	}
	return false
}

// Timeline returns the lines that contain the id and their context, sorted by
// time. It is empty if no line contains the id.
func (t *Tracer) Timeline() (timeline []Line) {
	if len(t.lines) == 0 {
		return nil
	}
	hosts, targets, jobs := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	first, last := t.lines[0].At, t.lines[0].At
	for n := range t.lines {
		l := &t.lines[n]
		hosts[string(l.Host)] = true
		targets[l.fields["target"]], jobs[l.fields["job"]] = true, true
		if l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	timeline = slices.Clone(t.lines)
	for _, l := range t.context {
		if l.At.Before(first.Add(-contextDuration)) || l.At.After(last) || !hosts[string(l.Host)] {
			continue
		}
		if l.scope == explainer.ScopeHost || (l.scope == explainer.ScopeTarget && targets[l.fields["target"]]) ||
			(l.scope == explainer.ScopeJob && jobs[l.fields["job"]]) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline
}
