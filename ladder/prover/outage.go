package prover

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
)

const (
	// shortRetention is how long the log of these scenarios keeps records.
	shortRetention = 40 * time.Second
	// atOnce bounds a refusal that doesn't wait for anything.
	atOnce = 3 * time.Second
)

// configurationAges: nothing is published for several times the log's
// retention, then an operator makes a change.
func configurationAges() Scenario {
	return Scenario{
		Name:    "configuration-ages",
		Options: Options{PlainTargets: 1, PlainDuration: 200 * time.Millisecond, StalenessBound: 1, Retention: shortRetention},
		act: func(w *Simulation) {
			w.sleep(3 * shortRetention)
			w.send("entry-1", reservation("reserve-a"))
			w.publishUntilAccepted("entry-2", "change-a")
		},
	}
}

// logOutage: the log is away for longer than it keeps records. Live calls,
// training and weights go on; what needs the log is refused at once.
func logOutage() Scenario {
	return Scenario{
		Name: "log-outage",
		Options: Options{
			Engines: []faker.EngineOptions{engineOptions()}, PlainTargets: 1, PlainDuration: 200 * time.Millisecond,
			StalenessBound: 1, FencingChecked: true, Retention: shortRetention,
		},
		act: func(w *Simulation) {
			w.log.SetDown(true)
			t := w.newTrainer(1)
			w.together(
				func() { w.send("entry-1", advice("advice-a", 20)) },
				func() { w.send("entry-2", reservation("reserve-a")) },
				func() { t.step(groupOf("step-1", 2, 10)) },
				func() {
					began := w.clock.Now()
					o := w.send("entry-1", keyed("reserve-b", w.newKey(1)))
					_, ran := o.(dispatcher.Completed)
					if took := w.clock.Since(began); ran || took > atOnce && len(w.injector.Fired()) == 0 {
						w.violate(promiseFinal, "keyed call in an outage: %+v after %s", o, took)
					}
				},
			)
			t.announce()
			t.step(groupOf("step-2", 2, 10))
			w.sleep(2 * shortRetention)
			w.send("entry-2", advice("advice-b", 20))
			w.log.SetDown(false)
			w.sleep(shortRetention / 2)
			w.publishUntilAccepted("entry-2", "change-a")
		},
	}
}
