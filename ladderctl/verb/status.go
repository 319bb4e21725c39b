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

// status prints what entries know, the lowest and highest revision first.
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
		var one coordinator.Status
		if code, err := (remote{address, v.Key}).get("/v1/status", &one); err != nil {
			return code, err
		}
		slices.SortFunc(one.Targets, func(a, b dispatcher.TargetStatus) int { return strings.Compare(string(a.Target), string(b.Target)) })
		all = append(all, one)
	}
	return starter.ExitOK, v.print(s, all, func(w io.Writer) { writeStatus(w, all) })
}

func writeStatus(w io.Writer, all []coordinator.Status) {
	lowest, highest := revisions(all)
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

// revisions returns the lowest and highest revision at any process.
func revisions(all []coordinator.Status) (lowest, highest identifier.Revision) {
	first := true
	note := func(r identifier.Revision) {
		if first || r < lowest {
			lowest = r
		}
		highest = max(highest, r)
		first = false
	}
	for _, e := range all {
		note(e.Revision)
		for _, t := range e.Targets {
			note(t.Revision)
		}
	}
	return lowest, highest
}
