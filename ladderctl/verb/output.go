package verb

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/lycheeladder/lycheeladder/ladder/differ"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// output is the output format of verbs that show data.
type output struct {
	Output string `help:"table or json." enum:"table,json" default:"table"`
}

// print writes v as JSON, or aligns the tab-separated columns that table writes.
func (o output) print(s streams, v any, table func(w io.Writer)) error {
	if o.Output == "json" {
		return json.NewEncoder(s.stdout).Encode(v)
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func writeFaults(w io.Writer, faults validator.Faults) {
	if len(faults) == 0 {
		return
	}
	fmt.Fprintln(w, "PATH\tVALUE\tALLOWED")
	for _, f := range faults {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Path, f.Value, f.Allowed)
	}
}

func writeChanges(w io.Writer, changes []differ.Change) {
	fmt.Fprintln(w, "SECTION\tNAME\tCHANGE\tFIELD\tFROM\tTO")
	for _, c := range changes {
		if c.Kind == differ.Removed {
			fmt.Fprintf(w, "%s\t%s\t%s\t\t\t\n", c.Section, c.Name, c.Kind)
			continue
		}
		for _, f := range c.Fields {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", c.Section, c.Name, c.Kind, f.Name, truncate(f.From), truncate(f.To))
		}
	}
}

// maxValueBytes is the length at which a value in a table is cut off. The JSON
// output has the full value.
const maxValueBytes = 40

func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "…"
}
