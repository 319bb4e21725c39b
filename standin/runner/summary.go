package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// summary prints the reports of the demo as one table, and fails if any
// answer was cut short or any sample had no spans.
type summary struct {
	Report []string `arg:"" help:"A report as NAME=FILE."`
}

// mustBeZero are the lines that must be 0.
var mustBeZero = []string{
	"answers-cut-short", "answers-of-others", "calls-failed", "refusals-wrong",
	"cut-short", "without-spans", "unscored",
}

func (s *summary) run(_ context.Context, stdout io.Writer) error {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	var wrong []string
	for _, report := range s.Report {
		name, file, ok := strings.Cut(report, "=")
		if !ok {
			return errors.Errorf("%q is not NAME=FILE", report)
		}
		bad, err := printReport(w, name, file)
		if err != nil {
			return err
		}
		wrong = append(wrong, bad...)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(wrong) > 0 {
		return errors.Errorf("not 0: %s", strings.Join(wrong, ", "))
	}
	return nil
}

func printReport(w io.Writer, name, file string) (wrong []string, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	found := false
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "#") {
			fmt.Fprintf(w, "%s\t%s\n", name, scanner.Text())
			continue
		}
		var lines map[string]json.Number
		if err := json.Unmarshal(scanner.Bytes(), &lines); err != nil {
			return nil, errors.Wrap(err, file)
		}
		found = true
		wrong = append(wrong, printLines(w, name, lines)...)
	}
	if !found {
		return nil, errors.Errorf("%s: no report", file)
	}
	return wrong, scanner.Err()
}

func printLines(w io.Writer, name string, lines map[string]json.Number) (wrong []string) {
	keys := make([]string, 0, len(lines))
	for key := range lines {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		fmt.Fprintf(w, "%s\t%s\t%s\n", name, key, lines[key])
		if slices.Contains(mustBeZero, key) && lines[key] != "0" {
			wrong = append(wrong, name+" "+key)
		}
	}
	return wrong
}

func median(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
