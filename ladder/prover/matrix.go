package prover

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// Heartbeats, polls and chunks recur for the whole run, so faults are injected only
// into the first calls of each name. The pairs are drawn from the same steps.
const (
	maxPollCount = 1
	maxCallCount = 2
)

// recurringCalls are parts of the names of calls that are repeated without an
// external cause.
var recurringCalls = []string{"heartbeat", "read", "state", "chunk"}

// Case is a scenario with the faults that are injected into it.
type Case struct {
	Scenario Scenario
	Plan     []injector.Injection
}

// Faults formats the faults without spaces, as step=kind+step=kind.
func (c Case) Faults() string {
	words := make([]string, 0, len(c.Plan))
	for _, i := range c.Plan {
		words = append(words, i.String())
	}
	return strings.Join(words, "+")
}

// Command returns the command that runs only this case.
func (c Case) Command() string {
	return fmt.Sprintf("go test ./ladder/prover -run TestMatrix -scenario %s -faults %s", c.Scenario.Name, c.Faults())
}

// ParseFaults parses the format of Case.Faults.
func ParseFaults(text string) ([]injector.Injection, error) {
	var plan []injector.Injection
	for _, word := range strings.Split(text, "+") {
		i, err := injector.ParseInjection(word)
		if err != nil {
			return nil, err
		}
		plan = append(plan, i)
	}
	return plan, nil
}

// SingleFaultCases returns a case for every step of a fault-free run and every
// fault that can be injected at it, sorted by name.
func SingleFaultCases(s Scenario, clean Result) []Case {
	var cases []Case
	for _, step := range clean.Steps {
		limit := maxCallCount
		for _, name := range recurringCalls {
			if strings.Contains(step.Call, name) {
				limit = maxPollCount
			}
		}
		if step.Count > limit {
			continue
		}
		for _, kind := range step.Kinds {
			cases = append(cases, Case{Scenario: s, Plan: []injector.Injection{{Step: step.String(), Kind: kind}}})
		}
	}
	sort.Slice(cases, func(a, b int) bool { return cases[a].Faults() < cases[b].Faults() })
	return cases
}

// FaultPairCases draws n pairs of faults from the single-fault cases with a random
// generator of the seed. Pairs of faults at the same step are left out.
func FaultPairCases(s Scenario, singles []Case, seed uint64, n int) []Case {
	random := rand.New(rand.NewPCG(seed, seed))
	cases := make([]Case, 0, n)
	for range n {
		a, b := singles[random.IntN(len(singles))], singles[random.IntN(len(singles))]
		if a.Plan[0].Step == b.Plan[0].Step {
			continue
		}
		cases = append(cases, Case{Scenario: s, Plan: []injector.Injection{a.Plan[0], b.Plan[0]}})
	}
	return cases
}
