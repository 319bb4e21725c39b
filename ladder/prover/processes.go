package prover

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
)

const (
	// routerSeed makes the entries' random choices repeatable.
	routerSeed = 1
	// drainTimeout is the maximum duration of a planned stop.
	drainTimeout = 30 * time.Second
	keyMaxAge    = 15 * time.Minute
	// sampleTimeout is the time-out of one attempt at a sample.
	sampleTimeout = 30 * time.Second
	listInterval  = 2 * time.Second
)

// entry is one incarnation of an entry.
type entry struct {
	name        string
	process     *injector.Process
	coordinator *coordinator.Coordinator
	stop        context.CancelFunc
	// stopping is set when the entry accepts no more calls.
	stopping atomic.Bool
	// openCalls is the number of calls of clients and trainers in progress.
	openCalls atomic.Int64
}

func (sim *Simulation) startEntry(name string) {
	ctx, stop := context.WithCancel(sim.ctx)
	e := &entry{name: name, process: sim.injector.Start(name), stop: stop}
	log := e.process.Log(sim.log)
	if sim.hooks.Log != nil {
		log = sim.hooks.Log(name, log)
	}
	options := coordinator.Options{
		Dispatch: dispatcher.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(),
		Policy: router.LeastExpectedWait{}, KeyMaxAge: keyMaxAge, SampleTimeout: sampleTimeout,
		LogRetention: sim.options.Retention, Peers: &peers{sim: sim, process: e.process},
	}
	options.Dispatch.Entry = identifier.EntryName(name)
	options.Dispatch.Incarnation = identifier.NewIncarnation()
	e.coordinator = coordinator.New(sim.clock, log, router.NewRandom(routerSeed), recorder.New(), options)
	sim.mutex.Lock()
	sim.entries[name] = e
	sim.mutex.Unlock()
	sim.network.Listen(name, func(from string, l messenger.Link) {
		_ = e.coordinator.ServeLink(ctx, sim.hookLink(name, e.process.Link(l, from)))
	})
	sim.tasks.Go(func() { e.coordinator.Run(ctx) })
	sim.tasks.Go(func() { sim.watchRevision(ctx, e) })
}

func (sim *Simulation) hookLink(process string, l messenger.Link) messenger.Link {
	if sim.hooks.Link != nil {
		return sim.hooks.Link(process, l)
	}
	return l
}

// stopEntry stops an entry in the order of its program: it accepts no more calls,
// waits at most drainTimeout for the calls in progress, and then closes the links.
func (sim *Simulation) stopEntry(name string) {
	e := sim.entry(name)
	e.stopping.Store(true)
	if !sim.hooks.SkipDrain {
		deadline := sim.clock.Now().Add(drainTimeout)
		for e.openCalls.Load() > 0 && sim.clock.Now().Before(deadline) {
			sim.sleep(20 * time.Millisecond)
		}
	}
	sim.network.Close(name)
	e.stop()
}

func (sim *Simulation) entry(name string) *entry {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.entries[name]
}

// sidecar is one incarnation of a sidecar.
type sidecar struct {
	target     identifier.TargetName
	service    identifier.ServiceName
	backend    caller.Target
	engine     bool
	process    *injector.Process
	supervisor *supervisor.Supervisor
	stop       context.CancelFunc
}

func (s *sidecar) name() string { return "sidecar-" + string(s.target) }

func (sim *Simulation) startSidecar(s *sidecar) {
	ctx, stop := context.WithCancel(sim.ctx)
	s.stop = stop
	s.process = sim.injector.Start(s.name())
	options := supervisor.Options{
		Executor: executor.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(),
		ListInterval: listInterval, Address: string(s.target),
	}
	options.Executor.Target, options.Executor.Service = s.target, s.service
	options.Executor.Incarnation = identifier.NewIncarnation()
	options.Executor.ModelEngine = s.engine
	names := make(map[string]string)
	for _, name := range entryNames {
		names[name] = name
	}
	target := s.process.Target(s.backend)
	if sim.hooks.Target != nil {
		target = sim.hooks.Target(s.name(), target)
	}
	dialer := &hookedDialer{Dialer: s.process.Dialer(sim.network.Dialer(s.name()), names), sim: sim, process: s.name()}
	s.supervisor = supervisor.New(sim.clock, target, dialer, s.process.HostList(sim.hosts), options)
	sim.mutex.Lock()
	sim.sidecars[s.name()] = s
	sim.mutex.Unlock()
	sim.tasks.Go(func() { s.supervisor.Run(ctx) })
}

type hookedDialer struct {
	supervisor.Dialer
	sim     *Simulation
	process string
}

func (d *hookedDialer) Dial(ctx context.Context, address string) (messenger.Link, error) {
	l, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return d.sim.hookLink(d.process, l), nil
}

func (sim *Simulation) sidecar(target identifier.TargetName) *sidecar {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.sidecars["sidecar-"+string(target)]
}

// stopTarget starts a planned stop of a target: the platform's host list shows the
// target as leaving after a lag, and its sidecar is stopped at once.
func (sim *Simulation) stopTarget(target identifier.TargetName) {
	const listLag = time.Second
	s := sim.sidecar(target)
	sim.mutex.Lock()
	sim.leaving[target] = sim.clock.Now()
	sim.mutex.Unlock()
	if sim.hooks.HideLeaving {
		s.process.Kill()
		return
	}
	sim.tasks.Go(func() {
		sim.sleep(listLag)
		sim.setHosts(target)
	})
	sim.stopSidecar(s)
}

// stopSidecar stops a sidecar as its program does, after it has drained.
func (sim *Simulation) stopSidecar(s *sidecar) {
	timeout := drainTimeout
	if sim.hooks.SkipDrain {
		timeout = 0
	}
	ctx, cancel := context.WithTimeout(sim.ctx, timeout)
	defer cancel()
	s.supervisor.Drain(ctx)
	if s.process.WaitWhilePaused() == nil {
		s.stop()
	}
}
