package prover

import (
	"context"
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
)

// runWithSlowTargets runs the script in a deployment of two plain targets whose
// calls take three seconds, and reports every violation.
func runWithSlowTargets(t *testing.T, script func(sim *Simulation)) {
	t.Helper()
	o := keyedOptions()
	o.PlainDuration = 3 * time.Second
	r := run(t, Case{Scenario: Scenario{Name: t.Name(), Options: o, script: script}}, Hooks{})
	for _, v := range r.Violations {
		t.Error(v)
	}
}

// expectCompleted sends the call and reports a violation unless it completes.
func (sim *Simulation) expectCompleted(name string, a clientCall) {
	if o, ok := sim.send(name, a).(dispatcher.Completed); !ok {
		sim.reportViolation(promiseWhole, "%s at %s: %+v, want it completed", a.subject, name, o)
	}
}

func TestKeyedCall_RepeatAtSameEntryAnswersBoth(t *testing.T) {
	runWithSlowTargets(t, func(sim *Simulation) {
		a := keyedReserveCall("reserve-a", sim.newKey(1))
		sim.runConcurrently(
			func() { sim.expectCompleted("entry-1", a) },
			func() {
				sim.sleep(200 * time.Millisecond)
				sim.expectCompleted("entry-1", a)
			},
		)
	})
}

func TestKeyedCall_LaterRepeatAtOtherEntryGetsSameAnswer(t *testing.T) {
	runWithSlowTargets(t, func(sim *Simulation) {
		a := keyedReserveCall("reserve-a", sim.newKey(1))
		sim.expectCompleted("entry-1", a)
		sim.sleep(time.Minute)
		sim.expectCompleted("entry-2", a)
		sim.expectCompleted("entry-1", a)
	})
}

func TestKeyedCall_CanceledCallDoesNotStopItsRepeat(t *testing.T) {
	runWithSlowTargets(t, func(sim *Simulation) {
		a := keyedReserveCall("reserve-a", sim.newKey(1))
		sim.runConcurrently(
			func() {
				ctx, cancel := context.WithTimeout(sim.ctx, time.Second)
				defer cancel()
				_, _ = sim.handleCall(ctx, "entry-1", a, &streamBuffer{})
			},
			func() {
				sim.sleep(200 * time.Millisecond)
				sim.expectCompleted("entry-2", a)
			},
		)
	})
}

func TestStop_DoesNotWaitForDeadEntry(t *testing.T) {
	runWithSlowTargets(t, func(sim *Simulation) {
		sim.runConcurrently(
			func() { sim.send("entry-1", reserveCall("reserve-a")) },
			func() {
				sim.sleep(time.Second)
				sim.entry("entry-1").process.Kill()
				sim.sleep(3 * time.Second)
				began := sim.clock.Now()
				sim.stopTarget(sim.ledger.Runs()[0].Target)
				if took := sim.clock.Since(began); took >= drainTimeout {
					sim.reportViolation(promiseStops, "the stop took %s", took)
				}
			},
		)
	})
}
