package prover

import (
	"fmt"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// operatorsRace: two operators publish at once, at different entries, and each
// tries again until its change is in force.
func operatorsRace() Scenario {
	return Scenario{
		Name: "operators-race", Options: Options{PlainTargets: 1, PlainDuration: 200 * time.Millisecond, StalenessBound: 1},
		act: func(w *Simulation) {
			w.together(
				func() { w.publishUntilAccepted("entry-1", "change-a") },
				func() { w.publishUntilAccepted("entry-2", "change-b") },
			)
			w.send("entry-1", reservation("reserve-a"))
		},
	}
}

func (w *Simulation) publishUntilAccepted(name, change string) {
	for n := range 5 {
		if w.publish(name, identifier.DocumentID(fmt.Sprintf("%s-%d", change, n))) {
			return
		}
		w.sleep(300 * time.Millisecond)
	}
}

// callsFor sends a call every interval, through both entries in turn. They
// are marked as made during a planned stop.
func (w *Simulation) callsFor(d, interval time.Duration, call func(subject string) ask) {
	var acts []func()
	for n := range int(d / interval) {
		acts = append(acts, func() {
			w.sleep(time.Duration(n) * interval)
			a := call(fmt.Sprintf("call-%d", n))
			a.stopping = true
			w.send(entryNames[n%len(entryNames)], a)
		})
	}
	w.together(acts...)
}

// targetLeaves: one of two targets of a plain service leaves under load.
func targetLeaves() Scenario {
	return Scenario{
		Name: "target-leaves", Options: Options{PlainTargets: 2, PlainDuration: 300 * time.Millisecond, StalenessBound: 1},
		act: func(w *Simulation) {
			w.together(
				func() { w.callsFor(10*time.Second, 500*time.Millisecond, reservation) },
				func() {
					w.sleep(time.Second)
					w.leave("plain-1")
				},
			)
		},
	}
}

// entryStops: an entry is stopped with streams and a trainer's session open.
func entryStops() Scenario {
	return Scenario{
		Name:    "entry-stops",
		Options: Options{Engines: []faker.EngineOptions{engineOptions(), engineOptions()}, StalenessBound: 1, FencingChecked: true},
		act: func(w *Simulation) {
			t := w.newTrainer(1)
			w.together(
				func() { t.step(groupOf("hanging-chain", 2, 10), groupOf("pendant", 1, 100)) },
				func() { w.send("entry-1", stoppingAdvice("advice-a", 100)) },
				func() { w.send("entry-2", stoppingAdvice("advice-b", 100)) },
				func() {
					w.sleep(500 * time.Millisecond)
					w.stopEntry("entry-1")
				},
			)
		},
	}
}

// sidecarStops: a sidecar of an engine is stopped with streams and samples on
// it.
func sidecarStops() Scenario {
	return Scenario{
		Name:    "sidecar-stops",
		Options: Options{Engines: []faker.EngineOptions{engineOptions(), engineOptions()}, StalenessBound: 1, FencingChecked: true},
		act: func(w *Simulation) {
			t := w.newTrainer(1)
			w.together(
				func() { t.step(groupOf("hanging-chain", 2, 10), groupOf("pendant", 2, 100)) },
				func() { w.send("entry-1", stoppingAdvice("advice-a", 100)) },
				func() { w.send("entry-2", stoppingAdvice("advice-b", 100)) },
				func() { w.send("entry-1", stoppingAdvice("advice-c", 90)) },
				func() { w.send("entry-2", stoppingAdvice("advice-d", 90)) },
				func() {
					w.sleep(500 * time.Millisecond)
					w.leave("engine-1")
				},
			)
		},
	}
}

func stoppingAdvice(subject string, tokens int) ask {
	a := advice(subject, tokens)
	a.stopping = true
	return a
}
