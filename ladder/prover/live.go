package prover

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
)

// engineOptions returns the options of an engine without faults.
func engineOptions() faker.EngineOptions {
	return faker.EngineOptions{
		Slots: 4, TokenTime: 20 * time.Millisecond, LoadTime: 300 * time.Millisecond,
		SwitchTime: 200 * time.Millisecond, Version: 1, Stamps: true, FencingChecked: true,
	}
}

// liveStream: three clients stream answers at once, through both entries.
func liveStream() Scenario {
	return Scenario{
		Name:    "live-stream",
		Options: Options{Engines: []faker.EngineOptions{engineOptions(), engineOptions()}, StalenessBound: 1, FencingChecked: true},
		script: func(sim *Simulation) {
			sim.runConcurrently(
				func() { sim.send("entry-1", generateCall("advice-a", 30)) },
				func() { sim.send("entry-1", generateCall("advice-b", 10)) },
				func() { sim.send("entry-2", generateCall("advice-c", 20)) },
			)
			sim.send("entry-2", generateCall("advice-d", 5))
		},
	}
}

// idempotentCall: calls that may be repeated and are not streamed, so that a call
// without an answer is sent to a second target.
func idempotentCall() Scenario {
	return Scenario{
		Name:    "idempotent-call",
		Options: Options{Engines: []faker.EngineOptions{engineOptions(), engineOptions()}, StalenessBound: 1, FencingChecked: true},
		script: func(sim *Simulation) {
			sim.runConcurrently(
				func() { sim.send("entry-1", unstreamedGenerateCall("advice-a", 10)) },
				func() { sim.send("entry-2", unstreamedGenerateCall("advice-b", 20)) },
			)
			sim.send("entry-1", unstreamedGenerateCall("advice-c", 5))
		},
	}
}

func unstreamedGenerateCall(subject string, tokens int) clientCall {
	a := generateCall(subject, tokens)
	a.stream = false
	return a
}

// unkeyedCall: calls that may not be repeated and carry no idempotency key.
func unkeyedCall() Scenario {
	return Scenario{
		Name:    "unkeyed-call",
		Options: Options{PlainTargets: 2, PlainDuration: 300 * time.Millisecond, StalenessBound: 1},
		script: func(sim *Simulation) {
			sim.runConcurrently(
				func() { sim.send("entry-1", reserveCall("reserve-a")) },
				func() { sim.send("entry-2", reserveCall("reserve-b")) },
			)
			sim.send("entry-1", reserveCall("reserve-c"))
		},
	}
}

// runConcurrently runs each function in its own goroutine and waits for all.
func (sim *Simulation) runConcurrently(functions ...func()) {
	done := make(chan struct{})
	for _, f := range functions {
		sim.tasks.Go(func() {
			f()
			done <- struct{}{}
		})
	}
	for range functions {
		<-done
	}
}
