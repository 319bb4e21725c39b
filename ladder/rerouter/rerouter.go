// Package rerouter makes calls to the platform's store, and routes them through
// another entry while the store refuses this host or can't be reached from it.
package rerouter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// The store may serve some hosts and not others for many seconds. Writes are
// conditional and reads say where they end, so the result of a call doesn't depend
// on the route it takes. A peer makes the call itself and never passes it on.

const (
	// probeInterval is the pause between probes of the direct route while it is down.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds a probe; the store usually answers within a few ms.
	probeTimeout = 400 * time.Millisecond
	// peerRetryDelay is how long a peer that couldn't help isn't asked again.
	peerRetryDelay = 2 * time.Second
)

// Call is a call to the store. Its contents are not interpreted here.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Response is the store's response.
type Response struct {
	Status int
	Body   []byte
}

// StoreClient makes calls from this host. Its errors are appender.ErrUnavailable
// and appender.ErrOutcomeUnknown.
type StoreClient interface {
	Call(ctx context.Context, c Call) (Response, error)
	// Probe makes a small read.
	Probe(ctx context.Context) error
}

// PeerClient sends queries to other entries.
type PeerClient interface {
	Ask(ctx context.Context, address string, q messenger.Question) (messenger.Reply, error)
}

// Random returns random numbers below n.
type Random interface{ IntN(n int) int }

// Rerouter makes calls to the store.
type Rerouter struct {
	clock  clockwork.Clock
	direct StoreClient
	peers  PeerClient
	random Random

	mutex sync.Mutex
	// addresses are the peers that can be asked.
	addresses []string
	// probing means that a call has failed and the direct route is being probed.
	probing bool
	// directDown means that a probe has failed and none has succeeded since.
	directDown bool
	// currentPeer is the peer that last answered, or empty.
	currentPeer string
	// retryPeerAt says until when a peer isn't asked.
	retryPeerAt map[string]time.Time
}

// New returns a Rerouter that uses the direct route until it fails and has no peers
// until SetPeers. random must be safe for concurrent use.
func New(clock clockwork.Clock, store StoreClient, peers PeerClient, random Random) *Rerouter {
	return &Rerouter{clock: clock, direct: store, peers: peers, random: random, retryPeerAt: make(map[string]time.Time)}
}

// SetPeers sets the peers that can be asked; an empty list changes nothing.
func (r *Rerouter) SetPeers(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(addresses) > 0 {
		r.addresses = addresses
	}
}

// Call makes a call, directly or through a peer.
func (r *Rerouter) Call(ctx context.Context, c Call) (Response, error) {
	if r.isDirectDown() {
		return r.callThroughPeer(ctx, c)
	}
	a, err := r.direct.Call(ctx, c)
	if err == nil {
		return a, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return a, err
	}
	r.startProbing(err)
	if errors.Is(err, appender.ErrUnavailable) && ctx.Err() == nil {
		return r.callThroughPeer(ctx, c)
	}
	return a, err
}

// HandlePeerCall makes a peer's call directly, and never through another peer.
func (r *Rerouter) HandlePeerCall(ctx context.Context, c messenger.StoreCall) messenger.StoreAnswer {
	if r.isDirectDown() {
		return messenger.StoreAnswer{Outcome: messenger.StoreUnavailable}
	}
	a, err := r.direct.Call(ctx, Call{Method: c.Method, Target: c.URI, Body: c.Body})
	switch {
	case err == nil:
		return messenger.StoreAnswer{Outcome: messenger.StoreAnswered, Status: a.Status, Body: a.Body}
	case errors.Is(err, appender.ErrUnavailable):
		return messenger.StoreAnswer{Outcome: messenger.StoreUnavailable}
	default:
		return messenger.StoreAnswer{Outcome: messenger.StoreAnswerLost}
	}
}

func (r *Rerouter) isDirectDown() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.directDown
}

// startProbing probes the direct route in the background. A failed call alone
// doesn't show that the route is down: the call may have been too large, or the
// store may have limited its rate.
func (r *Rerouter) startProbing(cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.probing {
		r.probing = true
		go func() {
			// If this ended early, the direct route would never be used again.
			recoverer.RestartOnPanic(context.Background(), r.clock, "probe of the direct route to the store", func(context.Context) { r.probeUntilReachable(cause) })
		}()
	}
}

// probeUntilReachable probes the direct route until it works.
func (r *Rerouter) probeUntilReachable(cause error) {
	start := r.clock.Now()
	for r.probe() != nil {
		r.mutex.Lock()
		if !r.directDown {
			klog.InfoS("direct way to the store lost", "peers", len(r.addresses), "err", cause)
		}
		r.directDown = true
		r.mutex.Unlock()
		<-r.clock.After(probeInterval)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.directDown {
		klog.InfoS("direct way to the store works again", "after", r.clock.Since(start))
	}
	r.probing, r.directDown = false, false
}

func (r *Rerouter) probe() error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return r.direct.Probe(ctx)
}

func (r *Rerouter) callThroughPeer(ctx context.Context, c Call) (a Response, err error) {
	address, ok := r.pickPeer()
	if !ok {
		return a, errors.Wrap(appender.ErrUnavailable, "the store and peers can't be reached")
	}
	reply, err := r.peers.Ask(ctx, address, messenger.Question{Store: &messenger.StoreCall{Method: c.Method, URI: c.Target, Body: c.Body}})
	if errors.Is(err, querier.ErrPeerBackoff) {
		r.recordPeerResult(address, true)
		return a, errors.Wrapf(appender.ErrUnavailable, "peer %s: %v", address, err)
	}
	if errors.Is(err, messenger.ErrTooLarge) {
		return a, errors.Wrapf(appender.ErrUnavailable, "peer %s not asked: %v", address, err)
	}
	if err != nil || reply.Store == nil {
		r.recordPeerResult(address, ctx.Err() == nil || !errors.Is(ctx.Err(), context.Canceled))
		return a, errors.Wrapf(appender.ErrOutcomeUnknown, "peer %s: %v", address, err)
	}
	switch reply.Store.Outcome {
	case messenger.StoreAnswered:
		r.recordPeerResult(address, false)
		return Response{Status: reply.Store.Status, Body: reply.Store.Body}, nil
	case messenger.StoreAnswerLost:
		return a, errors.Wrapf(appender.ErrOutcomeUnknown, "through peer %s", address)
	case messenger.StoreUnavailable:
	}
	r.recordPeerResult(address, true)
	return a, errors.Wrapf(appender.ErrUnavailable, "through peer %s", address)
}

// pickPeer returns the peer that last answered or, if there is none, a random one.
func (r *Rerouter) pickPeer() (string, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.currentPeer != "" {
		return r.currentPeer, true
	}
	now := r.clock.Now()
	open := slices.DeleteFunc(slices.Clone(r.addresses), func(a string) bool { return r.retryPeerAt[a].After(now) })
	if len(open) == 0 {
		return "", false
	}
	return open[r.random.IntN(len(open))], true
}

func (r *Rerouter) recordPeerResult(address string, failed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case failed:
		r.retryPeerAt[address] = r.clock.Now().Add(peerRetryDelay)
		if r.currentPeer == address {
			r.currentPeer = ""
		}
	default:
		if r.currentPeer != address {
			klog.InfoS("store reached through a peer", "peer", address)
		}
		r.currentPeer = address
	}
}
