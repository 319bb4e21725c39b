package pacer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Guards against calls above the rate, and pauses that don't grow with refusals or outlast them.
func TestSend_SpacesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, start := New(clockwork.NewRealClock(), 25), time.Now()
		var sent []time.Duration
		lost := errors.New("no response")
		for _, answer := range []error{nil, lost, ErrTooManyCalls, ErrTooManyCalls, lost, ErrTooManyCalls, nil, ErrTooManyCalls, nil} {
			err := p.Send(t.Context(), func() error { sent = append(sent, time.Since(start)); return answer })
			if !errors.Is(err, answer) {
				t.Errorf("error %v, want %v", err, answer)
			}
		}
		const ms = time.Millisecond
		want := []time.Duration{0, 40 * ms, 80 * ms, 330 * ms, 830 * ms, 870 * ms, 1870 * ms, 1910 * ms, 2160 * ms}
		if diff := cmp.Diff(want, sent); diff != "" {
			t.Errorf("sent (-want +got):\n%s", diff)
		}
		for range 8 {
			p.record(ErrTooManyCalls)
		}
		if p.pause != maxPause {
			t.Errorf("pause %s", p.pause)
		}
	})
}
