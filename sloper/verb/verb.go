// Package verb implements the commands of sloper, one benchmark per file.
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

// measurement maps column names, which include the unit, to the costs of one
// size.
type measurement map[string]float64

// benchmark measures how costs grow with a size. Each is a command.
type benchmark struct {
	name string
	// sizeUnit describes what the size counts.
	sizeUnit string
	sizes    []int
	// columns are in the order in which they are printed.
	columns []string
	run     func(size int) (measurement, error)
}

// benchmarks lists every benchmark in the order of the page.
var benchmarks = []benchmark{linksBenchmark, teamsBenchmark, changesBenchmark, targetsBenchmark, requestsBenchmark, tokensBenchmark, samplesBenchmark}

// commandSettings are the flags of each command.
type commandSettings struct {
	Write string `help:"File for the table as a page; nothing is written if empty." default:""`
}

// Main parses the arguments, runs the selected benchmarks and returns the exit
// code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	common := &struct{ starter.Common }{}
	settingsByCommand := map[string]*commandSettings{"all": {}}
	commands := []kong.Option{kong.DynamicCommand("all", "Every slope.", "", settingsByCommand["all"])}
	for _, b := range benchmarks {
		settingsByCommand[b.name] = &commandSettings{}
		commands = append(commands, kong.DynamicCommand(b.name, "By "+b.sizeUnit+".", "", settingsByCommand[b.name]))
	}
	d := starter.Description{Name: "sloper", Text: helpText, Options: commands}
	parsed, code, ok := starter.Parse(d, common, arguments, stdout, stderr)
	if !ok {
		return code
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	name := parsed.Selected().Name
	if err := run(name, settingsByCommand[name].Write, stdout); err != nil {
		fmt.Fprintf(stderr, "sloper: %s: %s\n", name, err)
		return starter.ExitFailure
	}
	return starter.ExitOK
}

func run(name, file string, stdout io.Writer) error {
	page := &strings.Builder{}
	fmt.Fprintf(page, "# Slopes\n\nWritten by `make slopes`. Processor time is of both ends together.\n")
	for _, b := range benchmarks {
		if name != "all" && name != b.name {
			continue
		}
		measurements, err := runBenchmark(b)
		if err != nil {
			return fmt.Errorf("%s: %w", b.name, err)
		}
		printTable(stdout, b, measurements)
		writeMarkdown(page, b, measurements)
	}
	if file == "" {
		return nil
	}
	return os.WriteFile(file, []byte(page.String()), 0o600)
}

func runBenchmark(b benchmark) ([]measurement, error) {
	measurements := make([]measurement, 0, len(b.sizes))
	for _, size := range b.sizes {
		m, err := b.run(size)
		if err != nil {
			return nil, err
		}
		measurements = append(measurements, m)
	}
	return measurements, nil
}

func fitColumn(b benchmark, measurements []measurement, column string) fitter.Line {
	points := make([]fitter.Point, 0, len(measurements))
	for n, m := range measurements {
		points = append(points, fitter.Point{Size: float64(b.sizes[n]), Cost: m[column]})
	}
	return fitter.Fit(points)
}

// tableRows returns the rows of the table, ending with the fitted line.
func tableRows(b benchmark, measurements []measurement) [][]string {
	rows := [][]string{append([]string{b.sizeUnit}, b.columns...)}
	for n, m := range measurements {
		row := []string{fmt.Sprint(b.sizes[n])}
		for _, c := range b.columns {
			row = append(row, fmt.Sprintf("%.4g", m[c]))
		}
		rows = append(rows, row)
	}
	intercepts, slopes, maxErrors := []string{"base"}, []string{"per unit"}, []string{"worst error"}
	for _, c := range b.columns {
		line := fitColumn(b, measurements, c)
		intercepts = append(intercepts, fmt.Sprintf("%.4g", line.Intercept))
		slopes = append(slopes, fmt.Sprintf("%.4g", line.Slope))
		maxErrors = append(maxErrors, fmt.Sprintf("%.0f%%", 100*line.MaxRelativeError))
	}
	return append(rows, intercepts, slopes, maxErrors)
}

func printTable(stdout io.Writer, b benchmark, measurements []measurement) {
	fmt.Fprintf(stdout, "\n%s\n", b.name)
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, row := range tableRows(b, measurements) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func writeMarkdown(page io.Writer, b benchmark, measurements []measurement) {
	fmt.Fprintf(page, "\n## %s\n\n", b.name)
	for n, row := range tableRows(b, measurements) {
		fmt.Fprintf(page, "| %s |\n", strings.Join(row, " | "))
		if n == 0 {
			fmt.Fprintf(page, "|%s\n", strings.Repeat("---|", len(row)))
		}
	}
}
