// Package coordinator implements an entry except for its listeners: it combines
// authorization, the configuration in force, and the dispatch of requests and samples
// to targets.
package coordinator

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/claimer"
	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// Options are a Coordinator's settings.
type Options struct {
	Dispatch   dispatcher.Options
	Heartbeats heartbeater.Options
	Policy     router.Policy
	// KeyMaxAge is the maximum age of an accepted idempotency key; it is shorter than
	// the time for which the log retains claims.
	KeyMaxAge time.Duration
	// SampleTimeout bounds one attempt at a sample.
	SampleTimeout time.Duration
	// LogRetention is how long the log retains records; 0 means for ever.
	LogRetention time.Duration
	// Peers supply the configuration in force when the log can't; nil if there are
	// none.
	Peers accepter.Peers
}

// The retry budget allows retries for a tenth of the recent successes, and starts with
// a few.
const (
	retryShare = 0.1
	retryBurst = 20
)

// Coordinator is one entry.
type Coordinator struct {
	clock      clockwork.Clock
	options    Options
	follower   *accepter.Follower
	goals      *converger.Goals
	dispatcher *dispatcher.Dispatcher
	deliverer  *deliverer.Deliverer
	claimer    *claimer.Claimer
	limiter    *limiter.Limiter
	recorder   *recorder.Recorder
	explainer  *explainer.DecisionLog
	startedAt  time.Time

	mutex sync.Mutex
	// cachedIndex is the index of the last used document.
	cachedIndex *authorizer.Index
}

// New returns a Coordinator that follows log. It accepts no calls until it has reached
// the end of the log once.
func New(clock clockwork.Clock, log appender.Log, random router.Random, r *recorder.Recorder, options Options) *Coordinator {
	log = appender.NewCircuitBreaker(clock, log)
	c := &Coordinator{
		clock: clock, options: options, recorder: r, startedAt: clock.Now(),
		follower: accepter.NewFollower(clock, log, options.Peers, router.NewRandom(uint64(random.IntN(math.MaxInt32))),
			accepter.Options{Retention: options.LogRetention}),
		goals:   converger.NewGoals(clock),
		claimer: claimer.New(clock, log, options.KeyMaxAge),
		limiter: limiter.New(clock), explainer: explainer.NewDecisionLog(),
	}
	c.dispatcher = dispatcher.New(
		clock, router.New(clock, random, options.Policy), heartbeater.New(clock, options.Heartbeats),
		limiter.NewRetryBudget(retryShare, retryBurst), c.goals, configurations{c.follower}, options.Dispatch,
	)
	c.deliverer = deliverer.New(clock, &generator{coordinator: c}, c.goals)
	return c
}

// Run follows the log and distributes the configuration in force until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	start := func(task string, run func(context.Context)) {
		tasks.Go(func() { recoverer.RestartOnPanic(ctx, c.clock, task, run) })
	}
	start("log", c.follower.Run)
	start("samples", c.deliverer.Run)
	start("configuration", c.distributeConfiguration)
	start("weight announcements", c.announceGoals)
}

// RedirectTrainers sends trainers to other entries. Other calls are still accepted.
func (c *Coordinator) RedirectTrainers() { c.deliverer.CloseSessions() }

// ServeLink serves the link to one sidecar until it fails or ctx ends.
func (c *Coordinator) ServeLink(ctx context.Context, l messenger.Link) error {
	return c.dispatcher.Serve(ctx, l)
}

