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
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// fakeStore is the direct route of one host.
type fakeStore struct {
	// failing says whether calls return err.
	failing atomic.Bool
	err     error
	// probesFail says whether probes return it too.
	probesFail bool
	calls      atomic.Int32
}

func (s *fakeStore) Call(context.Context, Call) (Response, error) {
	s.calls.Add(1)
	return Response{Status: 200}, s.failure()
}

func (s *fakeStore) Probe(context.Context) error {
	if s.probesFail {
		return s.failure()
	}
	return nil
}

func (s *fakeStore) failure() error {
	if s.failing.Load() {
		return s.err
	}
	return nil
}

func newFakeStore(err error, probesFail bool) *fakeStore {
	s := &fakeStore{err: err, probesFail: probesFail}
	s.failing.Store(err != nil)
	return s
}

// peerNetwork connects hosts by name.
type peerNetwork map[string]*Rerouter

func (n peerNetwork) Ask(ctx context.Context, address string, q messenger.Question) (messenger.Reply, error) {
	host, ok := n[address]
	if address == "silent" {
		return messenger.Reply{}, querier.ErrPeerBackoff
	}
	if !ok {
		return messenger.Reply{}, messenger.ErrClosed
	}
	a := host.HandlePeerCall(ctx, *q.Store)
	return messenger.Reply{Store: &a}, nil
}

// newHosts returns two hosts that know each other and an unreachable one.
func newHosts(a, b *fakeStore) (*Rerouter, *Rerouter) {
	n := make(peerNetwork)
	hosts := []*Rerouter{}
	for _, s := range []*fakeStore{a, b} {
		hosts = append(hosts, New(clockwork.NewRealClock(), s, n, router.NewRandom(1)))
	}
	n["a"], n["b"] = hosts[0], hosts[1]
	hosts[0].SetPeers([]string{"dead", "b"})
	hosts[1].SetPeers([]string{"dead", "a"})
	return hosts[0], hosts[1]
}

// callUntil repeats a call until it succeeds, and returns how long that took.
func callUntil(host *Rerouter, limit time.Duration) (took time.Duration, err error) {
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if _, err = host.Call(context.Background(), Call{Method: "GET"}); err == nil || time.Since(start) > limit {
			return time.Since(start), err
		}
	}
}

func TestCall_ThroughPeerWhileTheStoreRefusesThisHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused, served := newFakeStore(appender.ErrUnavailable, true), newFakeStore(nil, false)
		a, _ := newHosts(refused, served)
		if took, err := callUntil(a, 5*time.Second); err != nil || took > time.Second {
			t.Errorf("call through a peer: %v after %s", err, took)
		}
		before := refused.calls.Load()
		if _, err := callUntil(a, 0); err != nil || refused.calls.Load() != before {
			t.Errorf("the direct route was used while it is down: %v", err)
		}
		refused.failing.Store(false)
		time.Sleep(2 * probeInterval)
		if _, err := callUntil(a, 0); err != nil || refused.calls.Load() == before {
			t.Errorf("the direct route isn't used after it works again: %v", err)
		}
	})
}

func TestCall_OneFailureDoesNotTakeTheDirectRouteDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tooLarge, other := newFakeStore(appender.ErrOutcomeUnknown, false), newFakeStore(nil, false)
		a, _ := newHosts(tooLarge, other)
		if _, err := a.Call(context.Background(), Call{}); !errors.Is(err, appender.ErrOutcomeUnknown) {
			t.Errorf("got %v, want ErrOutcomeUnknown", err)
		}
		synctest.Wait()
		if a.isDirectDown() {
			t.Error("the direct route counts as down though probes succeed")
		}
	})
}

// Guards against a call that the store has refused, and that was sent to no peer, but counts as
// one that may have had an effect: it would be repeated until that is known.
func TestCall_RefusedWhilePeersAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newHosts(newFakeStore(appender.ErrUnavailable, true), newFakeStore(nil, false))
		a.SetPeers([]string{"silent"})
		if _, err := a.Call(context.Background(), Call{}); !errors.Is(err, appender.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
		time.Sleep(2 * probeInterval)
		a.direct.(*fakeStore).failing.Store(false)
		time.Sleep(2 * probeInterval) // the probe ends
	})
}

func TestCall_UnavailableWhileTheStoreIsDownForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, y := newFakeStore(appender.ErrUnavailable, true), newFakeStore(appender.ErrUnavailable, true)
		a, b := newHosts(x, y)
		for range 20 {
			for _, host := range []*Rerouter{a, b} {
				if _, err := host.Call(context.Background(), Call{}); err == nil {
					t.Error("a call succeeded while the store was down")
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := x.calls.Load() + y.calls.Load(); n > 10 {
			t.Errorf("%d calls to the store, want at most 10: peers must not pass calls on", n)
		}
		x.failing.Store(false)
		y.failing.Store(false)
		time.Sleep(2 * probeInterval)
		for _, host := range []*Rerouter{a, b} {
			if _, err := host.Call(context.Background(), Call{}); err != nil {
				t.Errorf("call after the outage: %v", err)
			}
		}
	})
}
