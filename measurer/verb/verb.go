// Package verb implements the commands of measurer, one benchmark per file.
package verb

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/measurer/summarizer"
)

const helpText = `Measures the decisions under load against baselines, in virtual time.

Without a verb's name it takes all. Exit codes: 0 done, whether aims were met
or not; 1 failed; 2 wrong usage.`

// benchmark is what one command measures.
type benchmark interface {
	// report runs every variant with every seed.
	report(seeds []uint64) summarizer.Report
}

// command is a benchmark with its name and help text.
type command struct {
	name      string
	help      string
	benchmark benchmark
}

// benchmarkCommands lists every benchmark in the order of the page.
var benchmarkCommands = []command{
	{"tail", "Tail latency while some targets are slow for moments.", tail{}},
	{"blocking", "Wait of short work behind long work.", blocking{}},
	{"training", "Trainers' idle time and the staleness of samples.", training{}},
	{"overload", "Goodput of live work at one and a half times the capacity.", overload{}},
	{"fairness", "Tail latency of teams beside one far above its limit.", fairness{}},
	{"switching", "Capacity away while weights are switched.", switching{}},
}

// common are the flags of every command.
type common struct {
	Seeds uint64 `help:"How many seeds, from 1." default:"5"`
	Write string `help:"Directory for MEASUREMENTS.md and plots; nothing is written if empty." default:""`
}

// commandSettings are the flags of one command.
type commandSettings struct{ common }

// Main parses the arguments, runs the selected benchmarks and returns the exit
// code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	settings := &struct{ starter.Common }{}
	all := &commandSettings{}
	settingsByCommand := map[string]*commandSettings{"all": all}
	commands := []kong.Option{kong.DynamicCommand("all", "Every measure.", "", all)}
	for _, l := range benchmarkCommands {
		settingsByCommand[l.name] = &commandSettings{}
		commands = append(commands, kong.DynamicCommand(l.name, l.help, "", settingsByCommand[l.name]))
	}
	d := starter.Description{Name: "measurer", Text: helpText, Options: commands}
	parsed, code, ok := starter.Parse(d, settings, arguments, stdout, stderr)
	if !ok {
		return code
	}
	starter.SetUpLogs(settings.LogVerbosity)
	defer klog.Flush()
	name := parsed.Selected().Name
	if err := run(name, settingsByCommand[name].common, stdout); err != nil {
		fmt.Fprintf(stderr, "measurer: %s: %s\n", name, err)
		return starter.ExitFailure
	}
	return starter.ExitOK
}

func run(name string, c common, stdout io.Writer) error {
	seeds := make([]uint64, c.Seeds)
	for n := range seeds {
		seeds[n] = uint64(n) + 1
	}
	var reports []summarizer.Report
	for _, l := range benchmarkCommands {
		if name != "all" && name != l.name {
			continue
		}
		r := l.benchmark.report(seeds)
		fmt.Fprintln(stdout, r.Markdown())
		reports = append(reports, r)
	}
	if c.Write == "" {
		return nil
	}
	return writeReports(c.Write, reports)
}
