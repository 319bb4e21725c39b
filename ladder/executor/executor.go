// Package executor runs in a sidecar: it accepts requests from entries over
// links, runs them on the local target, and keeps every response until the
// entry has received all of it.
package executor

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
)

// A sidecar reports "never started" only for an attempt of which it has no
// trace, and records a tombstone when it does. Since old traces are deleted, it
// reports this only for requests younger than the trace retention.

// Options configure an Executor.
type Options struct {
	Target      identifier.TargetName
	Service     identifier.ServiceName
	Zone        identifier.ZoneName
	Incarnation identifier.Incarnation
	// ModelEngine is set if the target is a model engine; its state is then
	// read before and after each attempt.
	ModelEngine bool
	// TraceRetention is how long traces of ended attempts are kept. It is
	// longer than any caller may wait.
	TraceRetention time.Duration
	// ResponseRetention is how long a response is kept that no entry has
	// received.
	ResponseRetention time.Duration
	// OrphanTimeout is how long live work continues after its link failed.
	OrphanTimeout time.Duration
	// MinDrainTime is the minimum time for which a leaving sidecar stays up to
	// refuse requests that were sent before the entries knew. It is longer than
	// the time after which a silent link is detected.
	MinDrainTime time.Duration
}

// DefaultOptions returns the default timeouts.
func DefaultOptions() Options {
	return Options{TraceRetention: 20 * time.Minute, ResponseRetention: 5 * time.Minute, OrphanTimeout: 10 * time.Second, MinDrainTime: 4500 * time.Millisecond}
}

// Goals stores the weight goals that entries and sidecars exchange.
type Goals interface {
	// Learn takes goals that a peer has sent.
	Learn(goals []messenger.WeightGoal)
	// All returns every goal known.
	All() []messenger.WeightGoal
}

// Executor runs requests on one target.
type Executor struct {
	clock      clockwork.Clock
	target     caller.Target
	queue      *queuer.Queuer
	heartbeats *heartbeater.Heartbeater
	goals      Goals
	options    Options
	// quarantine knows which requests may not run, or only exclusively.
	quarantine *quarantiner.Quarantiner
	// crashReport is held while a crash is being reported.
	crashReport sync.Mutex

	mutex sync.Mutex
	// attempts has every attempt whose response is still held.
	attempts map[attemptKey]*attempt
	// traces has every attempt that was refused or has ended and is no longer
	// held, until it is older than TraceRetention. No attempt is in both
	// attempts and traces.
	traces map[attemptKey]trace
	// retained lists the attempts whose responses are kept after delivery,
	// oldest first. It may list attempts that are no longer held.
	retained []attemptKey
	// links has the links on which heartbeats are sent; true for a link that is
	// being retired.
	links map[messenger.Link]bool
	// configuration is the newest received.
	configuration messenger.Configuration
	leaving       bool
	// leftAt is when leaving was set.
	leftAt time.Time
	// version is the weight version last read from the engine.
	version identifier.WeightVersion
	// switchTime is how long the engine's last weight switch took.
	switchTime time.Duration
}

type attemptKey struct {
	request identifier.RequestID
	attempt identifier.AttemptNumber
}

// New returns an Executor for target without entries; Serve adds them.
func New(clock clockwork.Clock, target caller.Target, queue *queuer.Queuer, heartbeats *heartbeater.Heartbeater, goals Goals, options Options) *Executor {
	return &Executor{
		clock: clock, target: target, queue: queue, heartbeats: heartbeats, goals: goals, options: options,
		quarantine: quarantiner.New(clock),
		attempts:   make(map[attemptKey]*attempt),
		traces:     make(map[attemptKey]trace),
		links:      make(map[messenger.Link]bool),
	}
}

// Serve serves the link of one entry until it fails or ctx ends.
func (e *Executor) Serve(ctx context.Context, l messenger.Link) error {
	if err := e.heartbeats.SendWithDeadline(ctx, l, e.hello()); err != nil {
		return err
	}
	for _, m := range e.quarantine.Crashes() {
		if err := e.heartbeats.SendWithDeadline(ctx, l, m); err != nil {
			return err
		}
	}
	e.setLink(l, true)
	defer e.scheduleOrphanCancel(l)
	defer e.setLink(l, false)
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	c := &connection{executor: e, link: l, tasks: &tasks, ctx: ctx}
	return e.heartbeats.Run(ctx, l, func() messenger.Heartbeat { return e.heartbeat(l) }, c.handle)
}

func (e *Executor) hello() messenger.Hello {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return messenger.Hello{
		Name: string(e.options.Target), Incarnation: e.options.Incarnation,
		Zone: e.options.Zone, Service: e.options.Service,
		Revision: e.configuration.Revision, Leaving: e.leaving, Goals: e.goals.All(),
	}
}

func (e *Executor) heartbeat(l messenger.Link) messenger.Heartbeat {
	running, waiting, slots := e.queue.Counts()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return messenger.Heartbeat{
		Revision: e.configuration.Revision, Leaving: e.leaving || e.links[l], Goals: e.goals.All(),
		Load: messenger.Load{InFlight: running, Queued: waiting, Slots: slots, Version: e.version, SwitchTime: e.switchTime},
	}
}

// SetVersion records the weight version read from the engine.
func (e *Executor) SetVersion(v identifier.WeightVersion) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.version = v
}

// SetSwitchTime records how long a weight switch took.
func (e *Executor) SetSwitchTime(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.switchTime = d
}

// Version returns the weight version last read from the engine.
func (e *Executor) Version() identifier.WeightVersion {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.version
}

// Configuration returns the newest configuration received.
func (e *Executor) Configuration() messenger.Configuration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.configuration
}

// Announce sends a heartbeat on every link immediately, for changes that can't
// wait for the next periodic heartbeat.
func (e *Executor) Announce(ctx context.Context) {
	e.eachLink(ctx, nil, func(l messenger.Link) messenger.Message { return e.heartbeat(l) })
}

// broadcast sends a message on every link except one.
func (e *Executor) broadcast(ctx context.Context, except messenger.Link, m messenger.Message) {
	e.eachLink(ctx, except, func(messenger.Link) messenger.Message { return m })
}

// eachLink sends a message on every link except one, concurrently, and returns
// when all are sent.
func (e *Executor) eachLink(ctx context.Context, except messenger.Link, messageFor func(messenger.Link) messenger.Message) {
	e.mutex.Lock()
	links := make([]messenger.Link, 0, len(e.links))
	for l := range e.links {
		if l != except {
			links = append(links, l)
		}
	}
	e.mutex.Unlock()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, l := range links {
		tasks.Go(func() { _ = e.heartbeats.SendWithDeadline(ctx, l, messageFor(l)) })
	}
}

func (e *Executor) setLink(l messenger.Link, linked bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if linked {
		e.links[l] = false
	} else {
		delete(e.links, l)
	}
}

var errUnexpectedMessage = errors.New("message type not valid for a sidecar")
