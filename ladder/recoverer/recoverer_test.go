package recoverer

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

func TestCatchPanic_ReturnsAPanicAsAnError(t *testing.T) {
	err := CatchPanic("work", func() { panic("unexpected") })
	var p *PanicError
	if !errors.As(err, &p) {
		t.Fatalf("got %v", err)
	}
	if diff := cmp.Diff(PanicError{Task: "work", Value: "unexpected"}, *p); diff != "" {
		t.Error(diff)
	}
	if err := CatchPanic("work", func() {}); err != nil {
		t.Error(err)
	}
}

func TestKeep_RunsAgainAfterAPanicAndEndsWithItsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		RestartOnPanic(t.Context(), clockwork.NewRealClock(), "work", func(context.Context) {
			if runs++; runs < 3 {
				panic("unexpected")
			}
		})
		if runs != 3 {
			t.Errorf("%d runs, want 3", runs)
		}
	})
}

func TestRestartOnPanic_EndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		runs := 0
		RestartOnPanic(ctx, clockwork.NewRealClock(), "work", func(context.Context) {
			runs++
			cancel()
			panic("unexpected")
		})
		if runs != 1 {
			t.Errorf("%d runs, want 1", runs)
		}
	})
}
