// Package supervisor is the whole of a sidecar but its sockets: it keeps links
// to the entries, runs their work on the target beside it, and brings the
// engine to new weights.
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
	// Address is the target's, by which the host list names it.
	Address string
	// MaxLinks is how many entries are linked to at most, 0 for all.
	MaxLinks int
	// StaticEntries are the peer addresses, IP:port, known from the settings.
	StaticEntries []string
	// ListInterval is the time between two reads of the host list.
	ListInterval time.Duration
}

const (
	// firstSlots and firstQueue hold until a configuration comes.
	firstSlots, firstQueue = 1, 0
	// listTimeout bounds a read of the host list.
	listTimeout = 2 * time.Second
	// dialTimeout bounds a dial.
	dialTimeout = 3 * time.Second
	// firstPause and longestPause bound the wait between dials.
	firstPause, longestPause = 100 * time.Millisecond, 2 * time.Second
	// answerGrace is how long the answers to work given up may take to leave.
	answerGrace = 2 * time.Second
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
	// dialled has a channel for each entry's task, closed to retire its link.
	dialled map[string]chan struct{}
}

// New returns a Supervisor of target. hosts may be nil.
func New(clock clockwork.Clock, target caller.Target, dialer Dialer, hosts lister.HostList, options Options) *Supervisor {
	goals := converger.NewGoals(clock)
	beats := heartbeater.New(clock, options.Heartbeats)
	s := &Supervisor{
		clock: clock, dialer: dialer, hosts: hosts, options: options, goals: goals,
		executor: executor.New(clock, target, queuer.New(clock, queuer.ShortestFirst{EnginePreempts: options.Executor.ModelEngine}, firstSlots, firstQueue), beats, goals, options.Executor),
		dialled:  make(map[string]chan struct{}),
	}
	if options.Executor.ModelEngine {
		s.converger = converger.New(clock, target, goals, s.executor)
	}
	return s
}

// Executor returns what runs the work.
func (s *Supervisor) Executor() *executor.Executor { return s.executor }

// Run works until ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	keep := func(task string, run func(context.Context)) {
		tasks.Go(func() { recoverer.RestartOnPanic(ctx, s.clock, task, run) })
	}
	keep("work", s.executor.Run)
	if s.converger != nil {
		keep("weights", s.converger.Run)
		keep("news of weights", s.spreadGoals)
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

// spreadGoals tells every entry of new weights at once. A trainer tells one
// entry, so the news goes from link to link; waiting for a heartbeat at each
// would take longer than all engines may.
func (s *Supervisor) spreadGoals(ctx context.Context) {
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

// Drain refuses new work and finishes what there is. What is left when ctx ends
// gets a final answer; Drain returns how much that was.
func (s *Supervisor) Drain(ctx context.Context) int {
	s.executor.Leave(ctx)
	left := s.executor.Drain(ctx)
	if left > 0 {
		s.executor.CancelAll()
		ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), s.clock, answerGrace)
		defer cancel()
		s.executor.Drain(ctx)
	}
	return left
}
