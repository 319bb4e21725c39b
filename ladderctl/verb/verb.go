// Package verb has one file per verb of ladderctl and a table of them all.
package verb

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

const manual = `Validates, publishes, approves and shows.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the document has faults; 4 a
conflict with another change; 5 the log gave no answer, ask again with the same
file; 6 refused: the key may not do this, or the thing is not known there.

Each flag can be set by the environment variable shown. Give keys that way: a
command line is seen by others on the host.`

// The exit codes beside those of starter.
const (
	exitFaults   = 3
	exitConflict = 4
	exitLater    = 5
	exitRefused  = 6
)

// streams are where a verb writes.
type streams struct{ stdout, stderr io.Writer }

// verb is one subcommand. Its fields are its settings.
type verb interface {
	// Help returns the examples that --help shows.
	Help() string
	// run returns the exit code; an error goes with code 1.
	run(s streams) (int, error)
}

// line is a line of the table.
type line struct {
	name string
	help string
	verb func() verb
}

// table lists every verb once.
var table = []line{
	{"validate", "Check a document as every reader does.", func() verb { return &validate{} }},
	{"diff", "Show what a document changes, by named item.", func() verb { return &diff{} }},
	{"publish", "Publish a document.", func() verb { return &publish{} }},
	{"approve", "Add an owner's approval to a document.", func() verb { return &approve{} }},
	{"withdraw", "Take a team's grant back, in force at once.", func() verb { return &withdraw{} }},
	{"new-key", "Make a key for a team, an operator or an owner.", func() verb { return &newKey{} }},
	{"change-owner-key", "Hand an owner over to a new key.", func() verb { return &changeOwnerKey{} }},
	{"history", "Show who proposed what, and when.", func() verb { return &history{} }},
	{"status", "Show the state of entries and targets.", func() verb { return &status{} }},
	{"explain", "Show why a request was refused, or where it went.", func() verb { return &explain{} }},
	{"trace", "Show the story of a request, job, item or target from logs.", func() verb { return &trace{} }},
}

// Main parses the arguments, runs the verb and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	settings := &struct{ starter.Common }{}
	chosen := make(map[string]verb, len(table))
	commands := make([]kong.Option, 0, len(table))
	for _, l := range table {
		v := l.verb()
		chosen[l.name] = v
		commands = append(commands, kong.DynamicCommand(l.name, l.help, "", v))
	}
	d := starter.Description{Name: "ladderctl", Text: manual, Options: commands}
	parsed, code, ok := starter.Parse(d, settings, arguments, stdout, stderr)
	if !ok {
		return code
	}
	starter.SetUpLogs(settings.LogVerbosity)
	defer klog.Flush()
	name := parsed.Selected().Name
	code, err := chosen[name].run(streams{stdout, stderr})
	if err != nil {
		fmt.Fprintf(stderr, "ladderctl: %s: %s\n", name, err)
		return max(code, starter.ExitFailure)
	}
	return code
}
