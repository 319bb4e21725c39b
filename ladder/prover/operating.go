package prover

import (
	"fmt"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// operatorsRace: two operators publish at once through different entries, and each
// retries until its change is accepted.
func operatorsRace() Scenario {
	return Scenario{
		Name: "operators-race", Options: Options{PlainTargets: 1, PlainDuration: 200 * time.Millisecond, StalenessBound: 1},
		script: func(sim *Simulation) {
			sim.runConcurrently(
				func() { sim.publishUntilAccepted("entry-1", "change-a") },
				func() { sim.publishUntilAccepted("entry-2", "change-b") },
			)
			sim.send("entry-1", reserveCall("reserve-a"))
		},
	}
}

func (sim *Simulation) publishUntilAccepted(name, change string) {
	for n := range 5 {
		if sim.publish(name, identifier.DocumentID(fmt.Sprintf("%s-%d", change, n))) {
			return
		}
		sim.sleep(300 * time.Millisecond)
	}
}

// sendDuringStop sends a call every interval for the duration d, through both
// entries in turn, and marks the calls as made during a planned stop.
func (sim *Simulation) sendDuringStop(d, interval time.Duration, newCall func(subject string) clientCall) {
	var calls []func()
	for n := range int(d / interval) {
		calls = append(calls, func() {
			sim.sleep(time.Duration(n) * interval)
			a := newCall(fmt.Sprintf("call-%d", n))
			a.duringStop = true
			sim.send(entryNames[n%len(entryNames)], a)
		})
	}
	sim.runConcurrently(calls...)
}

// targetLeaves: one of two targets of a plain service leaves under load.
func targetLeaves() Scenario {
	return Scenario{
		Name: "target-leaves", Options: Options{PlainTargets: 2, PlainDuration: 300 * time.Millisecond, StalenessBound: 1},
		script: func(sim *Simulation) {
			sim.runConcurrently(
				func() { sim.sendDuringStop(10*time.Second, 500*time.Millisecond, reserveCall) },
				func() {
					sim.sleep(time.Second)
					sim.stopTarget("plain-1")
				},
			)
		},
	}
}

// entryStops: an entry is stopped while it has open streams and a trainer's session.
func entryStops() Scenario {
	return Scenario{
		Name:    "entry-stops",
		Options: Options{Engines: []faker.EngineOptions{engineOptions(), engineOptions()}, StalenessBound: 1, FencingChecked: true},
		script: func(sim *Simulation) {
			t := sim.newTrainer(1)
			sim.runConcurrently(
				func() { t.step(groupOf("hanging-chain", 2, 10), groupOf("pendant", 1, 100)) },
				func() { sim.send("entry-1", generateCallDuringStop("advice-a", 100)) },
				func() { sim.send("entry-2", generateCallDuringStop("advice-b", 100)) },
				func() {
					sim.sleep(500 * time.Millisecond)
					sim.stopEntry("entry-1")
				},
			)
		},
	}
}

// sidecarStops: the sidecar of an engine is stopped while streams and samples run
// on it.
func sidecarStops() Scenario {
	return Scenario{
		Name:    "sidecar-stops",
		Options: Options{Engines: []faker.EngineOptions{engineOptions(), engineOptions()}, StalenessBound: 1, FencingChecked: true},
		script: func(sim *Simulation) {
			t := sim.newTrainer(1)
			sim.runConcurrently(
				func() { t.step(groupOf("hanging-chain", 2, 10), groupOf("pendant", 2, 100)) },
				func() { sim.send("entry-1", generateCallDuringStop("advice-a", 100)) },
				func() { sim.send("entry-2", generateCallDuringStop("advice-b", 100)) },
				func() { sim.send("entry-1", generateCallDuringStop("advice-c", 90)) },
				func() { sim.send("entry-2", generateCallDuringStop("advice-d", 90)) },
				func() {
					sim.sleep(500 * time.Millisecond)
					sim.stopTarget("engine-1")
				},
			)
		},
	}
}

func generateCallDuringStop(subject string, tokens int) clientCall {
	a := generateCall(subject, tokens)
	a.duringStop = true
	return a
}
