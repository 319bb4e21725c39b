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

// trace reads log files rather than asking processes, which may no longer exist.
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
	found := timeline{Lines: r.Timeline(), Clocks: r.ClockSkews()}
	if len(found.Lines) == 0 {
		return exitRefused, errors.Errorf("no line names %s", t.ID)
	}
	return starter.ExitOK, t.print(s, found, func(w io.Writer) { found.write(w) })
}

// readLog reads one log file. Its name without the extension is the host's name.
func readLog(r *tracer.Tracer, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	base := filepath.Base(name)
	return r.ReadLog(identifier.EntryName(strings.TrimSuffix(base, filepath.Ext(base))), f)
}

// timeLayout has no date, since the events of one id lie within minutes.
const timeLayout = "15:04:05.000"

// timeline is the output of trace.
type timeline struct {
	Lines []tracer.Line `json:"lines"`
	// Clocks holds how far each host's clock is ahead, in nanoseconds in JSON.
	Clocks map[identifier.EntryName]time.Duration `json:"clocks,omitempty"`
}

// write writes the lines and then the meaning of each event, once.
func (t timeline) write(w io.Writer) {
	for _, host := range slices.Sorted(maps.Keys(t.Clocks)) {
		fmt.Fprintf(w, "The clock of %s differs by %s.\n", host, t.Clocks[host].Round(time.Millisecond))
	}
	fmt.Fprintln(w, "TIME\tHOST\tEVENT\tFIELDS")
	explained := make(map[string]bool)
	var meanings strings.Builder
	for _, l := range t.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.At.Format(timeLayout), l.Host, l.Event, l.Text)
		e, known := explainer.EventByName(l.Event)
		if !known || explained[l.Event] {
			continue
		}
		explained[l.Event] = true
		fmt.Fprintf(&meanings, "%s\t%s\t%s\n", e.Name, e.Meaning, e.Action)
	}
	fmt.Fprintf(w, "\nEVENT\tMEANING\tWHAT TO DO\n%s", meanings.String())
}
