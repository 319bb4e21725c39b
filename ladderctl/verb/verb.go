// Package verb has one file per verb of ladderctl and a table of them all.
package verb

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/requester"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

const manual = `Validates, publishes, approves and shows.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the document has faults; 4 a
conflict with another change; 5 the log is down, ask again.`

// The exit codes beside those of starter.
const (
	exitFaults   = 3
	exitConflict = 4
	exitLater    = 5
)

// streams are where a verb reads and writes.
type streams struct{ stdout, stderr io.Writer }

// verb is one subcommand. Its fields are its settings.
type verb interface {
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
	{"validate", "Check a document.", func() verb { return &validate{} }},
	{"publish", "Publish a document.", func() verb { return &publish{} }},
	{"approve", "Add an owner's approval to a document.", func() verb { return &approve{} }},
	{"new-key", "Make a key for a team, an operator or an owner.", func() verb { return &newKey{} }},
	{"status", "Show the state of entries and targets.", func() verb { return &status{} }},
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
		return max(code, starter.ExitFailed)
	}
	return code
}

// remote are the settings of verbs that talk to an entry.
type remote struct {
	Operator starter.Address `help:"An entry's operator listener, IP:port." required:""`
	Key      string          `help:"The operator's key." required:""`
}

func (r remote) requester() *requester.Requester {
	return requester.New(string(r.Operator), r.Key)
}
