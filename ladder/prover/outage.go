package prover

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
)

const (
	// shortRetention is the log retention in these scenarios.
	shortRetention = 40 * time.Second
	// maxRefusalTime bounds a refusal that needs no other process.
	maxRefusalTime = 3 * time.Second
)

// configurationAges: nothing is published for several times the log's
// retention, then an operator makes a change.
func configurationAges() Scenario {
	return Scenario{
		Name:    "configuration-ages",
		Options: Options{PlainTargets: 1, PlainDuration: 200 * time.Millisecond, StalenessBound: 1, Retention: shortRetention},
		script: func(sim *Simulation) {
			sim.sleep(3 * shortRetention)
			sim.send("entry-1", reserveCall("reserve-a"))
			sim.publishUntilAccepted("entry-2", "change-a")
		},
	}
}

// logOutage: the log is unavailable for longer than its retention. Live calls,
// training and weight changes continue; calls that need the log are refused at
// once.
func logOutage() Scenario {
	return Scenario{
		Name: "log-outage",
		Options: Options{
			Engines: []faker.EngineOptions{engineOptions()}, PlainTargets: 1, PlainDuration: 200 * time.Millisecond,
			StalenessBound: 1, FencingChecked: true, Retention: shortRetention,
		},
		script: func(sim *Simulation) {
			sim.log.SetDown(true)
			t := sim.newTrainer(1)
			sim.runConcurrently(
				func() { sim.send("entry-1", generateCall("advice-a", 20)) },
				func() { sim.send("entry-2", reserveCall("reserve-a")) },
				func() { t.step(groupOf("step-1", 2, 10)) },
				func() {
					began := sim.clock.Now()
					o := sim.send("entry-1", keyedReserveCall("reserve-b", sim.newKey(1)))
					_, ran := o.(dispatcher.Completed)
					if took := sim.clock.Since(began); ran || took > maxRefusalTime && len(sim.injector.Fired()) == 0 {
						sim.reportViolation(promiseFinal, "keyed call in an outage: %+v after %s", o, took)
					}
				},
			)
			t.announce()
			t.step(groupOf("step-2", 2, 10))
			sim.sleep(2 * shortRetention)
			sim.send("entry-2", generateCall("advice-b", 20))
			sim.log.SetDown(false)
			sim.sleep(shortRetention / 2)
			sim.publishUntilAccepted("entry-2", "change-a")
		},
	}
}
