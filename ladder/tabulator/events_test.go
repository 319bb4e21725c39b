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

// Run "make pages" after changing the events.
func TestEvents_PageIsCurrent(t *testing.T) {
	want, got, err := tabulator.ComparePage(pageFile, "events", tabulator.EventsTable(), os.Getenv("UPDATE_PAGES") != "")
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("page is not current, %v (-want +got):\n%s", err, diff)
	}
}

// The table must contain exactly the events in the sources, with their levels
// and fields.
func TestEvents_MatchSources(t *testing.T) {
	table := make([]explainer.Event, 0, len(explainer.Events))
	for _, e := range explainer.Events {
		if e.Meaning == "" || e.Scope == "" {
			t.Errorf("event %q has no meaning or no scope", e.Name)
		}
		table = append(table, explainer.Event{Name: e.Name, Level: e.Level, Fields: e.Fields})
	}
	seen := make(map[string]bool)
	var logged []explainer.Event
	collectEvents(t, "github.com/lycheeladder/lycheeladder/platform", seen, &logged)
	byName := func(a, b explainer.Event) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(logged, byName)
	slices.SortFunc(table, byName)
	if diff := cmp.Diff(logged, table, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("the table is not that of the sources (-sources +table):\n%s", diff)
	}
}

const modulePrefix = "github.com/lycheeladder/lycheeladder/"

// collectEvents adds the events of a package and of all packages of this
// project that it imports.
func collectEvents(t *testing.T, path string, seen map[string]bool, logged *[]explainer.Event) {
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
			collectEvents(t, unquote(i.Path), seen, logged)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			if e, ok := eventOfCall(n); ok {
				*logged = append(*logged, e)
			}
			return true
		})
	}
}

// eventOfCall returns the event logged by a call to klog.
func eventOfCall(n ast.Node) (e explainer.Event, ok bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return e, false
	}
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return e, false
	}
	arguments := call.Args
	switch f.Sel.Name {
	case "InfoS":
		e.Level = explainer.LevelInfo
		if _, verbose := f.X.(*ast.CallExpr); verbose {
			e.Level = explainer.LevelDetail
		}
	case "ErrorS":
		e.Level = explainer.LevelError
		arguments = arguments[1:]
	default:
		return e, false
	}
	e.Name = unquote(arguments[0])
	for n := 1; n < len(arguments); n += 2 {
		e.Fields = append(e.Fields, unquote(arguments[n]))
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
