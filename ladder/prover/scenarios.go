package prover

import (
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// Scenario is a sequence of events that is run under every fault.
type Scenario struct {
	// Name is kebab-case.
	Name    string
	Options Options
	// Always are faults that belong to the scenario and are injected in every run.
	Always []injector.Injection
	// script does what the clients, the trainer and the operators do.
	script func(sim *Simulation)
}

// Result is the result of one run.
type Result struct {
	// Fired are the planned faults that were injected.
	Fired []injector.Injection
	// Violations are the promises that were broken.
	Violations []Violation
	// Excused counts what was not served because no process knew the configuration
	// in force.
	Excused int
	// Steps are the port calls of the run, in order.
	Steps []injector.ReachedStep
}

// Run runs the scenario with the planned faults. It must be called in a
// testing/synctest bubble because it takes minutes by the clock.
func (s Scenario) Run(plan []injector.Injection, hooks Hooks) Result {
	sim := newSimulation(s.Options, slices.Concat(s.Always, plan), hooks)
	s.script(sim)
	sim.settle()
	fired := len(sim.injector.Fired())
	if sim.checkRecovery(); len(sim.injector.Fired()) > fired {
		sim.settle()
	}
	sim.check()
	sim.close()
	return Result{Fired: sim.injector.Fired(), Violations: sim.violations, Excused: sim.excused, Steps: sim.injector.Steps()}
}

// recoveryTime is enough for the deployment to recover from the last fault.
const recoveryTime = 20 * time.Second

// settle waits until the faults so far are over and the deployment has recovered.
func (sim *Simulation) settle() {
	sim.sleep(recoveryTime)
	for sim.clock.Now().Before(sim.injector.DelaysEnd().Add(recoveryTime)) {
		sim.sleep(recoveryTime)
	}
}

// Scenarios lists every scenario of the matrix.
var Scenarios = []Scenario{
	liveStream(), idempotentCall(), unkeyedCall(), keyedCall(), keyedCallAgain(),
	samplesOfAGroup(), samplesEntryDies(),
	weightSwitch(), weightSwitchUnstamped(), weightSwitchOldSidecar(),
	operatorsRace(), targetLeaves(), entryStops(), sidecarStops(),
	configurationAges(), logOutage(),
}
