// Package verb has one file per slope and a table of them all.
package verb

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/sloper/fitter"
)

const helpText = `Measures how the cost of control grows, and fits a line to each.

It runs an entry and its sidecars in one process on loopback, in real time, and
counts the processor time of both ends together. Run it on a quiet machine.`

// measurement is what one size cost, by the name of a column with its unit.
type measurement map[string]float64

// benchmark is one verb: a thing that grows and what it costs.
type benchmark struct {
	name string
	// sizeUnit says what the size counts.
	sizeUnit string
	sizes []int
	// columns are in the order of printing.
	columns []string
	run func(size int) (measurement, error)
}

// benchmarks lists every slope once.
var benchmarks = []benchmark{linksBenchmark, teamsBenchmark, changesBenchmark, targetsBenchmark, requestsBenchmark, tokensBenchmark, samplesBenchmark}

// commandSettings of every verb.
type commandSettings struct {
	Write string `help:"File for the table as a page; nothing is written if empty." default:""`
}

// Main parses the arguments, measures and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	common := &struct{ starter.Common }{}
	chosen := map[string]*commandSettings{"all": {}}
	commands := []kong.Option{kong.DynamicCommand("all", "Every slope.", "", chosen["all"])}
	for _, s := range benchmarks {
		chosen[s.name] = &commandSettings{}
		commands = append(commands, kong.DynamicCommand(s.name, "By "+s.sizeUnit+".", "", chosen[s.name]))
	}
	d := starter.Description{Name: "sloper", Text: helpText, Options: commands}
	parsed, code, ok := starter.Parse(d, common, arguments, stdout, stderr)
	if !ok {
		return code
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	name := parsed.Selected().Name
	if err := run(name, chosen[name].Write, stdout); err != nil {
		fmt.Fprintf(stderr, "sloper: %s: %s\n", name, err)
		return starter.ExitFailure
	}
	return starter.ExitOK
}

func run(name, file string, stdout io.Writer) error {
	page := &strings.Builder{}
	fmt.Fprintf(page, "# Slopes\n\nWritten by `make slopes`. Processor time is of both ends together.\n")
	for _, s := range benchmarks {
		if name != "all" && name != s.name {
			continue
		}
		readings, err := runBenchmark(s)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		printTable(stdout, s, readings)
		writeMarkdown(page, s, readings)
	}
	if file == "" {
		return nil
	}
	return os.WriteFile(file, []byte(page.String()), 0o600)
}

func runBenchmark(s benchmark) ([]measurement, error) {
	readings := make([]measurement, 0, len(s.sizes))
	for _, size := range s.sizes {
		r, err := s.run(size)
		if err != nil {
			return nil, err
		}
		readings = append(readings, r)
	}
	return readings, nil
}

func fitColumn(s benchmark, readings []measurement, column string) fitter.Line {
	points := make([]fitter.Point, 0, len(readings))
	for n, r := range readings {
		points = append(points, fitter.Point{Size: float64(s.sizes[n]), Cost: r[column]})
	}
	return fitter.Fit(points)
}

// tableRows returns the table's rows, the fit last.
func tableRows(s benchmark, readings []measurement) [][]string {
	rows := [][]string{append([]string{s.sizeUnit}, s.columns...)}
	for n, r := range readings {
		row := []string{fmt.Sprint(s.sizes[n])}
		for _, c := range s.columns {
			row = append(row, fmt.Sprintf("%.4g", r[c]))
		}
		rows = append(rows, row)
	}
	base, per, worst := []string{"base"}, []string{"per unit"}, []string{"worst error"}
	for _, c := range s.columns {
		l := fitColumn(s, readings, c)
		base = append(base, fmt.Sprintf("%.4g", l.Intercept))
		per = append(per, fmt.Sprintf("%.4g", l.Slope))
		worst = append(worst, fmt.Sprintf("%.0f%%", 100*l.MaxRelativeError))
	}
	return append(rows, base, per, worst)
}

func printTable(stdout io.Writer, s benchmark, readings []measurement) {
	fmt.Fprintf(stdout, "\n%s\n", s.name)
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, row := range tableRows(s, readings) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func writeMarkdown(page io.Writer, s benchmark, readings []measurement) {
	fmt.Fprintf(page, "\n## %s\n\n", s.name)
	for n, row := range tableRows(s, readings) {
		fmt.Fprintf(page, "| %s |\n", strings.Join(row, " | "))
		if n == 0 {
			fmt.Fprintf(page, "|%s\n", strings.Repeat("---|", len(row)))
		}
	}
}
