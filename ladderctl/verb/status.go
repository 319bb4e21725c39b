package verb

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// status shows the state of entries and targets after the range of revisions in
// force.
type status struct {
	output
	Operator []starter.Address `help:"An entry's operator listener, IP:port. May be given often." required:""`
	Key      string            `help:"The operator's key." required:""`
}

// Help implements verb.
func (*status) Help() string {
	return "Examples:\n  ladderctl status --operator 127.0.0.1:7003 --operator 127.0.0.1:7013\n" +
		"  ladderctl status --operator 127.0.0.1:7003 --output json"
}

func (v *status) run(s streams) (int, error) {
	var all []coordinator.Status
	for _, address := range v.Operator {
		var entry coordinator.Status
		if code, err := (remote{address, v.Key}).get("/v1/status", &entry); err != nil {
			return code, err
		}
		slices.SortFunc(entry.Targets, func(a, b dispatcher.TargetStatus) int { return strings.Compare(string(a.Target), string(b.Target)) })
		all = append(all, entry)
	}
	return starter.ExitOK, v.print(s, all, func(w io.Writer) { writeStatus(w, all) })
}

func writeStatus(w io.Writer, all []coordinator.Status) {
	lowest, highest := revisionRange(all)
	fmt.Fprintf(w, "revision in force: lowest %d, highest %d\n\n", lowest, highest)
	fmt.Fprintln(w, "ENTRY\tZONE\tREVISION\tTARGET\tSERVICE\tZONE\tLINKED\tREVISION\tVERSION\tLOAD")
	for _, e := range all {
		for _, t := range e.Targets {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%t\t%d\t%d\t%d/%d\n", e.Entry, e.Zone, e.Revision,
				t.Target, t.Service, t.Zone, t.Linked, t.Revision, t.Load.Version, t.Load.InFlight, t.Load.Slots)
		}
	}
	fmt.Fprintln(w, "\nENTRY\tTEAM\tCLASS\tMEASURE\tCOUNT\tMEDIAN ms\tP99 ms\tMOST ms")
	for _, e := range all {
		for _, h := range e.Histograms {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\n", e.Entry, h.Team, h.Class, h.Measure, h.Count, h.Median, h.P99, h.Most)
		}
	}
}

// revisionRange returns the lowest and highest revision in force at the entries and
// targets.
func revisionRange(all []coordinator.Status) (lowest, highest identifier.Revision) {
	first := true
	include := func(r identifier.Revision) {
		if first || r < lowest {
			lowest = r
		}
		highest = max(highest, r)
		first = false
	}
	for _, e := range all {
		include(e.Revision)
		for _, t := range e.Targets {
			include(t.Revision)
		}
	}
	return lowest, highest
}
