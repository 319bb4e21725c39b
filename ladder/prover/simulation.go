// Package prover simulates complete deployments in memory with injected faults. It
// checks the system's promises by what is visible from outside: what the targets
// ran, which samples the trainer received and which answers the clients received.
package prover

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/faker/timer"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Options describe the deployment of a scenario.
type Options struct {
	// Engines has the options of each engine, one per target of the engine service.
	Engines []faker.EngineOptions
	// PlainTargets is the number of targets of the plain service.
	PlainTargets int
	// PlainDuration is how long a call of the plain service takes.
	PlainDuration time.Duration
	// Retention is how long the log keeps records; 0 keeps them forever.
	Retention time.Duration
	// StalenessBound is how many versions a token may be behind the trainer.
	StalenessBound uint64
	// FencingChecked tells the system that engines check fencing numbers.
	FencingChecked bool
}

// Hooks disable mechanisms of the system, to test that the checks detect it. The
// zero Hooks change nothing, and nil functions are not called.
type Hooks struct {
	Log    func(process string, l appender.Log) appender.Log
	Target func(process string, t caller.Target) caller.Target
	Link   func(process string, l messenger.Link) messenger.Link
	Entry  func(e fetcher.Entry) fetcher.Entry
	// StalenessBound, if not 0, replaces the staleness bound in the system's
	// configuration.
	StalenessBound uint64
	// HideLeaving kills a sidecar instead of draining it, and keeps the host list
	// from showing the target as leaving.
	HideLeaving bool
	// SkipDrain makes planned stops not wait for the calls in progress.
	SkipDrain bool
}

// pollTime is how long a read of the log waits for the first record.
const pollTime = 2 * time.Second

// Simulation is one run of a deployment: two entries, a sidecar for each target, and
// fakes of everything outside the system.
type Simulation struct {
	clock    clockwork.Clock
	options  Options
	hooks    Hooks
	injector *injector.Injector
	outside  *injector.Process

	log     *faker.Log
	ledger  *faker.Ledger
	network *faker.Network
	hosts   *faker.HostList
	engines map[identifier.TargetName]*faker.Engine

	// ctx is canceled by close.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mutex    sync.Mutex
	entries  map[string]*entry
	sidecars map[string]*sidecar
	// leaving has the time at which each target began to leave.
	leaving      map[identifier.TargetName]time.Time
	sent         []SentCall
	takenSamples []TakenSample
	// samplesRequested is how many samples the trainer has requested.
	samplesRequested int
	accepted         []AcceptedDocument
	// documents has the document that an entry first put in force under each
	// revision.
	documents  map[identifier.Revision]identifier.DocumentID
	violations []Violation
	// excused counts what was not served because no process knew the configuration.
	excused int
}

// entryNames are the names of the entries, which are also their addresses.
var entryNames = []string{"entry-1", "entry-2"}

// newSimulation starts a deployment and waits until its links are established.
func newSimulation(o Options, plan []injector.Injection, hooks Hooks) *Simulation {
	ctx, cancel := context.WithCancel(context.Background())
	clock := timer.NewClock()
	sim := &Simulation{
		clock: clock, options: o, hooks: hooks, ctx: ctx, cancel: cancel,
		log:    faker.NewLog(clock, faker.LogOptions{Retention: o.Retention, Poll: pollTime}),
		ledger: faker.NewLedger(), network: faker.NewNetwork(), hosts: faker.NewHostList(),
		engines: make(map[identifier.TargetName]*faker.Engine),
		entries: make(map[string]*entry), sidecars: make(map[string]*sidecar),
		leaving: make(map[identifier.TargetName]time.Time), documents: make(map[identifier.Revision]identifier.DocumentID),
	}
	sim.injector = injector.New(clock, injector.DefaultOptions(), plan, sim.restart)
	sim.outside = sim.injector.Start("outside")
	sim.publishFirstDocument()
	for _, name := range entryNames {
		sim.startEntry(name)
	}
	sim.setHosts("")
	for n, options := range o.Engines {
		name := identifier.TargetName(fmt.Sprintf("engine-%d", n+1))
		sim.engines[name] = faker.NewEngine(clock, name, sim.ledger, options)
		sim.startSidecar(&sidecar{target: name, service: engineService, backend: sim.engines[name], engine: true})
	}
	for n := range o.PlainTargets {
		name := identifier.TargetName(fmt.Sprintf("plain-%d", n+1))
		backend := faker.NewService(clock, name, sim.ledger, o.PlainDuration)
		sim.startSidecar(&sidecar{target: name, service: plainService, backend: backend})
	}
	sim.sleep(settleTime)
	return sim
}

