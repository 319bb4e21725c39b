// Package supervisor is the whole of a sidecar but its sockets: it keeps links
// to the entries, runs their work on the target beside it, and brings the
// engine to new weights.
package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
)

// Dialer opens links to entries.
type Dialer interface {
	Dial(ctx context.Context, address string) (messenger.Link, error)
}

// Options are a Supervisor's settings.
type Options struct {
	Executor   executor.Options
	Heartbeats heartbeater.Options
	// Entries are the peer addresses, IP:port, known from the settings.
	Entries []string
	// ListInterval is the time between two reads of the host list.
	ListInterval time.Duration
}

const (
	// firstSlots and firstQueue hold until a configuration comes.
	firstSlots, firstQueue = 1, 0
	// dialTimeout bounds a dial.
	dialTimeout = 3 * time.Second
	// firstPause and longestPause bound the wait between dials.
	firstPause, longestPause = 100 * time.Millisecond, 2 * time.Second
)

// Supervisor is one sidecar.
type Supervisor struct {
	clock    clockwork.Clock
	dialer   Dialer
	hosts    lister.HostList
	executor *executor.Executor
	// converger is nil for a plain service.
	converger *converger.Converger
	options   Options

	mutex sync.Mutex
	// dialled has the stop function of each entry's task.
	dialled map[string]context.CancelFunc
}

// New returns a Supervisor of target. hosts may be nil.
func New(clock clockwork.Clock, target caller.Target, dialer Dialer, hosts lister.HostList, options Options) *Supervisor {
	goals := converger.NewGoals(clock)
	beats := heartbeater.New(clock, options.Heartbeats)
	s := &Supervisor{
		clock: clock, dialer: dialer, hosts: hosts, options: options,
		executor: executor.New(clock, target, queuer.New(clock, queuer.ShortFirst{Pauses: options.Executor.Engine}, firstSlots, firstQueue), beats, goals, options.Executor),
		dialled:  make(map[string]context.CancelFunc),
	}
	if options.Executor.Engine {
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
	tasks.Go(func() { s.executor.Run(ctx) })
	if s.converger != nil {
		tasks.Go(func() { s.converger.Run(ctx) })
	}
	for {
		s.adjust(ctx, &tasks, s.entries(ctx))
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(s.options.ListInterval):
		}
	}
}

// Stop refuses new work, finishes what there is, and returns how much was
// left when ctx ended.
func (s *Supervisor) Stop(ctx context.Context) int {
	s.executor.Leave(ctx)
	return s.executor.Drain(ctx)
}

// entries returns the peer addresses from the settings and the host list. A
// list that can't be read changes nothing.
func (s *Supervisor) entries(ctx context.Context) map[string]bool {
	wanted := make(map[string]bool)
	for _, address := range s.options.Entries {
		wanted[address] = true
	}
	if s.hosts == nil {
		return wanted
	}
	hosts, err := s.hosts.Hosts(ctx)
	if err != nil {
		klog.V(1).InfoS("host list not read", "err", err)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for address := range s.dialled {
			wanted[address] = true
		}
		return wanted
	}
	for _, h := range hosts {
		if h.Role == lister.RoleEntry {
			wanted[h.Address] = true
		}
	}
	return wanted
}

// adjust starts a task for each new entry and stops those of entries gone.
func (s *Supervisor) adjust(ctx context.Context, tasks *conc.WaitGroup, wanted map[string]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, stop := range s.dialled {
		if !wanted[address] {
			stop()
			delete(s.dialled, address)
		}
	}
	for address := range wanted {
		if _, ok := s.dialled[address]; ok || ctx.Err() != nil {
			continue
		}
		entryCtx, stop := context.WithCancel(ctx)
		s.dialled[address] = stop
		tasks.Go(func() { s.keepLinked(entryCtx, address) })
	}
}

// keepLinked dials an entry again and again until ctx ends.
func (s *Supervisor) keepLinked(ctx context.Context, address string) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, longestPause
	for ctx.Err() == nil {
		began := s.clock.Now()
		err := s.serve(ctx, address)
		if s.clock.Since(began) > longestPause {
			pauses.Reset()
		}
		klog.V(1).InfoS("link to entry ended", "entry", address, "err", err)
		select {
		case <-ctx.Done():
		case <-s.clock.After(pauses.NextBackOff()):
		}
	}
}

func (s *Supervisor) serve(ctx context.Context, address string) error {
	dialCtx, cancel := clockwork.WithTimeout(ctx, s.clock, dialTimeout)
	defer cancel()
	l, err := s.dialer.Dial(dialCtx, address)
	if err != nil {
		return err
	}
	defer l.Close()
	klog.InfoS("linked to entry", "entry", address)
	return s.executor.Serve(ctx, l)
}
