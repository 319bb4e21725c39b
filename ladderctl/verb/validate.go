package verb

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// validate checks a document as every reader does.
type validate struct {
	Document string `arg:"" help:"The document's file."`
}

func (v *validate) run(s streams) (int, error) {
	_, code, err := readDocument(s, v.Document)
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	fmt.Fprintln(s.stdout, "valid")
	return starter.ExitOK, nil
}

// readDocument reads and checks a file, and prints its faults.
func readDocument(s streams, file string) (d validator.Document, code int, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return d, starter.ExitFailed, err
	}
	d, err = validator.Parse(data)
	var faults validator.Faults
	if errors.As(err, &faults) {
		printFaults(s, faults)
		return d, exitFaults, nil
	}
	return d, starter.ExitOK, err
}

func printFaults(s streams, faults validator.Faults) {
	for _, f := range faults {
		fmt.Fprintln(s.stdout, f)
	}
}
