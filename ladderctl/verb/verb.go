// Package verb implements the subcommands of ladderctl, each in its own file.
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

// Exit codes in addition to those of package starter.
const (
	exitFaults    = 3
	exitConflict  = 4
	exitUndecided = 5
	exitRefused   = 6
)

// streams are a verb's standard output and standard error.
type streams struct{ stdout, stderr io.Writer }

// verb is a subcommand. The exported fields of its type are its flags and
// arguments.
type verb interface {
	// Help returns the examples that --help shows.
	Help() string
	// run returns the exit code. With an error the exit code is at least 1.
	run(s streams) (int, error)
}

// command describes a verb on the command line.
type command struct {
	name    string
	help    string
	newVerb func() verb
}

// commands lists all verbs in the order of --help.
var commands = []command{
	{"validate", "Check a document as every reader does.", func() verb { return &validate{} }},
	{"diff", "Show what a document changes, by named item.", func() verb { return &diff{} }},
	{"publish", "Publish a document.", func() verb { return &publish{} }},
	{"approve", "Add an owner's approval to a document.", func() verb { return &approve{} }},
	{"withdraw", "Take a team's grant back, in force at once.", func() verb { return &withdraw{} }},
	{"new-key", "Make a key for a team, an operator or an owner.", func() verb { return &newKey{} }},
	{"change-owner-key", "Hand an owner over to a new key.", func() verb { return &changeOwnerKey{} }},
	{"history", "Show who proposed what, and when.", func() verb { return &history{} }},
	{"status", "Show the state of entries and targets.", func() verb { return &status{} }},
	{"duties", "Show which host has the duties of one host, and its last calls.", func() verb { return &duties{} }},
	{"explain", "Show why a request was refused, or where it went.", func() verb { return &explain{} }},
	{"trace", "Show the story of a request, job, item or target from logs.", func() verb { return &trace{} }},
}

// Main parses the arguments, runs the verb and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	settings := &struct{ starter.Common }{}
	verbs := make(map[string]verb, len(commands))
	options := make([]kong.Option, 0, len(commands))
	for _, c := range commands {
		v := c.newVerb()
		verbs[c.name] = v
		options = append(options, kong.DynamicCommand(c.name, c.help, "", v))
	}
	d := starter.Description{Name: "ladderctl", Text: manual, Options: options}
	parsed, code, ok := starter.Parse(d, settings, arguments, stdout, stderr)
	if !ok {
		return code
	}
	starter.SetUpLogs(settings.LogVerbosity)
	defer klog.Flush()
	name := parsed.Selected().Name
	code, err := verbs[name].run(streams{stdout, stderr})
	if err != nil {
		fmt.Fprintf(stderr, "ladderctl: %s: %s\n", name, err)
		return max(code, starter.ExitFailure)
	}
	return code
}
