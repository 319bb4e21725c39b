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

// samplesOfAGroup: one group of short samples, and one with a sample ten times as
// long.
func samplesOfAGroup() Scenario {
	return Scenario{
		Name: "samples-of-a-group", Options: trainingOptions(true, true),
		script: func(sim *Simulation) {
			sim.newTrainer(1).step(groupOf("hanging-chain", 4, 10), groupOf("pendant", 1, 100))
		},
	}
}

// samplesEntryDies: the trainer's entry is killed while a long sample is in
// progress, and the trainer continues at the other entry.
func samplesEntryDies() Scenario {
	return Scenario{
		Name: "samples-entry-dies", Options: trainingOptions(true, true),
		script: func(sim *Simulation) {
			t := sim.newTrainer(1)
			sim.runConcurrently(
				func() { t.step(groupOf("hanging-chain", 4, 10), groupOf("pendant", 1, 100)) },
				func() {
					sim.sleep(700 * time.Millisecond)
					sim.entry("entry-1").process.Kill()
				},
			)
			t.step(groupOf("prism-drop", 2, 10))
		},
	}
}

// weightSwitch: new weights are announced after each training step, so that engines
// switch while the samples of the next step are made. Live calls run as well.
func weightSwitch() Scenario {
	return Scenario{Name: "weight-switch", Options: trainingOptions(true, true), script: trainThroughSwitches}
}

// weightSwitchUnstamped is weightSwitch with engines that neither put the version in
// their chunks nor check fencing numbers. The first switch of the first engine fails
// silently.
func weightSwitchUnstamped() Scenario {
	o := trainingOptions(false, false)
	o.Engines[0].FailSwitches = 1
	return Scenario{Name: "weight-switch-unstamped", Options: o, script: trainThroughSwitches}
}

func trainThroughSwitches(sim *Simulation) {
	t := sim.newTrainer(1)
	for _, name := range []string{"step-1", "step-2", "step-3"} {
		sim.runConcurrently(
			func() { t.step(groupOf(name, 3, 20), groupOf(name+"-long", 1, 60)) },
			func() {
				sim.sleep(300 * time.Millisecond)
				sim.send("entry-2", generateCall("live-"+name, 20))
			},
		)
		t.announce()
	}
}

// weightSwitchOldSidecar: a sidecar is paused before it sends a switch command and
// is replaced meanwhile; when it resumes, its command is out of date.
func weightSwitchOldSidecar() Scenario {
	paused := injector.Injection{Step: "sidecar-engine-1.target.switch.1", Kind: injector.Paused}
	return Scenario{
		Name: "weight-switch-old-sidecar", Options: trainingOptions(true, false),
		Always: []injector.Injection{paused},
		script: func(sim *Simulation) {
			t := sim.newTrainer(1)
			t.announce()
			for range 50 {
				if sim.faultFired(paused.Step, injector.Paused) {
					break
				}
				sim.sleep(100 * time.Millisecond)
			}
			s := sim.sidecar("engine-1")
			sim.startSidecar(&sidecar{target: s.target, service: s.service, backend: s.backend, engine: true})
			t.step(groupOf("step-1", 3, 20))
			t.announce()
			t.step(groupOf("step-2", 3, 20))
			sim.sleep(10 * time.Second)
			t.step(groupOf("step-3", 3, 200))
		},
	}
}
