// Package executor runs at a sidecar: it takes requests from entries over
// links, hands them to the one target beside it, and keeps every answer until
// the entry has it whole.
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

// A sidecar answers "never started" only for an attempt that it has no trace
// of, and leaves a tombstone by answering. Since it forgets old traces, it
// says so only of requests younger than its memory.

// Options are an Executor's settings.
type Options struct {
	Target      identifier.TargetName
	Service     identifier.ServiceName
	Zone        identifier.ZoneName
	Incarnation identifier.Incarnation
	// ModelEngine says that the target is a model engine: its state is read.
	ModelEngine bool
	// TraceRetention is how long traces of ended attempts are kept. It is longer than
	// any caller may wait.
	TraceRetention time.Duration
	// ResponseRetention is how long an answer that nobody has taken is kept.
	ResponseRetention time.Duration
	// OrphanTimeout is how long live work goes on after its link failed.
	OrphanTimeout time.Duration
	// MinDrainTime is how long a leaving sidecar stays at least, to refuse what was
	// sent before its entries knew. It is longer than a silent link goes
	// unnoticed.
	MinDrainTime time.Duration
}

// DefaultOptions returns the usual times.
func DefaultOptions() Options {
	return Options{TraceRetention: 20 * time.Minute, ResponseRetention: 5 * time.Minute, OrphanTimeout: 10 * time.Second, MinDrainTime: 4500 * time.Millisecond}
}

// Goals is where weight goals are kept and spread from.
type Goals interface {
	// Learn takes goals that a peer has sent.
	Learn(goals []messenger.WeightGoal)
	// All returns every goal known.
	All() []messenger.WeightGoal
}

// Executor runs requests on one target.
type Executor struct {
	clock   clockwork.Clock
	target  caller.Target
	queue   *queuer.Queuer
	beats   *heartbeater.Heartbeater
	goals   Goals
	options Options
	// quarantine knows which requests may not run, or only alone.
	quarantine *quarantiner.Quarantiner
	// crashes is held while a crash is being reported.
	crashes sync.Mutex

	mutex sync.Mutex
	// jobs has every attempt whose answer is still held.
	jobs map[key]*job
	// traces has every attempt that was refused or has ended, until it is
	// older than Memory. An attempt is never in jobs and traces at once.
	traces map[key]trace
	// kept names the jobs whose answers are kept though taken, oldest first. A
	// name may outlive its job.
	kept []key
	// links are those that heartbeats go out on; true for one that retires.
	links map[messenger.Link]bool
	// configuration is the newest received.
	configuration messenger.Configuration
	leaving       bool
	// leftAt is when leaving was set.
	leftAt time.Time
	// version is the weight version last read from the engine.
	version identifier.WeightVersion
	// switchTime is how long the engine's last switch took.
	switchTime time.Duration
}

type key struct {
	request identifier.RequestID
	attempt identifier.AttemptNumber
}

// New returns an Executor for target.
func New(clock clockwork.Clock, target caller.Target, q *queuer.Queuer, beats *heartbeater.Heartbeater, goals Goals, options Options) *Executor {
	return &Executor{
		clock: clock, target: target, queue: q, beats: beats, goals: goals, options: options,
		quarantine: quarantiner.New(clock),
		jobs:       make(map[key]*job),
		traces:     make(map[key]trace),
		links:      make(map[messenger.Link]bool),
	}
}

// Serve talks to one entry over link until it fails or ctx ends.
func (e *Executor) Serve(ctx context.Context, l messenger.Link) error {
	if err := e.beats.SendWithDeadline(ctx, l, e.hello()); err != nil {
		return err
	}
	for _, m := range e.quarantine.Crashes() {
		if err := e.beats.SendWithDeadline(ctx, l, m); err != nil {
			return err
		}
	}
	e.setLink(l, true)
	defer e.orphan(l)
	defer e.setLink(l, false)
	ctx, cancel := context.WithCancel(ctx)
	var pumps conc.WaitGroup
	defer pumps.Wait()
	defer cancel()
	c := &connection{executor: e, link: l, pumps: &pumps, ctx: ctx}
	return e.beats.Run(ctx, l, func() messenger.Heartbeat { return e.heartbeat(l) }, c.handle)
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

// SetVersion notes the weight version read from the engine.
func (e *Executor) SetVersion(v identifier.WeightVersion) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.version = v
}

// SetSwitchTime notes how long a switch of weights took.
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

// Announce sends a heartbeat on every link at once, for news that can't wait.
func (e *Executor) Announce(ctx context.Context) {
	e.eachLink(ctx, nil, func(l messenger.Link) messenger.Message { return e.heartbeat(l) })
}

// broadcast sends a message on every link but one.
func (e *Executor) broadcast(ctx context.Context, except messenger.Link, m messenger.Message) {
	e.eachLink(ctx, except, func(messenger.Link) messenger.Message { return m })
}

// eachLink sends each link but one its message, all at once, and returns when
// they have gone out.
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
		tasks.Go(func() { _ = e.beats.SendWithDeadline(ctx, l, messageFor(l)) })
	}
}

func (e *Executor) setLink(l messenger.Link, up bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if up {
		e.links[l] = false
	} else {
		delete(e.links, l)
	}
}

var errUnexpected = errors.New("message not for a sidecar")
