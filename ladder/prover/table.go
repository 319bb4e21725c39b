package prover

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"sync"

	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// Table collects the results of the matrix. It is safe for concurrent use.
type Table struct {
	mutex     sync.Mutex
	scenarios []string
	sums      map[string]*caseCounts
	cells     map[cell]*caseCounts
	failures  []string
}

// cell identifies a table cell by scenario, row and column.
type cell struct {
	scenario, step string
	kind           injector.Kind
}

// caseCounts has the number of cases by result.
type caseCounts struct{ run, failed, notReached, pairs int }

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{sums: make(map[string]*caseCounts), cells: make(map[cell]*caseCounts)}
}

// stepNumbers matches the process numbers and call counts in the name of a step. They
// are removed so that one row covers all processes of a role and all calls of a
// name.
var stepNumbers = regexp.MustCompile(`-[0-9]+|\.[0-9]+$`)

// Add records the result of a case.
func (t *Table) Add(c Case, r Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	name := c.Scenario.Name
	if t.sums[name] == nil {
		t.scenarios = append(t.scenarios, name)
		t.sums[name] = &caseCounts{}
	}
	failed := len(r.Violations) > 0
	notReached := len(r.Fired) < len(c.Scenario.Always)+len(c.Plan)
	t.sums[name].add(failed, notReached, len(c.Plan) > 1)
	if failed {
		t.failures = append(t.failures, fmt.Sprintf("%v\n    %s", r.Violations, c.Command()))
	}
	if len(c.Plan) != 1 {
		return
	}
	at := cell{scenario: name, step: stepNumbers.ReplaceAllString(c.Plan[0].Step, ""), kind: c.Plan[0].Kind}
	if t.cells[at] == nil {
		t.cells[at] = &caseCounts{}
	}
	t.cells[at].add(failed, notReached, false)
}

func (s *caseCounts) add(failed, notReached, pair bool) {
	s.run++
	if failed {
		s.failed++
	}
	if notReached {
		s.notReached++
	}
	if pair {
		s.pairs++
	}
}

// String returns the number of cases without violations and of all cases, and in
// brackets how many did not reach every step of their faults.
func (s *caseCounts) String() string {
	if s == nil {
		return ""
	}
	text := fmt.Sprintf("%d/%d", s.run-s.failed, s.run)
	if s.notReached > 0 {
		text += fmt.Sprintf(" (%d)", s.notReached)
	}
	return text
}

// Counts returns the totals on one line.
func (t *Table) Counts() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all caseCounts
	for _, s := range t.sums {
		all.run += s.run
		all.failed += s.failed
		all.notReached += s.notReached
		all.pairs += s.pairs
	}
	return fmt.Sprintf("%d cases, %d of them pairs of faults; %d with a violation; %d did not come to every step of their faults", all.run, all.pairs, all.failed, all.notReached)
}

const tableHeader = `# Fault matrix

Written by ` + "`make faults`" + `. Each row is a port call, for all processes of a role
and all counts of the call; each column a fault. A cell says in how many of the
cases every promise was kept, and in brackets how many did not come to their
step, since the order of ready tasks is the scheduler's. The promises checked in
every case: %s.

%s.

| scenario | cases | of them pairs | with a violation |
|---|---|---|---|
`

// Markdown returns the table as a Markdown page.
func (t *Table) Markdown() string {
	counts := t.Counts()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, tableHeader, strings.Join(Promises, ", "), counts)
	sort.Strings(t.scenarios)
	for _, name := range t.scenarios {
		s := t.sums[name]
		fmt.Fprintf(&b, "| %s | %d | %d | %d |\n", name, s.run, s.pairs, s.failed)
	}
	for _, name := range t.scenarios {
		t.writeScenario(&b, name)
	}
	sort.Strings(t.failures)
	for _, f := range t.failures {
		fmt.Fprintf(&b, "\n    %s\n", f)
	}
	return b.String()
}

func (t *Table) writeScenario(b *strings.Builder, name string) {
	fmt.Fprintf(b, "\n## %s\n\n| step |", name)
	for _, k := range injector.Kinds {
		fmt.Fprintf(b, " %s |", k)
	}
	fmt.Fprintf(b, "\n|---|%s\n", strings.Repeat("---|", len(injector.Kinds)))
	steps := make(map[string]bool)
	for at := range t.cells {
		if at.scenario == name {
			steps[at.step] = true
		}
	}
	var rows []string
	for step := range steps {
		rows = append(rows, step)
	}
	sort.Strings(rows)
	for _, step := range rows {
		fmt.Fprintf(b, "| %s |", step)
		for _, k := range injector.Kinds {
			fmt.Fprintf(b, " %s |", t.cells[cell{scenario: name, step: step, kind: k}])
		}
		fmt.Fprintln(b)
	}
}
