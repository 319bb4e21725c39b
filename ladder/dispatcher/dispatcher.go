// Package dispatcher runs at an entry: it gives each request to a sidecar,
// follows its answer over links that fail and come back, and says truthfully
// what became of it.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// Request is one call to a service.
type Request struct {
	ID      identifier.RequestID
	Team    identifier.TeamName
	Class   identifier.Class
	Service identifier.ServiceName
	Call    identifier.CallName
	Body    []byte
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Sample, Urgency, Oldest and Expected are for rollout work; see
	// messenger.Start.
	Sample   identifier.SampleID
	Urgency  int
	Oldest   identifier.WeightVersion
	Expected identifier.TokenCount
	// keep is set under a caller's key: the request may be sent again.
	keep bool
	// Stream, if set, is given the answer's bytes as they come. Once it has
	// been given some, the request is not tried elsewhere.
	Stream func([]byte) error
}

// followed says whether pieces of the answer matter before its end: to the
// caller, or to tell a target that has turned slow. A sample has no such hurry.
func (r Request) followed() router.Following { return r.Sample == "" }

// Options are a Dispatcher's settings.
type Options struct {
	Entry       identifier.EntryName
	Zone        identifier.ZoneName
	Incarnation identifier.Incarnation
	// Reconnect is how long a sidecar whose link failed is waited for.
	Reconnect time.Duration
	// RetryAfter is the wait asked of callers when no target is to be had.
	RetryAfter time.Duration
}

// DefaultOptions returns the usual times.
func DefaultOptions() Options {
	return Options{Reconnect: 3 * time.Second, RetryAfter: time.Second}
}

// Goals is where weight goals are kept and spread from.
type Goals interface {
	Learn(goals []messenger.WeightGoal)
	All() []messenger.WeightGoal
}

// Configurations gives each sidecar its part of the accepted document.
type Configurations interface {
	// For returns the configuration of a target, rank-th of peers in its
	// service. It returns false while none is accepted.
	For(service identifier.ServiceName, rank, peers int) (messenger.Configuration, bool)
}

// Dispatcher gives requests to sidecars.
type Dispatcher struct {
	clock          clockwork.Clock
	router         *router.Router
	beats          *heartbeater.Heartbeater
	budget         *limiter.Budget
	goals          Goals
	configurations Configurations
	options        Options
	quarantine     *quarantiner.Quarantiner

	mutex sync.Mutex
	// peers has one entry per target, the newest incarnation heard of.
	peers map[identifier.TargetName]*peer
	// dropped counts answers that matched no open attempt.
	dropped uint64
}

// New returns a Dispatcher.
func New(clock clockwork.Clock, r *router.Router, beats *heartbeater.Heartbeater, budget *limiter.Budget, goals Goals, configurations Configurations, options Options) *Dispatcher {
	return &Dispatcher{
		clock: clock, router: r, beats: beats, budget: budget, goals: goals,
		configurations: configurations, options: options, quarantine: quarantiner.New(clock),
		peers: make(map[identifier.TargetName]*peer),
	}
}

// Dropped returns how many answers matched no open attempt.
func (d *Dispatcher) Dropped() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.dropped
}

