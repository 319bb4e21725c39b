// Package dispatcher runs in an entry: it sends each request to a sidecar,
// follows the response across link failures and reconnects, and reports whether
// the request completed, did not run or may have run.
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
	// Idempotent requests may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Sample, Urgency, OldestVersion and ExpectedTokens are used for rollout
	// work; see messenger.Start.
	Sample         identifier.SampleID
	Urgency        int
	OldestVersion  identifier.WeightVersion
	ExpectedTokens identifier.TokenCount
	// retainResponse is set for requests with an idempotency key: the caller
	// may repeat them.
	retainResponse bool
	// Stream, if set, receives the response as it arrives. Once it has received
	// data, the request is not retried at another target.
	Stream func([]byte) error
}

// monitoring reports whether chunks matter before the response ends, either to
// the caller or to detect a slow target. For samples only the complete response
// matters.
func (r Request) monitoring() router.Monitoring { return r.Sample == "" }

// Options configure a Dispatcher.
type Options struct {
	Entry       identifier.EntryName
	Zone        identifier.ZoneName
	Incarnation identifier.Incarnation
	// ReconnectTimeout is how long to wait for a sidecar whose link failed.
	ReconnectTimeout time.Duration
	// RetryAfter is the retry delay reported to callers when no target is
	// available.
	RetryAfter time.Duration
}

// DefaultOptions returns the default timeouts.
func DefaultOptions() Options {
	return Options{ReconnectTimeout: 3 * time.Second, RetryAfter: time.Second}
}

// Goals stores the weight goals that entries and sidecars exchange.
type Goals interface {
	Learn(goals []messenger.WeightGoal)
	All() []messenger.WeightGoal
}

// Configurations returns each sidecar's part of the accepted document.
type Configurations interface {
	// For returns the configuration of the target with the given rank among the
	// peers targets of its service. It returns false while no document is
	// accepted.
	For(service identifier.ServiceName, rank, peers int) (messenger.Configuration, bool)
}

// Dispatcher sends requests to sidecars.
type Dispatcher struct {
	clock          clockwork.Clock
	router         *router.Router
	heartbeats     *heartbeater.Heartbeater
	budget         *limiter.RetryBudget
	goals          Goals
	configurations Configurations
	options        Options
	quarantine     *quarantiner.Quarantiner

	mutex sync.Mutex
	// peers has one element per target: the newest incarnation that has linked.
	peers map[identifier.TargetName]*peer
	// targetsByService caches values derived from the targets of a service. An
	// element is deleted when a target joins, leaves or reports another switch
	// time.
	targetsByService map[identifier.ServiceName]serviceTargets
	// reconfigurePending has the services whose sidecars are about to be
	// reconfigured.
	reconfigurePending map[identifier.ServiceName]bool
	// droppedResponses counts sidecar messages that matched no open attempt.
	droppedResponses uint64
}

// New returns a Dispatcher without sidecars; Serve adds them.
func New(clock clockwork.Clock, r *router.Router, heartbeats *heartbeater.Heartbeater, budget *limiter.RetryBudget, goals Goals, configurations Configurations, options Options) *Dispatcher {
	return &Dispatcher{
		clock: clock, router: r, heartbeats: heartbeats, budget: budget, goals: goals,
		configurations: configurations, options: options, quarantine: quarantiner.New(clock),
		peers:              make(map[identifier.TargetName]*peer),
		targetsByService:   make(map[identifier.ServiceName]serviceTargets),
		reconfigurePending: make(map[identifier.ServiceName]bool),
	}
}

// DroppedResponses returns how many sidecar messages matched no open attempt.
func (d *Dispatcher) DroppedResponses() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.droppedResponses
}

// TargetStatus is an entry's view of one target.
type TargetStatus struct {
	Target      identifier.TargetName  `json:"target"`
	Service     identifier.ServiceName `json:"service"`
	Zone        identifier.ZoneName    `json:"zone"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Linked      bool                   `json:"linked"`
	Leaving     bool                   `json:"leaving"`
	// Usable targets may be sent work.
	Usable   bool                `json:"usable"`
	Revision identifier.Revision `json:"revision"`
	Load     messenger.Load      `json:"load"`
	InFlight int                 `json:"in-flight"`
}

// Targets returns the status of every known target.
func (d *Dispatcher) Targets() []TargetStatus {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := make([]TargetStatus, 0, len(d.peers))
	for _, p := range d.peers {
		list = append(list, TargetStatus{
			Target: p.target, Service: p.service, Zone: p.zone, Incarnation: p.incarnation,
			Linked: p.link != nil, Leaving: p.leaving, Usable: p.acceptsWork(), Revision: p.revision, Load: p.load,
			InFlight: len(p.attempts),
		})
	}
	return list
}

// AnnounceGoals sends a heartbeat immediately to every sidecar whose model has
// a new weight goal, instead of waiting for the next periodic heartbeat.
func (d *Dispatcher) AnnounceGoals(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range d.linkedPeers("") {
		tasks.Go(func() { d.announceGoal(ctx, p) })
	}
}

func (d *Dispatcher) announceGoal(ctx context.Context, p *peer) {
	m := d.heartbeat(p)
	d.mutex.Lock()
	isNew := len(m.Goals) > 0 && !m.Goals[0].EqualIgnoringAge(p.announcedGoal)
	if isNew {
		p.announcedGoal = m.Goals[0]
	}
	d.mutex.Unlock()
	if isNew {
		d.send(ctx, p, m)
	}
}

// send sends a message to a peer if it is still linked.
func (d *Dispatcher) send(ctx context.Context, p *peer, m messenger.Message) {
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l != nil {
		_ = d.heartbeats.SendWithDeadline(ctx, l, m)
	}
}

// linkedPeers returns the linked peers of one service, or of all services if
// service is empty.
func (d *Dispatcher) linkedPeers(service identifier.ServiceName) []*peer {
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

// heartbeat returns a heartbeat with the goal of the sidecar's own model only:
// with 32 models, sending all goals on every link would take half of the
// bandwidth that a node may use.
func (d *Dispatcher) heartbeat(p *peer) messenger.Heartbeat {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m := messenger.Heartbeat{Revision: p.sentConfiguration.Revision}
	for _, g := range d.goals.All() {
		if g.Model == p.sentConfiguration.Model {
			m.Goals = append(m.Goals, g)
		}
	}
	return m
}
