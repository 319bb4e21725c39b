package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// status prints what entries know, the lowest and highest revision first.
type status struct {
	Operator []starter.Address `help:"An entry's operator listener, IP:port. May be given often." required:""`
	Key      string            `help:"The operator's key." required:""`
	Output   string            `help:"table or json." enum:"table,json" default:"table"`
}

func (v *status) run(s streams) (int, error) {
	var all []coordinator.Status
	for _, address := range v.Operator {
		var one coordinator.Status
		if err := requester.New(string(address), v.Key).Into(context.Background(), fasthttp.MethodGet, "/v1/status", nil, &one); err != nil {
			return starter.ExitFailed, errors.WithMessagef(err, "entry %s", address)
		}
		all = append(all, one)
	}
	if v.Output == "json" {
		return starter.ExitOK, json.NewEncoder(s.stdout).Encode(all)
	}
	v.print(s, all)
	return starter.ExitOK, nil
}

func (v *status) print(s streams, all []coordinator.Status) {
	lowest, highest := revisions(all)
	fmt.Fprintf(s.stdout, "revision in force: lowest %d, highest %d\n\n", lowest, highest)
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tZONE\tREVISION\tTARGET\tSERVICE\tZONE\tLINKED\tREVISION\tVERSION\tLOAD")
	for _, e := range all {
		for _, t := range e.Targets {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%t\t%d\t%d\t%d/%d\n", e.Entry, e.Zone, e.Revision,
				t.Target, t.Service, t.Zone, t.Linked, t.Revision, t.Load.Version, t.Load.InFlight, t.Load.Slots)
		}
	}
	fmt.Fprintln(w, "\nENTRY\tTEAM\tCLASS\tMEASURE\tCOUNT\tMEDIAN ms\tP99 ms\tMOST ms\t\t")
	for _, e := range all {
		for _, h := range e.Histograms {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t\t\n", e.Entry, h.Team, h.Class, h.Measure, h.Count, h.Median, h.P99, h.Most)
		}
	}
	_ = w.Flush()
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
