package prover

import (
	"time"

	"github.com/google/uuid"

	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// newKey returns a UUIDv7 of the world's own time: the library's remember the
// latest time of the whole process, which holds many worlds.
func (w *Simulation) newKey(n byte) identifier.IdempotencyKey {
	var id uuid.UUID
	milliseconds := uint64(w.clock.Now().UnixMilli())
	for k := range 6 {
		id[k] = byte(milliseconds >> (8 * (5 - k)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return identifier.IdempotencyKey(id.String())
}

func keyed(subject string, key identifier.IdempotencyKey) ask {
	a := reservation(subject)
	a.key = key
	return a
}

func keyedOptions() Options {
	return Options{PlainTargets: 2, PlainDuration: time.Second, StalenessBound: 1}
}

// keyedCall: a caller without patience sends the same call again through the
// other entry while the first is still in progress.
func keyedCall() Scenario {
	return Scenario{
		Name: "keyed-call-through-both-entries", Options: keyedOptions(),
		act: func(w *Simulation) {
			a := keyed("reserve-a", w.newKey(1))
			w.together(
				func() { w.send("entry-1", a) },
				func() {
					w.sleep(200 * time.Millisecond)
					w.send("entry-2", a)
				},
			)
		},
	}
}

// keyedCallAgain: a caller sends again, now here, now there, until it has an
// answer.
func keyedCallAgain() Scenario {
	return Scenario{
		Name: "keyed-call-sent-again", Options: keyedOptions(),
		act: func(w *Simulation) {
			a := keyed("reserve-a", w.newKey(1))
			for n := range 4 {
				if _, ok := w.send(entryNames[n%len(entryNames)], a).(dispatcher.Completed); ok {
					break
				}
			}
			w.send("entry-2", keyed("reserve-b", w.newKey(2)))
		},
	}
}
