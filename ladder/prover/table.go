package prover

import (
	"fmt"
	"sync"
)

// Table gathers the verdicts of a matrix.
type Table struct {
	mutex sync.Mutex
	rows  []row
}

type row struct {
	scenario, faults string
	count            int
	reached          bool
	violations       []Violation
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{} }

// Add notes the verdict on one case.
func (t *Table) Add(c Case, r Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rows = append(t.rows, row{
		scenario: c.Scenario.Name, faults: c.Faults(), count: len(c.Plan),
		reached: len(r.Fired) == len(c.Scenario.Always)+len(c.Plan), violations: r.Violations,
	})
}

// Counts returns the sums on one line.
func (t *Table) Counts() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	failed, missed := 0, 0
	for _, r := range t.rows {
		if len(r.violations) > 0 {
			failed++
		}
		if !r.reached {
			missed++
		}
	}
	return fmt.Sprintf("%d cases, %d with a violation, %d whose step was not reached", len(t.rows), failed, missed)
}
