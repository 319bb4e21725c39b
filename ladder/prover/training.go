package prover

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

func trainingOptions(stamps, fencing bool) Options {
	e := engineOptions()
	e.Stamps, e.FencingChecked = stamps, fencing
	return Options{Engines: []faker.EngineOptions{e, e}, StalenessBound: 1, FencingChecked: fencing}
}

// samplesOfAGroup: one group of usual samples, and one whose sample runs ten
// times longer.
func samplesOfAGroup() Scenario {
	return Scenario{
		Name: "samples-of-a-group", Options: trainingOptions(true, true),
		act: func(w *Simulation) {
			w.newTrainer(1).step(groupOf("hanging-chain", 4, 10), groupOf("pendant", 1, 100))
		},
	}
}

// samplesEntryDies: the trainer's entry dies with the straggler under way; the
// trainer goes on at the other one.
func samplesEntryDies() Scenario {
	return Scenario{
		Name: "samples-entry-dies", Options: trainingOptions(true, true),
		act: func(w *Simulation) {
			t := w.newTrainer(1)
			w.together(
				func() { t.step(groupOf("hanging-chain", 4, 10), groupOf("pendant", 1, 100)) },
				func() {
					w.sleep(700 * time.Millisecond)
					w.entry("entry-1").process.Kill()
				},
			)
			t.step(groupOf("prism-drop", 2, 10))
		},
	}
}

// weightSwitch: new weights come while samples are made, twice.
func weightSwitch() Scenario {
	return Scenario{Name: "weight-switch", Options: trainingOptions(true, true), act: trainThroughSwitches}
}

// weightSwitchUnstamped: the same with engines that neither stamp their
// answers nor check fencing numbers, and whose first switch fails silently.
func weightSwitchUnstamped() Scenario {
	o := trainingOptions(false, false)
	o.Engines[0].FailSwitches = 1
	return Scenario{Name: "weight-switch-unstamped", Options: o, act: trainThroughSwitches}
}

func trainThroughSwitches(w *Simulation) {
	t := w.newTrainer(1)
	for _, name := range []string{"step-1", "step-2", "step-3"} {
		w.together(
			func() { t.step(groupOf(name, 3, 20), groupOf(name+"-long", 1, 60)) },
			func() {
				w.sleep(300 * time.Millisecond)
				w.send("entry-2", advice("live-"+name, 20))
			},
		)
		t.announce()
	}
}

// weightSwitchOldSidecar: a sidecar is paused before it orders a switch, and
// is replaced; when it goes on, its order is old.
func weightSwitchOldSidecar() Scenario {
	paused := injector.Injection{Step: "sidecar-engine-1.target.switch.1", Kind: injector.Paused}
	return Scenario{
		Name: "weight-switch-old-sidecar", Options: trainingOptions(true, false),
		Always: []injector.Injection{paused},
		act: func(w *Simulation) {
			t := w.newTrainer(1)
			t.announce()
			for range 50 {
				if w.faulted(paused.Step, injector.Paused) {
					break
				}
				w.sleep(100 * time.Millisecond)
			}
			s := w.sidecar("engine-1")
			w.startSidecar(&sidecar{target: s.target, service: s.service, backend: s.backend, engine: true})
			t.step(groupOf("step-1", 3, 20))
			t.announce()
			t.step(groupOf("step-2", 3, 20))
			w.sleep(10 * time.Second)
			t.step(groupOf("step-3", 3, 200))
		},
	}
}