func (c *Coordinator) distributeConfiguration(ctx context.Context) {
	var sent identifier.Revision
	for {
		changed := c.follower.Changed()
		if s, _ := c.follower.State(); s.Revision != sent {
			sent = s.Revision
			klog.InfoS("configuration in force", "revision", s.Revision)
			c.dispatcher.Configure(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coordinator) announceGoals(ctx context.Context) {
	for {
		changed := c.goals.Changed()
		c.dispatcher.AnnounceGoals(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// index returns the authorization index of the document in force.
func (c *Coordinator) index() *authorizer.Index {
	s, _ := c.follower.State()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cachedIndex == nil || c.cachedIndex.Document() != s.Document {
		c.cachedIndex = authorizer.NewIndex(s.Document, c.cachedIndex)
	}
	return c.cachedIndex
}

// startupGrace is how long a new entry waits for targets of every service before it
// reports itself ready. Sidecars dial a restarted entry within this time.
const startupGrace = 10 * time.Second

// Ready reports whether the entry has a configuration in force and has had time to
// learn of targets. A service without any target does not delay it for ever.
func (c *Coordinator) Ready() bool {
	s, caughtUp := c.follower.State()
	if !caughtUp || s.Document == nil {
		return false
	}
	if c.clock.Since(c.startedAt) > startupGrace {
		return true
	}
	usable := make(map[identifier.ServiceName]bool)
	for _, t := range c.dispatcher.Targets() {
		if t.Usable {
			usable[t.Service] = true
		}
	}
	for _, service := range s.Document.Services {
		if !usable[service.Name] {
			return false
		}
	}
	return true
}

// Status describes an entry and its neighbours. The console's template live.html refers
// to its fields by name.
type Status struct {
	Entry       identifier.EntryName      `json:"entry"`
	Zone        identifier.ZoneName       `json:"zone"`
	Incarnation identifier.Incarnation    `json:"incarnation"`
	Revision    identifier.Revision       `json:"revision"`
	Ready       bool                      `json:"ready"`
	Targets     []dispatcher.TargetStatus `json:"targets"`
	Sessions    []deliverer.SessionStatus `json:"sessions"`
	Goals       []messenger.WeightGoal    `json:"goals"`
	Dropped     uint64                    `json:"dropped-answers"`
	Counters    map[string]int64          `json:"counters"`
	Histograms  []recorder.Summary        `json:"histograms"`
}

// Status returns the entry's status.
func (c *Coordinator) Status() Status {
	s, _ := c.follower.State()
	return Status{
		Entry: c.options.Dispatch.Entry, Zone: c.options.Dispatch.Zone, Incarnation: c.options.Dispatch.Incarnation,
		Revision: s.Revision, Ready: c.Ready(),
		Targets: c.dispatcher.Targets(), Sessions: c.deliverer.Sessions(), Goals: c.goals.All(),
		Dropped: c.dispatcher.DroppedResponses(), Counters: c.recorder.Counters(), Histograms: c.recorder.Summaries(),
	}
}

// Follower returns the follower of the accepted configuration.
func (c *Coordinator) Follower() *accepter.Follower { return c.follower }

// Explainer returns the store of recent decisions.
func (c *Coordinator) Explainer() *explainer.DecisionLog { return c.explainer }

// Name returns this entry's name.
func (c *Coordinator) Name() identifier.EntryName { return c.options.Dispatch.Entry }

// configurations derives sidecar configurations from the accepted document.
type configurations struct{ follower *accepter.Follower }

// For implements dispatcher.Configurations.
func (c configurations) For(service identifier.ServiceName, rank, peers int) (messenger.Configuration, bool) {
	state, _ := c.follower.State()
	if state.Document == nil {
		return messenger.Configuration{}, false
	}
	s, ok := state.Document.ServiceByName(service)
	if !ok {
		// The service is not in the document: its sidecars accept no work.
		return messenger.Configuration{Revision: state.Revision}, true
	}
	return messenger.Configuration{
		Revision: state.Revision, Slots: s.Slots, QueueLimit: s.QueueLimit, Model: s.Model,
		FencingChecked: s.FencingChecked, AwayPercent: s.AwayPercent, Peers: peers, Rank: rank,
		CrashQuarantine: time.Duration(state.Document.Limits.CrashQuarantineSeconds) * time.Second,
	}, true
}
