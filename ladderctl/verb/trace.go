package verb

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/tracer"
)

// trace reads logs that hosts have left, since the processes may be gone.
type trace struct {
	output
	ID   string   `arg:"" help:"The id of a request, batch job, item or target."`
	Logs []string `arg:"" help:"Files with logs, one of each host: HOST.log. Where a collector has put the host's name before each line, one file may have several hosts."`
}

// Help implements verb.
func (*trace) Help() string {
	return "Shows the lines that name the id, and what the same hosts believed and lost from 10 s before.\n\n" +
		"Example:\n  ladderctl trace e049f8bc446c5e37 edge-a.log edge-b.log"
}

func (t *trace) run(s streams) (code int, err error) {
	r := tracer.New(t.ID)
	for _, name := range t.Logs {
		if err := readLog(r, name); err != nil {
			return starter.ExitFailure, err
		}
	}
	told := story{Lines: r.Timeline(), Clocks: r.ClockSkews()}
	if len(told.Lines) == 0 {
		return exitRefused, errors.Errorf("no line names %s", t.ID)
	}
	return starter.ExitOK, t.print(s, told, func(w io.Writer) { told.write(w) })
}

func readLog(r *tracer.Tracer, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	base := filepath.Base(name)
	return r.ReadLog(identifier.EntryName(strings.TrimSuffix(base, filepath.Ext(base))), f)
}

// shownTime has no date: a story is over in minutes.
const shownTime = "15:04:05.000"

// story is what the verb tells.
type story struct {
	Lines []tracer.Line `json:"lines"`
	// Clocks are by how much a host's clock is ahead, in nanoseconds.
	Clocks map[identifier.EntryName]time.Duration `json:"clocks,omitempty"`
}

// write writes the lines, then what their events mean.
func (s story) write(w io.Writer) {
	for _, host := range slices.Sorted(maps.Keys(s.Clocks)) {
		fmt.Fprintf(w, "The clock of %s differs by %s.\n", host, s.Clocks[host].Round(time.Millisecond))
	}
	fmt.Fprintln(w, "TIME\tHOST\tEVENT\tFIELDS")
	told := make(map[string]bool)
	var meanings strings.Builder
	for _, l := range s.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.At.Format(shownTime), l.Host, l.Event, l.Text)
		e, known := explainer.EventByName(l.Event)
		if !known || told[l.Event] {
			continue
		}
		told[l.Event] = true
		fmt.Fprintf(&meanings, "%s\t%s\t%s\n", e.Name, e.Meaning, e.Action)
	}
	fmt.Fprintf(w, "\nEVENT\tMEANING\tWHAT TO DO\n%s", meanings.String())
}
