package prover

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// A run never ends: heartbeats, polls and chunks come again and again. Faults
// are put into the first of each name only; the seeded pairs reach no others.
const (
	mostPolls = 1
	mostCalls = 2
)

// polls are calls that come again and again without a cause.
var polls = []string{"heartbeat", "read", "state", "chunk"}

// Case is a scenario under one or more faults.
type Case struct {
	Scenario Scenario
	Plan     []injector.Injection
}

// Faults returns the case's faults as one word.
func (c Case) Faults() string {
	words := make([]string, 0, len(c.Plan))
	for _, i := range c.Plan {
		words = append(words, i.String())
	}
	return strings.Join(words, "+")
}

// Command is the one command that runs the case alone.
func (c Case) Command() string {
	return fmt.Sprintf("go test ./ladder/prover -run TestMatrix -scenario %s -faults %s", c.Scenario.Name, c.Faults())
}

// ParseFaults reads what Faults writes.
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

// SingleFaultCases returns a case for every step of a clean run and every fault that
// can happen there, ordered by name.
func SingleFaultCases(s Scenario, clean Result) []Case {
	var cases []Case
	for _, step := range clean.Steps {
		most := mostCalls
		for _, poll := range polls {
			if strings.Contains(step.Call, poll) {
				most = mostPolls
			}
		}
		if step.Count > most {
			continue
		}
		for _, kind := range step.Kinds {
			cases = append(cases, Case{Scenario: s, Plan: []injector.Injection{{Step: step.String(), Kind: kind}}})
		}
	}
	sort.Slice(cases, func(a, b int) bool { return cases[a].Faults() < cases[b].Faults() })
	return cases
}

// FaultPairCases returns n cases of two faults each, drawn from singles with the seed.
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
