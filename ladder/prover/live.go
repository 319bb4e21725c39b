package prover

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
)

// engineOptions are those of a usual engine.
func engineOptions() faker.EngineOptions {
	return faker.EngineOptions{
		Slots: 4, TokenTime: 20 * time.Millisecond, LoadTime: 300 * time.Millisecond,
		SwitchTime: 200 * time.Millisecond, Version: 1, Stamps: true, FencingChecked: true,
	}
}

// liveStream: three callers stream an answer, through both entries.
func liveStream() Scenario {
	return Scenario{
		Name:    "live-stream",
		Options: Options{Engines: []faker.EngineOptions{engineOptions(), engineOptions()}, StalenessBound: 1, FencingChecked: true},
		act: func(w *Simulation) {
			w.together(
				func() { w.send("entry-1", advice("advice-a", 30)) },
				func() { w.send("entry-1", advice("advice-b", 10)) },
				func() { w.send("entry-2", advice("advice-c", 20)) },
			)
			w.send("entry-2", advice("advice-d", 5))
		},
	}
}

// idempotentCall: calls that may be repeated and aren't streamed, so that a
// silent one is asked for a second time elsewhere.
func idempotentCall() Scenario {
	return Scenario{
		Name:    "idempotent-call",
		Options: Options{Engines: []faker.EngineOptions{engineOptions(), engineOptions()}, StalenessBound: 1, FencingChecked: true},
		act: func(w *Simulation) {
			w.together(
				func() { w.send("entry-1", unstreamed("advice-a", 10)) },
				func() { w.send("entry-2", unstreamed("advice-b", 20)) },
			)
			w.send("entry-1", unstreamed("advice-c", 5))
		},
	}
}

func unstreamed(subject string, tokens int) ask {
	a := advice(subject, tokens)
	a.stream = false
	return a
}

// unkeyedCall: calls that may not be repeated, and carry no key.
func unkeyedCall() Scenario {
	return Scenario{
		Name:    "unkeyed-call",
		Options: Options{PlainTargets: 2, PlainDuration: 300 * time.Millisecond, StalenessBound: 1},
		act: func(w *Simulation) {
			w.together(
				func() { w.send("entry-1", reservation("reserve-a")) },
				func() { w.send("entry-2", reservation("reserve-b")) },
			)
			w.send("entry-1", reservation("reserve-c"))
		},
	}
}

// together runs the acts as tasks of their own and waits for all.
func (w *Simulation) together(acts ...func()) {
	done := make(chan struct{})
	for _, act := range acts {
		w.tasks.Go(func() {
			act()
			done <- struct{}{}
		})
	}
	for range acts {
		<-done
	}
}
