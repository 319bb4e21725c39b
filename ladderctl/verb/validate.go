package verb

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// validate checks a document with the same rules as the programs that read it.
type validate struct {
	output
	Document string `arg:"" help:"The document's file."`
}

// Help implements verb.
func (*validate) Help() string {
	return "Examples:\n  ladderctl validate document.json\n  ladderctl validate document.json --output json"
}

// validationReport is the JSON output of validate.
type validationReport struct {
	Faults validator.Faults `json:"faults"`
	// Waiting lists grants that still need a valid approval.
	Waiting []string `json:"waiting"`
}

func (v *validate) run(s streams) (int, error) {
	d, faults, err := readDocument(v.Document)
	if err != nil {
		return starter.ExitFailure, err
	}
	r := validationReport{Faults: faults, Waiting: []string{}}
	if len(faults) == 0 {
		for _, n := range approver.UnapprovedGrants(&d, time.Now()) {
			r.Waiting = append(r.Waiting, approver.VerifyGrant(&d, d.Grants[n], time.Now()).Error())
		}
	}
	err = v.print(s, r, func(w io.Writer) {
		if len(faults) == 0 {
			fmt.Fprintln(w, "valid")
		}
		for _, text := range r.Waiting {
			fmt.Fprintln(w, "waiting for its owner: "+text)
		}
		writeFaults(w, faults)
	})
	if len(faults) > 0 {
		return exitFaults, err
	}
	return starter.ExitOK, err
}

// readDocument reads and validates a file. If there are faults, the document holds
// the parts that could be decoded.
func readDocument(file string) (d validator.Document, faults validator.Faults, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return d, nil, err
	}
	d, err = validator.Parse(data)
	if errors.As(err, &faults) {
		return d, faults, nil
	}
	return d, nil, err
}

// readValidDocument reads a document for a verb that accepts none with faults. It
// prints the faults and returns exitFaults if there are any.
func readValidDocument(s streams, file string) (d validator.Document, code int, err error) {
	d, faults, err := readDocument(file)
	if err != nil {
		return d, starter.ExitFailure, err
	}
	if len(faults) > 0 {
		return d, exitFaults, output{}.print(s, nil, func(w io.Writer) { writeFaults(w, faults) })
	}
	return d, starter.ExitOK, nil
}
