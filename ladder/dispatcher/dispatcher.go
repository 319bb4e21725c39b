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
	// Stream, if set, is given the answer's bytes as they come. Once it has
	// been given some, the request is not tried elsewhere.
	Stream func([]byte) error
}

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
		configurations: configurations, options: options,
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
	Revision    identifier.Revision    `json:"revision"`
	Load        messenger.Load         `json:"load"`
	InFlight    int                    `json:"in-flight"`
}

// Targets returns the status of every target known.
func (d *Dispatcher) Targets() []TargetStatus {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := make([]TargetStatus, 0, len(d.peers))
	for _, p := range d.peers {
		list = append(list, TargetStatus{
			Target: p.target, Service: p.service, Zone: p.zone, Incarnation: p.incarnation,
			Linked: p.link != nil, Leaving: p.leaving, Revision: p.revision, Load: p.load,
			InFlight: len(p.attempts),
		})
	}
	return list
}

// Announce sends a heartbeat to every sidecar at once: new weight goals can't
// wait for the next one.
func (d *Dispatcher) Announce(ctx context.Context) {
	h := d.heartbeat()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, l := range d.links("") {
		tasks.Go(func() { _ = d.beats.SendWithin(ctx, l, h) })
	}
}

// Configure sends every sidecar its part of the accepted document.
func (d *Dispatcher) Configure(ctx context.Context) { d.configure(ctx, "") }

// configure does so for one service, or for all. A service's targets are told
// anew when one has come or gone, or the time of a switch has changed: their
// turns to switch weights depend on it.
func (d *Dispatcher) configure(ctx context.Context, service identifier.ServiceName) {
	type part struct {
		link messenger.Link
		m    messenger.Configuration
	}
	var parts []part
	d.mutex.Lock()
	for _, p := range d.peers {
		if service != "" && p.service != service {
			continue
		}
		if m, ok := d.configurationOf(p); ok && p.link != nil {
			parts = append(parts, part{p.link, m})
		}
	}
	d.mutex.Unlock()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range parts {
		tasks.Go(func() { _ = d.beats.SendWithin(ctx, p.link, p.m) })
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

// links returns the open links, of one service or of all.
func (d *Dispatcher) links(service identifier.ServiceName) []messenger.Link {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var links []messenger.Link
	for _, p := range d.peers {
		if p.link != nil && (service == "" || p.service == service) {
			links = append(links, p.link)
		}
	}
	return links
}

func (d *Dispatcher) heartbeat() messenger.Heartbeat {
	return messenger.Heartbeat{Goals: d.goals.All()}
}
