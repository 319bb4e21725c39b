package verb

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/differ"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// diff shows what a document changes against another file, or against the one
// in force at an entry.
type diff struct {
	output
	Document string          `arg:"" help:"The document's file."`
	From     string          `help:"The file of the older document."`
	Operator starter.Address `help:"An entry's operator listener, IP:port, to compare with what is in force."`
	Key      string          `help:"The operator's key."`
}

// Help implements verb.
func (*diff) Help() string {
	return "Examples:\n  ladderctl diff document.json --from older.json\n" +
		"  ladderctl diff document.json --operator 127.0.0.1:7003"
}

func (v *diff) run(s streams) (int, error) {
	d, code, err := readValid(s, v.Document)
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	from, code, err := v.older(s)
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	changes, err := differ.Diff(&from, &d)
	if err != nil {
		return starter.ExitFailure, err
	}
	return starter.ExitOK, v.print(s, changes, func(w io.Writer) {
		if len(changes) == 0 {
			fmt.Fprintln(w, "no change")
			return
		}
		writeChanges(w, changes)
	})
}

func (v *diff) older(s streams) (d validator.Document, code int, err error) {
	if v.From != "" {
		return readValid(s, v.From)
	}
	if v.Operator == "" {
		return d, starter.ExitUsage, errors.New("give --from or --operator")
	}
	r, code, err := remote{v.Operator, v.Key}.inForce()
	return r.Document, code, err
}
