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
	Class   identifier.PriorityClass
	Service identifier.ServiceName
	Call    identifier.CallName
	Body    []byte
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Sample, Urgency, Oldest and Expected are for rollout work; see
	// messenger.Start.
	Sample         identifier.SampleID
	Urgency        int
	OldestVersion  identifier.WeightVersion
	ExpectedTokens identifier.TokenCount
	// keep is set under a caller's key: the request may be sent again.
	keep bool
	// Stream, if set, is given the answer's bytes as they come. Once it has
	// been given some, the request is not tried elsewhere.
	Stream func([]byte) error
}

// followed says whether pieces of the answer matter before its end: to the
// caller, or to tell a target that has turned slow. A sample has no such hurry.
func (r Request) followed() router.Monitoring { return r.Sample == "" }

// Options are a Dispatcher's settings.
type Options struct {
	Entry       identifier.EntryName
	Zone        identifier.ZoneName
	Incarnation identifier.Incarnation
	// ReconnectTimeout is how long a sidecar whose link failed is waited for.
	ReconnectTimeout time.Duration
	// RetryAfter is the wait asked of callers when no target is to be had.
	RetryAfter time.Duration
}

// DefaultOptions returns the usual times.
func DefaultOptions() Options {
	return Options{ReconnectTimeout: 3 * time.Second, RetryAfter: time.Second}
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
	budget         *limiter.RetryBudget
	goals          Goals
	configurations Configurations
	options        Options
	quarantine     *quarantiner.Quarantiner

	mutex sync.Mutex
	// peers has one entry per target, the newest incarnation heard of.
	peers map[identifier.TargetName]*peer
	// rosters has what was worked out of a service's targets; one is dropped
	// when a target comes, goes or reports another time of a switch.
	rosters map[identifier.ServiceName]roster
	// due names the services whose targets are to be told anew.
	due map[identifier.ServiceName]bool
	// dropped counts answers that matched no open attempt.
	dropped uint64
}

// New returns a Dispatcher.
func New(clock clockwork.Clock, r *router.Router, beats *heartbeater.Heartbeater, budget *limiter.RetryBudget, goals Goals, configurations Configurations, options Options) *Dispatcher {
	return &Dispatcher{
		clock: clock, router: r, beats: beats, budget: budget, goals: goals,
		configurations: configurations, options: options, quarantine: quarantiner.New(clock),
		peers:   make(map[identifier.TargetName]*peer),
		rosters: make(map[identifier.ServiceName]roster),
		due:     make(map[identifier.ServiceName]bool),
	}
}

// DroppedResponses returns how many answers matched no open attempt.
func (d *Dispatcher) DroppedResponses() uint64 {
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

// AnnounceGoals sends a heartbeat at once to every sidecar whose model has new
// weights: they can't wait for the next one.
func (d *Dispatcher) AnnounceGoals(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range d.linked("") {
		tasks.Go(func() { d.announce(ctx, p) })
	}
}

func (d *Dispatcher) announce(ctx context.Context, p *peer) {
	m := d.heartbeat(p)
	d.mutex.Lock()
	news := len(m.Goals) > 0 && !m.Goals[0].EqualIgnoringAge(p.announced)
	if news {
		p.announced = m.Goals[0]
	}
	d.mutex.Unlock()
	if news {
		d.send(ctx, p, m)
	}
}

// send gives a message to a peer whose link may have gone meanwhile.
func (d *Dispatcher) send(ctx context.Context, p *peer, m messenger.Message) {
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l != nil {
		_ = d.beats.SendWithDeadline(ctx, l, m)
	}
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
