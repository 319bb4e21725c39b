// Package throttler keeps the requests of all hosts to a target within the limit that
// the target names.
package throttler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/permitter"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// A target tells its limit in its responses, so a host knows it from the first response
// on. From then on each request to the target needs a permit. The host that ranks first
// for the target grants the permits of all hosts, the next one while that one can't be
// reached. Hosts exchange what they have heard of the limit with each permit.

// Options are the settings of a Throttler.
type Options struct {
	// Self is this host's address as a peer.
	Self string
	// Members returns the addresses of the hosts that may grant permits, this one
	// included, and when the list was read.
	Members func() (list []string, readAt time.Time)
	Peers   querier.Peers
}

// Throttler sends requests within the limits of their targets and grants permits to
// other hosts. It implements sender.Sender.
type Throttler struct {
	sender.Transport
	clock   clockwork.Clock
	options Options

	mutex sync.Mutex
	// introduced is set once the hosts that grant permits have been asked for limits.
	introduced bool
	roster     *permitter.Roster
	targets    map[cataloger.Incarnation]*target
}

// target is what is known of one target that has named a limit.
type target struct {
	limit sender.RequestLimit
	// heardAt is when limit was heard, here or at another host.
	heardAt time.Time
	// deniedUntil is the time until which no permit is asked for.
	deniedUntil time.Time
	// pending counts the requests that wait for a permit; never negative.
	pending int
	// bucket has the permits that this host may grant.
	bucket permitter.Bucket
	report report
}

const (
	// updateInterval is the interval at which the list of members is read.
	updateInterval = time.Second
	// retention is how long the limit of a target is known that is no longer heard of.
	retention = 5 * time.Minute
)

// New returns a Throttler that knows no limits.
func New(clock clockwork.Clock, t sender.Transport, o Options) *Throttler {
	return &Throttler{
		Transport: t, clock: clock, options: o,
		roster: permitter.NewRoster(o.Self), targets: make(map[cataloger.Incarnation]*target),
	}
}

// Run keeps the list of members up to date and forgets targets until ctx ends.
func (t *Throttler) Run(ctx context.Context) {
	for {
		if members, ok := t.update(); ok {
			go t.collectLimits(ctx, members)
		}
		select {
		case <-t.clock.After(updateInterval):
		case <-ctx.Done():
			return
		}
	}
}

// update returns true, and the members, when they have become known.
func (t *Throttler) update() (members []string, first bool) {
	members, readAt := t.options.Members()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.roster.Update(t.clock.Now(), members, readAt)
	for i, known := range t.targets {
		if known.pending == 0 && t.clock.Since(known.heardAt) > retention {
			delete(t.targets, i)
		}
	}
	first = !t.introduced && len(members) > 0
	t.introduced = t.introduced || first
	return members, first
}

// Send implements sender.Sender.
func (t *Throttler) Send(ctx context.Context, to cataloger.Target, c sender.Call) (*sender.Response, error) {
	if err := t.acquire(ctx, to); err != nil {
		return nil, err
	}
	sentAt := t.clock.Now()
	r, err := t.Transport.Send(ctx, to, c)
	if err == nil && r.StartAsked {
		t.charge(ctx, to)
	}
	if err == nil && r.RequestLimit != nil {
		t.learnResponse(to, *r.RequestLimit, sentAt)
	}
	return r, err
}

// Allowance implements sender.Sender.
func (t *Throttler) Allowance(of cataloger.Target) (a sender.Allowance) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.targets[of.Incarnation()]
	if !ok || !known.limit.Limited {
		return a
	}
	return sender.Allowance{Limited: true, Wait: max(0, known.deniedUntil.Sub(t.clock.Now())), Pending: known.pending}
}

// learnResponse records what a response to a request sent at sentAt tells about the
// target's limit. A response without a limit withdraws only a limit that was heard before
// the request was sent, since responses may overtake each other.
func (t *Throttler) learnResponse(to cataloger.Target, limit sender.RequestLimit, sentAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.targets[to.Incarnation()]
	if !limit.Limited && (!ok || !sentAt.After(known.heardAt)) {
		return
	}
	withdrawn := ok && known.limit.Limited && !limit.Limited
	known = t.learn(to.Incarnation(), limit, t.clock.Now())
	if withdrawn {
		t.reportWithdrawal(t.toMessage(to.Incarnation(), known))
	}
}

// learn records a limit that was heard at the given time, unless a newer one is known. The
// caller holds the mutex.
func (t *Throttler) learn(of cataloger.Incarnation, limit sender.RequestLimit, heardAt time.Time) *target {
	known, ok := t.targets[of]
	if !ok {
		known = &target{}
		t.targets[of] = known
	}
	if ok && !heardAt.After(known.heardAt) {
		return known
	}
	switch {
	case limit.Limited && !known.limit.Limited:
		klog.InfoS("request limit named", "target", of.Name, "limit", limit.Rate)
		known.report.start(t.clock.Now())
	case !limit.Limited && known.limit.Limited:
		klog.InfoS("request limit withdrawn", "target", of.Name, "limit", known.limit.Rate)
		known.deniedUntil = time.Time{}
	}
	known.limit, known.heardAt = limit, heardAt
	return known
}
