// Package rerouter makes calls to the platform's store, through another entry
// while the store turns this host away or can't be reached from here.
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
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// The store may serve some hosts and not others for many seconds. Writes are
// conditional and reads say where they end, so that it makes no difference which
// way a call takes. A peer makes the call itself and never passes it on.

const (
	// probePause is between two tries of the direct way while it is lost.
	probePause = 500 * time.Millisecond
	// probeTimeout bounds such a try; the store answers in some ms.
	probeTimeout = 400 * time.Millisecond
	// turnPause is how long a peer that couldn't help isn't asked again.
	turnPause = 2 * time.Second
)

// Call is a call to the store, opaque to the product.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Response is the store's answer.
type Response struct {
	Status int
	Body   []byte
}

// StoreClient makes calls from this host. Its errors are appender.ErrUnavailable and
// appender.ErrAnswerLost.
type StoreClient interface {
	Call(ctx context.Context, c Call) (Response, error)
	// Probe makes a small read.
	Probe(ctx context.Context) error
}

// PeerClient asks other entries; *consulter.Consulter does.
type PeerClient interface {
	Ask(ctx context.Context, address string, q messenger.Question) (messenger.Reply, error)
}

// Random gives random numbers below n.
type Random interface{ IntN(n int) int }

// Rerouter makes calls to the store.
type Rerouter struct {
	clock  clockwork.Clock
	direct StoreClient
	peers  PeerClient
	random Random

	mutex sync.Mutex
	// addresses are the peers that may help.
	addresses []string
	// suspected says that a call has failed and the direct way is being tried.
	suspected bool
	// lost says that the direct way has failed a try and hasn't worked since.
	lost bool
	// helper is the peer that helped last, or empty.
	helper string
	// avoided says until when a peer isn't asked.
	avoided map[string]time.Time
}

// New returns a Detourer, whose random many tasks use, that takes the direct way until it fails. It knows no
// peers until SetPeers.
func New(clock clockwork.Clock, d StoreClient, p PeerClient, random Random) *Rerouter {
	return &Rerouter{clock: clock, direct: d, peers: p, random: random, avoided: make(map[string]time.Time)}
}

// SetPeers names the peers that may help.
func (d *Rerouter) SetPeers(addresses []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(addresses) > 0 {
		d.addresses = addresses
	}
}

// Call makes a call, directly or through a peer.
func (d *Rerouter) Call(ctx context.Context, c Call) (Response, error) {
	if d.isLost() {
		return d.throughPeer(ctx, c)
	}
	a, err := d.direct.Call(ctx, c)
	if err == nil {
		return a, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return a, err
	}
	d.suspect(err)
	if errors.Is(err, appender.ErrUnavailable) && ctx.Err() == nil {
		return d.throughPeer(ctx, c)
	}
	return a, err
}

// HandlePeerCall makes a peer's call, directly or not at all.
func (d *Rerouter) HandlePeerCall(ctx context.Context, c messenger.StoreCall) messenger.StoreAnswer {
	if d.isLost() {
		return messenger.StoreAnswer{Outcome: messenger.StoreUnavailable}
	}
	a, err := d.direct.Call(ctx, Call{Method: c.Method, Target: c.URI, Body: c.Body})
	switch {
	case err == nil:
		return messenger.StoreAnswer{Outcome: messenger.StoreAnswered, Status: a.Status, Body: a.Body}
	case errors.Is(err, appender.ErrUnavailable):
		return messenger.StoreAnswer{Outcome: messenger.StoreUnavailable}
	default:
		return messenger.StoreAnswer{Outcome: messenger.StoreAnswerLost}
	}
}

func (d *Rerouter) isLost() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lost
}

// suspect has the direct way tried. One call may have failed for its size, or
// since the store is asked too often.
func (d *Rerouter) suspect(cause error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.suspected {
		d.suspected = true
		go func() {
			// Without it the direct way would never be taken again.
			recoverer.RestartOnPanic(context.Background(), d.clock, "way back to the store", func(context.Context) { d.findBack(cause) })
		}()
	}
}

// findBack tries the direct way until it works.
func (d *Rerouter) findBack(cause error) {
	begun := d.clock.Now()
	for d.probe() != nil {
		d.mutex.Lock()
		if !d.lost {
			klog.InfoS("direct way to the store lost", "peers", len(d.addresses), "err", cause)
		}
		d.lost = true
		d.mutex.Unlock()
		<-d.clock.After(probePause)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.lost {
		klog.InfoS("direct way to the store works again", "after", d.clock.Since(begun))
	}
	d.suspected, d.lost = false, false
}

func (d *Rerouter) probe() error {
	bounded, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return d.direct.Probe(bounded)
}

func (d *Rerouter) throughPeer(ctx context.Context, c Call) (a Response, err error) {
	address, ok := d.pick()
	if !ok {
		return a, errors.Wrap(appender.ErrUnavailable, "the store and peers can't be reached")
	}
	r, err := d.peers.Ask(ctx, address, messenger.Question{Store: &messenger.StoreCall{Method: c.Method, URI: c.Target, Body: c.Body}})
	if err != nil || r.Store == nil {
		d.setHelper(address, ctx.Err() == nil || !errors.Is(ctx.Err(), context.Canceled))
		return a, errors.Wrapf(appender.ErrOutcomeUnknown, "peer %s: %v", address, err)
	}
	switch r.Store.Outcome {
	case messenger.StoreAnswered:
		d.setHelper(address, false)
		return Response{Status: r.Store.Status, Body: r.Store.Body}, nil
	case messenger.StoreAnswerLost:
		return a, errors.Wrapf(appender.ErrOutcomeUnknown, "through peer %s", address)
	case messenger.StoreUnavailable:
	}
	d.setHelper(address, true)
	return a, errors.Wrapf(appender.ErrUnavailable, "through peer %s", address)
}

// pick returns the peer that helped last, or another at random.
func (d *Rerouter) pick() (string, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.helper != "" {
		return d.helper, true
	}
	now := d.clock.Now()
	open := slices.DeleteFunc(slices.Clone(d.addresses), func(a string) bool { return d.avoided[a].After(now) })
	if len(open) == 0 {
		return "", false
	}
	return open[d.random.IntN(len(open))], true
}

func (d *Rerouter) setHelper(address string, failed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case failed:
		d.avoided[address] = d.clock.Now().Add(turnPause)
		if d.helper == address {
			d.helper = ""
		}
	default:
		if d.helper != address {
			klog.InfoS("store reached through a peer", "peer", address)
		}
		d.helper = address
	}
}
