package verb

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/measurer/plotter"
	"github.com/lycheeladder/lycheeladder/measurer/summarizer"
)

const pageHeading = `# Measurements

Written by ` + "`make measure`" + `, in virtual time, with the same seeds each time: a change
of a figure is a change of the code. Medians, least and most are over the seeds.
The decisions are the library's own (ladder/router, ladder/queuer,
ladder/limiter, ladder/converger, ladder/deliverer); the engines, the network
and the callers are fakes, so these figures compare ways to decide and don't
foretell a real deployment's.

`

// writeReports writes the page and its plots into a directory.
func writeReports(directory string, reports []summarizer.Report) error {
	plots := filepath.Join(directory, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return errors.Wrap(err, "create plot directory")
	}
	sections := make([]string, 0, len(reports))
	for n := range reports {
		r := &reports[n]
		sections = append(sections, r.Markdown())
		if err := os.WriteFile(filepath.Join(plots, r.Name+".svg"), []byte(plotter.Bars(r)), 0o644); err != nil {
			return errors.Wrapf(err, "write plot of %s", r.Name)
		}
	}
	page := pageHeading + strings.Join(sections, "\n")
	return errors.Wrap(os.WriteFile(filepath.Join(directory, "MEASUREMENTS.md"), []byte(page), 0o644), "write page")
}
