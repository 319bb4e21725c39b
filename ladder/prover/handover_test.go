package prover

import (
	"context"
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
)

// play runs the act in a deployment of two plain targets whose calls take
// three seconds, and reports every violation.
func play(t *testing.T, act func(w *Simulation)) {
	t.Helper()
	o := keyedOptions()
	o.PlainDuration = 3 * time.Second
	r := run(t, Case{Scenario: Scenario{Name: t.Name(), Options: o, act: act}}, Hooks{})
	for _, v := range r.Violations {
		t.Error(v)
	}
}

// expectWhole sends the call and wants its answer.
func (w *Simulation) expectWhole(name string, a ask) {
	if o, ok := w.send(name, a).(dispatcher.Completed); !ok {
		w.violate(promiseWhole, "%s at %s: %+v, want it completed", a.subject, name, o)
	}
}

func TestKeyedCall_TwiceAtOneEntryAnswersBoth(t *testing.T) {
	play(t, func(w *Simulation) {
		a := keyed("reserve-a", w.newKey(1))
		w.together(
			func() { w.expectWhole("entry-1", a) },
			func() {
				w.sleep(200 * time.Millisecond)
				w.expectWhole("entry-1", a)
			},
		)
	})
}

func TestKeyedCall_SentAgainLaterElsewhereGetsTheSameAnswer(t *testing.T) {
	play(t, func(w *Simulation) {
		a := keyed("reserve-a", w.newKey(1))
		w.expectWhole("entry-1", a)
		w.sleep(time.Minute)
		w.expectWhole("entry-2", a)
		w.expectWhole("entry-1", a)
	})
}

func TestKeyedCall_TheCallerThatLeftDoesNotStopTheOneThatFollows(t *testing.T) {
	play(t, func(w *Simulation) {
		a := keyed("reserve-a", w.newKey(1))
		w.together(
			func() {
				ctx, leave := context.WithTimeout(w.ctx, time.Second)
				defer leave()
				_, _ = w.handle(ctx, "entry-1", a, &receiver{})
			},
			func() {
				w.sleep(200 * time.Millisecond)
				w.expectWhole("entry-2", a)
			},
		)
	})
}

func TestStop_DoesNotWaitForAnswersOfADeadEntry(t *testing.T) {
	play(t, func(w *Simulation) {
		w.together(
			func() { w.send("entry-1", reservation("reserve-a")) },
			func() {
				w.sleep(time.Second)
				w.entry("entry-1").process.Kill()
				w.sleep(3 * time.Second)
				began := w.clock.Now()
				w.leave(w.ledger.Runs()[0].Target)
				if took := w.clock.Since(began); took >= drainTimeout {
					w.violate(promiseStops, "the stop took %s", took)
				}
			},
		)
	})
}
