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
	// routerSeed fixes the entries' random choices.
	routerSeed = 1
	// drainTimeout bounds a planned stop.
	drainTimeout = 30 * time.Second
	keyMaxAge    = 15 * time.Minute
	// sampleTimeout bounds one attempt at a sample.
	sampleTimeout = 30 * time.Second
	listInterval  = 2 * time.Second
)

// entry is one incarnation of an entry.
type entry struct {
	name        string
	process     *injector.Process
	coordinator *coordinator.Coordinator
	stop        context.CancelFunc
	// stopping is set when callers can't come in any longer.
	stopping atomic.Bool
	// open counts the calls of callers and trainers in progress.
	open atomic.Int64
}

func (w *Simulation) startEntry(name string) {
	ctx, stop := context.WithCancel(w.ctx)
	e := &entry{name: name, process: w.injector.Start(name), stop: stop}
	log := e.process.Log(w.log)
	if w.hooks.Log != nil {
		log = w.hooks.Log(name, log)
	}
	options := coordinator.Options{
		Dispatch: dispatcher.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(),
		Policy: router.LeastExpectedWait{}, KeyMaxAge: keyMaxAge, SampleTimeout: sampleTimeout,
		LogRetention: w.options.Retention, Peers: &peers{world: w, process: e.process},
	}
	options.Dispatch.Entry = identifier.EntryName(name)
	options.Dispatch.Incarnation = identifier.NewIncarnation()
	e.coordinator = coordinator.New(w.clock, log, router.NewRandom(routerSeed), recorder.New(), options)
	w.mutex.Lock()
	w.entries[name] = e
	w.mutex.Unlock()
	w.network.Listen(name, func(from string, l messenger.Link) {
		_ = e.coordinator.ServeLink(ctx, w.hookLink(name, e.process.Link(l, from)))
	})
	w.tasks.Go(func() { e.coordinator.Run(ctx) })
	w.tasks.Go(func() { w.watchRevision(ctx, e) })
}

func (w *Simulation) hookLink(process string, l messenger.Link) messenger.Link {
	if w.hooks.Link != nil {
		return w.hooks.Link(process, l)
	}
	return l
}

// stopEntry stops an entry as its program does: no more callers, then the
// requests in progress, then the links.
func (w *Simulation) stopEntry(name string) {
	e := w.entry(name)
	e.stopping.Store(true)
	if !w.hooks.SkipDrain {
		ends := w.clock.Now().Add(drainTimeout)
		for e.open.Load() > 0 && w.clock.Now().Before(ends) {
			w.sleep(20 * time.Millisecond)
		}
	}
	w.network.Close(name)
	e.stop()
}

func (w *Simulation) entry(name string) *entry {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.entries[name]
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

func (w *Simulation) startSidecar(s *sidecar) {
	ctx, stop := context.WithCancel(w.ctx)
	s.stop = stop
	s.process = w.injector.Start(s.name())
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
	if w.hooks.Target != nil {
		target = w.hooks.Target(s.name(), target)
	}
	dialer := &hookedDialer{Dialer: s.process.Dialer(w.network.Dialer(s.name()), names), world: w, process: s.name()}
	s.supervisor = supervisor.New(w.clock, target, dialer, s.process.HostList(w.hosts), options)
	w.mutex.Lock()
	w.sidecars[s.name()] = s
	w.mutex.Unlock()
	w.tasks.Go(func() { s.supervisor.Run(ctx) })
}

type hookedDialer struct {
	supervisor.Dialer
	world   *Simulation
	process string
}

func (d *hookedDialer) Dial(ctx context.Context, address string) (messenger.Link, error) {
	l, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return d.world.hookLink(d.process, l), nil
}

func (w *Simulation) sidecar(target identifier.TargetName) *sidecar {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.sidecars["sidecar-"+string(target)]
}

// leave has a target leave: the platform's list says so after its lag, and
// the sidecar is stopped as its program does it.
func (w *Simulation) leave(target identifier.TargetName) {
	const listLag = time.Second
	s := w.sidecar(target)
	w.mutex.Lock()
	w.leaving[target] = w.clock.Now()
	w.mutex.Unlock()
	if w.hooks.HideLeaving {
		s.process.Kill()
		return
	}
	w.tasks.Go(func() {
		w.sleep(listLag)
		w.setHosts(target)
	})
	w.stopSidecar(s)
}

// stopSidecar stops a sidecar as its program does: it finishes what it has.
func (w *Simulation) stopSidecar(s *sidecar) {
	timeout := drainTimeout
	if w.hooks.SkipDrain {
		timeout = 0
	}
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	s.supervisor.Drain(ctx)
	if s.process.WaitWhilePaused() == nil {
		s.stop()
	}
}
