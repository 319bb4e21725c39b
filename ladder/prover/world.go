// Package prover runs whole deployments in memory under injected faults, and
// checks the promises from outside: by what the targets ran, what the trainer
// took and what callers were answered.
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
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Options say what a scenario's deployment is.
type Options struct {
	// Engines has one engine per target of the model's service.
	Engines []faker.EngineOptions
	// PlainTargets is how many targets the plain service has.
	PlainTargets int
	// PlainDuration is the duration of a call of the plain service.
	PlainDuration time.Duration
	// Retention is how long the log keeps records, 0 for ever.
	Retention time.Duration
	// StalenessBound is the staleness bound.
	StalenessBound uint64
	FencingChecked bool
}

// Hooks switch a mechanism off, to show that the checks see it. The zero
// Hooks change nothing; a nil function is passed over.
type Hooks struct {
	Log    func(process string, l appender.Log) appender.Log
	Target func(process string, t caller.Target) caller.Target
	Link   func(process string, l messenger.Link) messenger.Link
	Entry  func(e fetcher.Entry) fetcher.Entry
	// StalenessBound, if not 0, replaces the staleness bound that the system is told.
	StalenessBound uint64
	// HideLeaving kills a sidecar that should leave, and hides that the
	// host list says so.
	HideLeaving bool
	// SkipDrain gives planned stops no time.
	SkipDrain bool
}

// pollTime is how long the log holds a read that finds nothing.
const pollTime = 2 * time.Second

// Simulation is one deployment: two entries, a sidecar beside each target, and
// everything outside.
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

	// ctx ends with the world.
	ctx   context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup

	mutex    sync.Mutex
	entries  map[string]*entry
	sidecars map[string]*sidecar
	// leaving has when each leaving target was announced.
	leaving map[identifier.TargetName]time.Time
	sent    []SentCall
	taken   []TakenSample
	// wanted is how many samples the trainer has asked for.
	wanted   int
	accepted []AcceptedDocument
	// inForce has the document that was first seen under each revision.
	inForce    map[identifier.Revision]identifier.DocumentID
	violations []Violation
	// excused counts what could not be served since nothing was known.
	excused int
}

// entryNames are the entries of every deployment; they are their addresses.
var entryNames = []string{"entry-1", "entry-2"}

// newWorld starts a deployment and waits until it is linked.
func newWorld(o Options, plan []injector.Injection, hooks Hooks) *Simulation {
	ctx, end := context.WithCancel(context.Background())
	clock := clockwork.NewRealClock()
	w := &Simulation{
		clock: clock, options: o, hooks: hooks, ctx: ctx, end: end,
		log:    faker.NewLog(clock, faker.LogOptions{Retention: o.Retention, Poll: pollTime}),
		ledger: faker.NewLedger(), network: faker.NewNetwork(), hosts: faker.NewHostList(),
		engines: make(map[identifier.TargetName]*faker.Engine),
		entries: make(map[string]*entry), sidecars: make(map[string]*sidecar),
		leaving: make(map[identifier.TargetName]time.Time), inForce: make(map[identifier.Revision]identifier.DocumentID),
	}
	w.injector = injector.New(clock, injector.DefaultOptions(), plan, w.replace)
	w.outside = w.injector.Start("outside")
	w.publishFirst()
	for _, name := range entryNames {
		w.startEntry(name)
	}
	w.setHosts("")
	for n, options := range o.Engines {
		name := identifier.TargetName(fmt.Sprintf("engine-%d", n+1))
		w.engines[name] = faker.NewEngine(clock, name, w.ledger, options)
		w.startSidecar(&sidecar{target: name, service: engineService, backend: w.engines[name], engine: true})
	}
	for n := range o.PlainTargets {
		name := identifier.TargetName(fmt.Sprintf("plain-%d", n+1))
		backend := faker.NewService(clock, name, w.ledger, o.PlainDuration)
		w.startSidecar(&sidecar{target: name, service: plainService, backend: backend})
	}
	w.sleep(settleTime)
	return w
}

// settleTime is enough for links and the first configuration.
const settleTime = time.Second

func (w *Simulation) publishFirst() {
	o := w.options
	if w.hooks.StalenessBound != 0 {
		o.StalenessBound = w.hooks.StalenessBound
	}
	data, err := recordOf(documentOf(o, w.clock.Now()))
	if err == nil {
		_, err = w.log.Append(w.ctx, appender.StreamConfiguration, [][]byte{data})
	}
	if err != nil {
		w.violate(promiseHarness, "first document: %v", err)
	}
}

// setHosts lists all entries, and the one target that is leaving, if any.
func (w *Simulation) setHosts(leaving identifier.TargetName) {
	var hosts []lister.Host
	for _, name := range entryNames {
		hosts = append(hosts, lister.Host{Name: name, Role: lister.RoleEntry, Address: name, State: lister.HostLive})
	}
	if leaving != "" {
		hosts = append(hosts, lister.Host{Name: string(leaving), Role: lister.RoleTarget, Address: string(leaving), State: lister.HostLeaving})
	}
	w.hosts.Set(hosts...)
}

// close ends every process and waits for its tasks.
func (w *Simulation) close() {
	w.end()
	w.injector.Close()
	w.tasks.Wait()
	w.network.Wait()
}

func (w *Simulation) sleep(d time.Duration) {
	select {
	case <-w.clock.After(d):
	case <-w.ctx.Done():
	}
}

// restartTime is how long it takes until a killed process is replaced.
const restartTime = 500 * time.Millisecond

// replace starts a process anew, with nothing kept, after a fault killed it.
func (w *Simulation) replace(p *injector.Process) {
	w.mutex.Lock()
	e, s := w.entries[p.Name()], w.sidecars[p.Name()]
	w.mutex.Unlock()
	w.tasks.Go(func() {
		switch {
		case e != nil && e.process == p:
			w.network.Close(p.Name())
			e.stop()
			if w.sleep(restartTime); w.ctx.Err() == nil {
				w.startEntry(p.Name())
			}
		case s != nil && s.process == p:
			s.stop()
			if w.sleep(restartTime); w.ctx.Err() == nil {
				w.startSidecar(&sidecar{target: s.target, service: s.service, backend: s.backend, engine: s.engine})
			}
		}
	})
}

// Violation is a promise broken.
type Violation struct {
	Promise string
	Text    string
}

// String returns the violation on one line.
func (v Violation) String() string { return v.Promise + ": " + v.Text }

// unserved notes that something wasn't served. That is no violation where nobody
// knows what is in force: the log has forgotten everything, and no entry that had
// read it runs. docs/DESIGN.md says that this is lost, and that entries stay not
// ready.
func (w *Simulation) unserved(promise, format string, arguments ...any) {
	if !w.nothingKnown() {
		w.violate(promise, format, arguments...)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.excused++
}

func (w *Simulation) nothingKnown() bool {
	for _, name := range entryNames {
		e := w.entry(name)
		if s, _ := e.coordinator.Follower().State(); s.Document != nil {
			return false
		}
	}
	return w.log.Forgot()
}

func (w *Simulation) violate(promise, format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, Violation{Promise: promise, Text: fmt.Sprintf(format, arguments...)})
}

// faulted says whether a fault of one of the kinds has happened at a process
// or port whose name begins with prefix.
func (w *Simulation) faulted(prefix string, kinds ...injector.Kind) bool {
	for _, f := range w.injector.Fired() {
		for _, k := range kinds {
			if f.Kind == k && strings.HasPrefix(f.Step, prefix) {
				return true
			}
		}
	}
	return false
}
