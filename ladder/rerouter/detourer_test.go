package rerouter

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// way is the direct way of one host.
type way struct {
	// broken says whether a call and a probe return fails.
	broken atomic.Bool
	fails  error
	// probesFail says whether probes fail too.
	probesFail bool
	calls      atomic.Int32
}

func (w *way) Call(context.Context, Call) (Response, error) {
	w.calls.Add(1)
	return Response{Status: 200}, w.failure()
}

func (w *way) Probe(context.Context) error {
	if w.probesFail {
		return w.failure()
	}
	return nil
}

func (w *way) failure() error {
	if w.broken.Load() {
		return w.fails
	}
	return nil
}

func newWay(fails error, probesFail bool) *way {
	w := &way{fails: fails, probesFail: probesFail}
	w.broken.Store(fails != nil)
	return w
}

// network connects hosts by their names.
type network map[string]*Rerouter

func (n network) Ask(ctx context.Context, address string, q messenger.Question) (messenger.Reply, error) {
	d, ok := n[address]
	if !ok {
		return messenger.Reply{}, messenger.ErrClosed
	}
	a := d.HandlePeerCall(ctx, *q.Store)
	return messenger.Reply{Store: &a}, nil
}

// newHosts returns two hosts that know each other and a dead one.
func newHosts(a, b *way) (*Rerouter, *Rerouter) {
	n := make(network)
	hosts := []*Rerouter{}
	for _, w := range []*way{a, b} {
		hosts = append(hosts, New(clockwork.NewRealClock(), w, n, router.NewRandom(1)))
	}
	n["a"], n["b"] = hosts[0], hosts[1]
	hosts[0].SetPeers([]string{"dead", "b"})
	hosts[1].SetPeers([]string{"dead", "a"})
	return hosts[0], hosts[1]
}

// callUntil calls until it works, and returns how long that took.
func callUntil(d *Rerouter, limit time.Duration) (took time.Duration, err error) {
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if _, err = d.Call(context.Background(), Call{Method: "GET"}); err == nil || time.Since(begun) > limit {
			return time.Since(begun), err
		}
	}
}

func TestCall_ThroughAPeerWhileThisHostIsTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turnedAway, served := newWay(appender.ErrUnavailable, true), newWay(nil, false)
		a, _ := newHosts(turnedAway, served)
		if took, err := callUntil(a, 5*time.Second); err != nil || took > time.Second {
			t.Errorf("%v after %s", err, took)
		}
		before := turnedAway.calls.Load()
		if _, err := callUntil(a, 0); err != nil || turnedAway.calls.Load() != before {
			t.Errorf("the direct way was taken again: %v", err)
		}
		turnedAway.broken.Store(false)
		time.Sleep(2 * probePause)
		if _, err := callUntil(a, 0); err != nil || turnedAway.calls.Load() == before {
			t.Errorf("the direct way isn't taken again: %v", err)
		}
	})
}

func TestCall_OneFailureIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tooLarge, other := newWay(appender.ErrOutcomeUnknown, false), newWay(nil, false)
		a, _ := newHosts(tooLarge, other)
		if _, err := a.Call(context.Background(), Call{}); !errors.Is(err, appender.ErrOutcomeUnknown) {
			t.Errorf("got %v", err)
		}
		synctest.Wait()
		if a.isLost() {
			t.Error("the direct way counts as lost though a small read works")
		}
	})
}

func TestCall_UnavailableWhileTheWholeStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, y := newWay(appender.ErrUnavailable, true), newWay(appender.ErrUnavailable, true)
		a, b := newHosts(x, y)
		for range 20 {
			for _, d := range []*Rerouter{a, b} {
				if _, err := d.Call(context.Background(), Call{}); err == nil {
					t.Error("a call succeeded")
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := x.calls.Load() + y.calls.Load(); n > 10 {
			t.Errorf("peers pass calls on to each other: %d calls", n)
		}
		x.broken.Store(false)
		y.broken.Store(false)
		time.Sleep(2 * probePause)
		for _, d := range []*Rerouter{a, b} {
			if _, err := d.Call(context.Background(), Call{}); err != nil {
				t.Errorf("after the outage: %v", err)
			}
		}
	})
}