// settleTime is enough to establish the links and distribute the first
// configuration.
const settleTime = time.Second

func (sim *Simulation) publishFirstDocument() {
	o := sim.options
	if sim.hooks.StalenessBound != 0 {
		o.StalenessBound = sim.hooks.StalenessBound
	}
	data, err := proposalRecord(documentOf(o, sim.clock.Now()))
	if err == nil {
		_, err = sim.log.Append(sim.ctx, appender.StreamConfiguration, [][]byte{data})
	}
	if err != nil {
		sim.reportViolation(promiseHarness, "first document: %v", err)
	}
}

// setHosts sets the host list to all entries and, if not empty, the leaving target.
func (sim *Simulation) setHosts(leaving identifier.TargetName) {
	var hosts []lister.Host
	for _, name := range entryNames {
		hosts = append(hosts, lister.Host{Name: name, Role: lister.RoleEntry, Address: name, State: lister.HostLive})
	}
	if leaving != "" {
		hosts = append(hosts, lister.Host{Name: string(leaving), Role: lister.RoleTarget, Address: string(leaving), State: lister.HostLeaving})
	}
	sim.hosts.Set(hosts...)
}

// close stops every process and waits for all goroutines.
func (sim *Simulation) close() {
	sim.cancel()
	sim.injector.Close()
	sim.tasks.Wait()
	sim.network.Wait()
}

func (sim *Simulation) sleep(d time.Duration) {
	select {
	case <-sim.clock.After(d):
	case <-sim.ctx.Done():
	}
}

// restartTime is how long a killed process stays down before it is restarted.
const restartTime = 500 * time.Millisecond

// restart restarts a killed process without any of its state.
func (sim *Simulation) restart(p *injector.Process) {
	sim.mutex.Lock()
	e, s := sim.entries[p.Name()], sim.sidecars[p.Name()]
	sim.mutex.Unlock()
	sim.tasks.Go(func() {
		switch {
		case e != nil && e.process == p:
			sim.network.Close(p.Name())
			e.stop()
			if sim.sleep(restartTime); sim.ctx.Err() == nil {
				sim.startEntry(p.Name())
			}
		case s != nil && s.process == p:
			s.stop()
			if sim.sleep(restartTime); sim.ctx.Err() == nil {
				sim.startSidecar(&sidecar{target: s.target, service: s.service, backend: s.backend, engine: s.engine})
			}
		}
	})
}

// Violation describes how a promise was broken.
type Violation struct {
	Promise string
	Text    string
}

// String formats the violation as promise: text.
func (v Violation) String() string { return v.Promise + ": " + v.Text }

// reportUnserved reports that something was not served. This is not a violation if
// the configuration is lost, that is, if the log's records have expired and no entry
// that read them is running. By docs/DESIGN.md entries then stay not ready.
func (sim *Simulation) reportUnserved(promise, format string, arguments ...any) {
	if !sim.configurationLost() {
		sim.reportViolation(promise, format, arguments...)
		return
	}
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.excused++
}

func (sim *Simulation) configurationLost() bool {
	for _, name := range entryNames {
		e := sim.entry(name)
		if s, _ := e.coordinator.Follower().State(); s.Document != nil {
			return false
		}
	}
	return sim.log.Forgot()
}

func (sim *Simulation) reportViolation(promise, format string, arguments ...any) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.violations = append(sim.violations, Violation{Promise: promise, Text: fmt.Sprintf(format, arguments...)})
}

// faultFired returns whether a fault of one of the kinds was injected at a step
// whose name begins with prefix.
func (sim *Simulation) faultFired(prefix string, kinds ...injector.Kind) bool {
	for _, f := range sim.injector.Fired() {
		for _, k := range kinds {
			if f.Kind == k && strings.HasPrefix(f.Step, prefix) {
				return true
			}
		}
	}
	return false
}
