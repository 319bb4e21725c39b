// Package supervisor implements a sidecar except for its sockets: it keeps links to the
// entries, runs their work on the target beside it, and updates the engine's weights.
package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// Dialer opens links to entries.
type Dialer interface {
	Dial(ctx context.Context, address string) (messenger.Link, error)
}

// Options are a Supervisor's settings.
type Options struct {
	Executor   executor.Options
	Heartbeats heartbeater.Options
	// Address is the target's address in the host list.
	Address string
	// MaxLinks is the maximum number of linked entries; 0 means all.
	MaxLinks int
	// StaticEntries are the peer addresses, IP:port, from the settings.
	StaticEntries []string
	// ListInterval is the time between two reads of the host list.
	ListInterval time.Duration
}

const (
	// initialSlots and initialQueue apply until a configuration arrives.
	initialSlots, initialQueue = 1, 0
	// listTimeout bounds a read of the host list.
	listTimeout = 2 * time.Second
	// dialTimeout bounds a dial.
	dialTimeout = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between dials.
	minRetryDelay, maxRetryDelay = 100 * time.Millisecond, 2 * time.Second
	// finalAnswerGrace is how long the final answers to abandoned work may take to be
	// sent.
	finalAnswerGrace = 2 * time.Second
)

// Supervisor is one sidecar.
type Supervisor struct {
	clock    clockwork.Clock
	dialer   Dialer
	hosts    lister.HostList
	executor *executor.Executor
	goals    *converger.Goals
	// converger is nil for a plain service.
	converger *converger.Converger
	options   Options

	mutex sync.Mutex
	// links holds, for each linked entry, a channel that is closed to retire the
	// link.
	links map[string]chan struct{}
}

// New returns a Supervisor for target. hosts may be nil.
func New(clock clockwork.Clock, target caller.Target, dialer Dialer, hosts lister.HostList, options Options) *Supervisor {
	goals := converger.NewGoals(clock)
	heartbeats := heartbeater.New(clock, options.Heartbeats)
	s := &Supervisor{
		clock: clock, dialer: dialer, hosts: hosts, options: options, goals: goals,
		executor: executor.New(clock, target, queuer.New(clock, queuer.ShortestFirst{EnginePreempts: options.Executor.ModelEngine}, initialSlots, initialQueue), heartbeats, goals, options.Executor),
		links:    make(map[string]chan struct{}),
	}
	if options.Executor.ModelEngine {
		s.converger = converger.New(clock, target, goals, s.executor)
	}
	return s
}

// Executor returns the executor, which runs the work.
func (s *Supervisor) Executor() *executor.Executor { return s.executor }

// Run runs the sidecar until ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	start := func(task string, run func(context.Context)) {
		tasks.Go(func() { recoverer.RestartOnPanic(ctx, s.clock, task, run) })
	}
	start("work", s.executor.Run)
	if s.converger != nil {
		start("weights", s.converger.Run)
		start("weight announcements", s.announceGoals)
	}
	for {
		s.followHosts(ctx, &tasks)
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(s.options.ListInterval):
		}
	}
}

// announceGoals announces new weights to every entry at once. A trainer announces them to
// one entry and they spread from link to link; waiting for a heartbeat at each link
// would take longer than the time within which all engines must switch.
func (s *Supervisor) announceGoals(ctx context.Context) {
	for {
		changed := s.goals.Changed()
		s.executor.Announce(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Drain refuses new work and finishes running work. Work that is left when ctx ends
// gets a final answer; Drain returns the amount of that work.
func (s *Supervisor) Drain(ctx context.Context) int {
	s.executor.Leave(ctx)
	left := s.executor.Drain(ctx)
	if left > 0 {
		s.executor.CancelAll()
		ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), s.clock, finalAnswerGrace)
		defer cancel()
		s.executor.Drain(ctx)
	}
	return left
}