// TargetStatus is what an entry knows of one target.
type TargetStatus struct {
	Target      identifier.TargetName  `json:"target"`
	Service     identifier.ServiceName `json:"service"`
	Zone        identifier.ZoneName    `json:"zone"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Linked      bool                   `json:"linked"`
	Leaving     bool                   `json:"leaving"`
	// Usable says that the target may be given work.
	Usable   bool                `json:"usable"`
	Revision identifier.Revision `json:"revision"`
	Load     messenger.Load      `json:"load"`
	InFlight int                 `json:"in-flight"`
}

// Targets returns the status of every target known.
func (d *Dispatcher) Targets() []TargetStatus {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := make([]TargetStatus, 0, len(d.peers))
	for _, p := range d.peers {
		list = append(list, TargetStatus{
			Target: p.target, Service: p.service, Zone: p.zone, Incarnation: p.incarnation,
			Linked: p.link != nil, Leaving: p.leaving, Usable: p.usable(), Revision: p.revision, Load: p.load,
			InFlight: len(p.attempts),
		})
	}
	return list
}

// Announce sends a heartbeat at once to every sidecar whose model has new
// weights: they can't wait for the next one.
func (d *Dispatcher) Announce(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range d.linked("") {
		tasks.Go(func() { d.announce(ctx, p) })
	}
}

func (d *Dispatcher) announce(ctx context.Context, p *peer) {
	m := d.heartbeat(p)
	d.mutex.Lock()
	news := len(m.Goals) > 0 && !m.Goals[0].Same(p.announced)
	if news {
		p.announced = m.Goals[0]
	}
	d.mutex.Unlock()
	if news {
		d.send(ctx, p, m)
	}
}

// Configure sends every sidecar its part of the accepted document. Most changes
// leave a sidecar's part as it was: then the next heartbeat's revision says so,
// and nothing else is sent.
func (d *Dispatcher) Configure(ctx context.Context) { d.configureService(ctx, "") }

// configureService does so for one service, or for all. A service's targets are
// told anew when one has come or gone, or the time of a switch has changed:
// their turns to switch weights depend on it.
func (d *Dispatcher) configureService(ctx context.Context, service identifier.ServiceName) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range d.linked(service) {
		tasks.Go(func() { d.configure(ctx, p) })
	}
}

func (d *Dispatcher) configure(ctx context.Context, p *peer) {
	d.mutex.Lock()
	m, ok := d.configurationOf(p)
	d.quarantine.SetPeriod(m.CrashQuarantine)
	unchanged := m
	unchanged.Revision = p.configured.Revision
	if !ok || unchanged == p.configured {
		p.configured.Revision = max(p.configured.Revision, m.Revision)
		d.mutex.Unlock()
		return
	}
	l := p.link
	d.mutex.Unlock()
	if l == nil || d.beats.SendWithin(ctx, l, m) != nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p.link == l && m.Revision >= p.configured.Revision {
		p.configured = m
	}
}

// send gives a message to a peer whose link may have gone meanwhile.
func (d *Dispatcher) send(ctx context.Context, p *peer, m messenger.Message) {
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l != nil {
		_ = d.beats.SendWithin(ctx, l, m)
	}
}

// configurationOf returns a peer's part. The caller holds the mutex.
func (d *Dispatcher) configurationOf(p *peer) (messenger.Configuration, bool) {
	rank, peers := 0, 0
	for _, other := range d.peers {
		if other.service != p.service {
			continue
		}
		peers++
		if other.target < p.target {
			rank++
		}
	}
	m, ok := d.configurations.For(p.service, rank, peers)
	m.SwitchTime = d.longestSwitch(p.service)
	return m, ok
}

// longestSwitch returns the longest switch of weights that a service's targets
// report. The caller holds the mutex.
func (d *Dispatcher) longestSwitch(service identifier.ServiceName) (longest time.Duration) {
	for _, p := range d.peers {
		if p.service == service {
			longest = max(longest, p.load.SwitchTime)
		}
	}
	return longest
}

// linked returns the peers with a link, of one service or of all.
func (d *Dispatcher) linked(service identifier.ServiceName) []*peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var peers []*peer
	for _, p := range d.peers {
		if p.link != nil && (service == "" || p.service == service) {
			peers = append(peers, p)
		}
	}
	return peers
}

// heartbeat carries the goal of the sidecar's own model alone: with 32 models,
// all of them on every link would take half of what a node may spend.
func (d *Dispatcher) heartbeat(p *peer) messenger.Heartbeat {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m := messenger.Heartbeat{Revision: p.configured.Revision}
	for _, g := range d.goals.All() {
		if g.Model == p.configured.Model {
			m.Goals = append(m.Goals, g)
		}
	}
	return m
}
