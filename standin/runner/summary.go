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

// summary prints reports of caller and trainer as one table. It fails if a counter
// in mustBeZero is not 0.
type summary struct {
	Report []string `arg:"" help:"A report as NAME=FILE."`
}

// mustBeZero lists the counters of answers, samples and refusals that were not as
// expected.
var mustBeZero = []string{
	"answers-cut-short", "answers-of-others", "calls-failed", "refusals-wrong",
	"cut-short", "without-spans", "unscored",
}

func (s *summary) run(_ context.Context, stdout io.Writer) error {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	var nonZero []string
	for _, report := range s.Report {
		name, file, ok := strings.Cut(report, "=")
		if !ok {
			return errors.Errorf("%q is not NAME=FILE", report)
		}
		counters, err := printReport(w, name, file)
		if err != nil {
			return err
		}
		nonZero = append(nonZero, counters...)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(nonZero) > 0 {
		return errors.Errorf("not 0: %s", strings.Join(nonZero, ", "))
	}
	return nil
}

// printReport prints the values and the "#" lines of a report file, and returns
// the counters that should be 0 but are not.
func printReport(w io.Writer, name, file string) (nonZero []string, err error) {
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
		var values map[string]json.Number
		if err := json.Unmarshal(scanner.Bytes(), &values); err != nil {
			return nil, errors.Wrap(err, file)
		}
		found = true
		nonZero = append(nonZero, printValues(w, name, values)...)
	}
	if !found {
		return nil, errors.Errorf("%s: no report", file)
	}
	return nonZero, scanner.Err()
}

func printValues(w io.Writer, name string, values map[string]json.Number) (nonZero []string) {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		fmt.Fprintf(w, "%s\t%s\t%s\n", name, key, values[key])
		if slices.Contains(mustBeZero, key) && values[key] != "0" {
			nonZero = append(nonZero, name+" "+key)
		}
	}
	return nonZero
}

func median(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
