package tabulator_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/tabulator"
)

// After a change: make pages
func TestEvents_PageIsCurrent(t *testing.T) {
	want, got, err := tabulator.ComparePage(pageFile, "events", tabulator.EventsTable(), os.Getenv("UPDATE_PAGES") != "")
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("page is not current, %v (-want +got):\n%s", err, diff)
	}
}

// The table has the events of the sources, with their levels and fields.
func TestEvents_AreThoseOfTheProgram(t *testing.T) {
	table := make([]explainer.Event, 0, len(explainer.Events))
	for _, e := range explainer.Events {
		if e.Meaning == "" || e.Scope == "" {
			t.Errorf("event %q has no meaning or no scope", e.Name)
		}
		table = append(table, explainer.Event{Name: e.Name, Level: e.Level, Fields: e.Fields})
	}
	seen := make(map[string]bool)
	var said []explainer.Event
	walk(t, "github.com/lycheeladder/lycheeladder/platform", seen, &said)
	byName := func(a, b explainer.Event) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(said, byName)
	slices.SortFunc(table, byName)
	if diff := cmp.Diff(said, table, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("the table is not that of the sources (-sources +table):\n%s", diff)
	}
}

const modulePrefix = "github.com/lycheeladder/lycheeladder/"

// walk adds the events of a package and of all that it imports.
func walk(t *testing.T, path string, seen map[string]bool, said *[]explainer.Event) {
	t.Helper()
	if seen[path] || !strings.HasPrefix(path, modulePrefix) {
		return
	}
	seen[path] = true
	files, err := filepath.Glob(filepath.Join("../..", strings.TrimPrefix(path, modulePrefix), "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range parsed.Imports {
			walk(t, unquote(i.Path), seen, said)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			if e, ok := eventIn(n); ok {
				*said = append(*said, e)
			}
			return true
		})
	}
}

// eventIn returns the event that a call of klog writes.
func eventIn(n ast.Node) (e explainer.Event, ok bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return e, false
	}
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return e, false
	}
	words := call.Args
	switch f.Sel.Name {
	case "InfoS":
		e.Level = explainer.LevelInfo
		if _, verbose := f.X.(*ast.CallExpr); verbose {
			e.Level = explainer.LevelDetail
		}
	case "ErrorS":
		e.Level = explainer.LevelError
		words = words[1:]
	default:
		return e, false
	}
	e.Name = unquote(words[0])
	for n := 1; n < len(words); n += 2 {
		e.Fields = append(e.Fields, unquote(words[n]))
	}
	return e, true
}

func unquote(e ast.Expr) string {
	l, ok := e.(*ast.BasicLit)
	if !ok {
		return "not a literal"
	}
	s, _ := strconv.Unquote(l.Value)
	return s
}
