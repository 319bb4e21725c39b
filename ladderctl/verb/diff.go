package verb

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/differ"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// diff shows the changes in a document from an older file or from the document in
// force at an entry.
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
	d, code, err := readValidDocument(s, v.Document)
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	from, code, err := v.baseDocument(s)
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

// baseDocument returns the document to compare with.
func (v *diff) baseDocument(s streams) (d validator.Document, code int, err error) {
	if v.From != "" {
		return readValidDocument(s, v.From)
	}
	if v.Operator == "" {
		return d, starter.ExitUsage, errors.New("give --from or --operator")
	}
	r, code, err := remote{v.Operator, v.Key}.documentInForce()
	return r.Document, code, err
}
