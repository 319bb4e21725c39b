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

// output is the setting of verbs that show something.
type output struct {
	Output string `help:"table or json." enum:"table,json" default:"table"`
}

// print shows v as JSON, or what table writes as aligned columns.
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
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", c.Section, c.Name, c.Kind, f.Name, cut(f.From), cut(f.To))
		}
	}
}

// columnWidth bounds a value in a table, in bytes; JSON has it whole.
const columnWidth = 40

func cut(value string) string {
	if len(value) <= columnWidth {
		return value
	}
	return strings.ToValidUTF8(value[:columnWidth], "") + "…"
}
