package prover

import (
	"time"

	"github.com/google/uuid"

	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// newKey returns a UUIDv7 of the simulation's time. The uuid library is not used
// because it remembers the latest time of the whole process, which runs many
// simulations.
func (sim *Simulation) newKey(n byte) identifier.IdempotencyKey {
	var id uuid.UUID
	milliseconds := uint64(sim.clock.Now().UnixMilli())
	for k := range 6 {
		id[k] = byte(milliseconds >> (8 * (5 - k)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return identifier.IdempotencyKey(id.String())
}

func keyedReserveCall(subject string, key identifier.IdempotencyKey) clientCall {
	a := reserveCall(subject)
	a.key = key
	return a
}

func keyedOptions() Options {
	return Options{PlainTargets: 2, PlainDuration: time.Second, StalenessBound: 1}
}

// keyedCall: a client sends the same call again through the other entry while the
// first is still in progress.
func keyedCall() Scenario {
	return Scenario{
		Name: "keyed-call-through-both-entries", Options: keyedOptions(),
		script: func(sim *Simulation) {
			a := keyedReserveCall("reserve-a", sim.newKey(1))
			sim.runConcurrently(
				func() { sim.send("entry-1", a) },
				func() {
					sim.sleep(200 * time.Millisecond)
					sim.send("entry-2", a)
				},
			)
		},
	}
}

// keyedCallAgain: a client repeats a call, through both entries in turn, until it
// is answered.
func keyedCallAgain() Scenario {
	return Scenario{
		Name: "keyed-call-sent-again", Options: keyedOptions(),
		script: func(sim *Simulation) {
			a := keyedReserveCall("reserve-a", sim.newKey(1))
			for n := range 4 {
				if _, ok := sim.send(entryNames[n%len(entryNames)], a).(dispatcher.Completed); ok {
					break
				}
			}
			sim.send("entry-2", keyedReserveCall("reserve-b", sim.newKey(2)))
		},
	}
}
