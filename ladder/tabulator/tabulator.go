// Package tabulator generates the tables in docs/OPERATIONS.md that are
// derived from the programs, and inserts them into the page.
package tabulator

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// SettingsTable returns the table of the flags and environment variables of a
// program.
func SettingsTable(program string, settings any) (string, error) {
	parser, err := kong.New(settings, kong.Name(program), kong.DefaultEnvars(starter.EnvironmentPrefix), kong.Vars{"version": ""})
	if err != nil {
		return "", errors.WithMessagef(err, "settings of %s", program)
	}
	var b strings.Builder
	b.WriteString("| flag | environment variable | default | meaning |\n|---|---|---|---|\n")
	for _, f := range parser.Model.Flags {
		if f.Name == "help" || f.Name == "version" {
			continue
		}
		value := f.Default
		if f.Required {
			value = "must be given"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", f.Name, strings.Join(f.Envs, "`, `"), value, f.Help)
	}
	return b.String(), nil
}

// CodesTable returns the table of the codes in responses to callers.
func CodesTable() string {
	var b strings.Builder
	b.WriteString("| code | meaning | what to do |\n|---|---|---|\n")
	for _, m := range explainer.Meanings {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Code, m.Meaning, m.Action)
	}
	return b.String()
}

// EventsTable returns the table of the log events of the program platform.
func EventsTable() string {
	var b strings.Builder
	b.WriteString("| event | level | fields | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, e := range explainer.Events {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", e.Name, e.Level, strings.Join(e.Fields, ", "), e.Meaning, e.Action)
	}
	return b.String()
}

// ComparePage returns the page in file with the block inserted (want) and as
// it is (got). If write is set, it writes the former to file first.
func ComparePage(file, name, block string, write bool) (want, got string, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", "", err
	}
	want, err = ReplaceBlock(string(data), name, block)
	if err != nil {
		return "", "", errors.WithMessage(err, file)
	}
	if write {
		return want, want, os.WriteFile(file, []byte(want), 0o644)
	}
	return want, string(data), nil
}

// ReplaceBlock returns the page with the block between the markers of that
// name replaced.
func ReplaceBlock(page, name, block string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	_, after, ended := strings.Cut(rest, end)
	if !ok || !ended {
		return "", errors.Errorf("page has no block %q", name)
	}
	return before + begin + block + end + after, nil
}
