package prover

import (
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// Scenario is one story that is run under every fault.
type Scenario struct {
	// Name is kebab-case.
	Name    string
	Options Options
	// Always are faults that are part of the story.
	Always []injector.Injection
	// act plays the part of callers, trainer and operators.
	act func(w *Simulation)
}

// Result is what came of one run.
type Result struct {
	// Fired are the planned faults that happened.
	Fired []injector.Injection
	// Violations are the promises that were broken.
	Violations []Violation
	// Excused counts what wasn't served since nobody knew what was in force.
	Excused int
	// Steps are the port calls of the run, in order.
	Steps []injector.ReachedStep
}

// Run plays the scenario under the planned faults. Run it in a testing/synctest
// bubble: it takes minutes of the clock.
func (s Scenario) Run(plan []injector.Injection, hooks Hooks) Result {
	w := newWorld(s.Options, slices.Concat(s.Always, plan), hooks)
	s.act(w)
	w.recover()
	fired := len(w.injector.Fired())
	if w.checkRecovery(); len(w.injector.Fired()) > fired {
		w.recover()
	}
	w.check()
	w.close()
	return Result{Fired: w.injector.Fired(), Violations: w.violations, Excused: w.excused, Steps: w.injector.Steps()}
}

// recoveryTime is enough for everything to settle after the last fault.
const recoveryTime = 20 * time.Second

// recover waits until the faults so far are over and everything has settled.
func (w *Simulation) recover() {
	w.sleep(recoveryTime)
	for w.clock.Now().Before(w.injector.DelaysEnd().Add(recoveryTime)) {
		w.sleep(recoveryTime)
	}
}

// Scenarios lists every scenario.
var Scenarios = []Scenario{
	liveStream(), idempotentCall(), unkeyedCall(), keyedCall(), keyedCallAgain(),
	samplesOfAGroup(), samplesEntryDies(),
	weightSwitch(), weightSwitchUnstamped(), weightSwitchOldSidecar(),
	operatorsRace(), targetLeaves(), entryStops(), sidecarStops(),
	configurationAges(), logOutage(),
}
