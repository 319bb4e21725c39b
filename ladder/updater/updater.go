// Package updater loads new weight versions onto the targets.
package updater

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/leaser"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// The lease holder orders loads, a few at a time. A load takes its target away from the
// model for about a second and only a few targets may load at once, so not every target
// can follow every model. Each version goes to a share of the targets, first to those
// that serve the fewest models. The other targets still serve: a step may use the
// version before its own. A target skips intermediate versions and loads the newest
// one. An order carries the order count read from the target just before, so that an
// order that is delivered late has no effect after a newer one.

const (
	// pollInterval is the time between two scheduling passes if nothing changes.
	pollInterval = 200 * time.Millisecond
	// loadDivisor limits concurrent loads to one in loadDivisor targets of a service;
	// the users' weight store serves about a fifth of their targets at full speed.
	loadDivisor = 5
	// minConcurrentLoads is the number of loads that may always run at once.
	minConcurrentLoads = 2
	// loadTimeout is the time after which an accepted load that has not finished is
	// ordered again. A load takes 0.9 s, and several times as long when many targets
	// load.
	loadTimeout = 6 * time.Second
	// requestTimeout bounds a status request and an order; targets answer both within a
	// few milliseconds.
	requestTimeout = 500 * time.Millisecond
	// retryDelay is the pause after an order that was not accepted.
	retryDelay = 500 * time.Millisecond
	// idlePreference is how long idle targets are preferred to targets that run
	// requests. A new version is needed when the step after the next is requested, at
	// least 4 s later according to the users' sheets.
	idlePreference = 2 * time.Second
)

// Mode says what happens to running requests when weights change.
type Mode string

const (
	// ModeCarryOver continues running requests with the new version.
	ModeCarryOver Mode = "carry-over"
	// ModeFinishFirst finishes running requests before the load.
	ModeFinishFirst Mode = "finish-first"
)

// TargetStatus is the state that a target reports.
type TargetStatus struct {
	// OrderInProgress is set while the target carries out an order.
	OrderInProgress bool
	// OrdersAccepted counts the orders accepted since the target started.
	OrdersAccepted int
	// Running is the number of running requests; it may be some hundred milliseconds
	// old.
	Running int
	// Limited is set if the target limits its requests, so that asking it again until it
	// is idle would use up what it accepts.
	Limited bool
	Weights map[identifier.ModelName]identifier.WeightVersion
}

// LoadOrder tells a target to load a weight version.
type LoadOrder struct {
	Model        identifier.ModelName
	Version      identifier.WeightVersion
	Mode         Mode
	Holder       leaser.Holder
	FencingToken identifier.FencingToken
	// OrdersAccepted is the target's expected count of accepted orders; if the count
	// differs, the order has no effect.
	OrdersAccepted int
}

// ErrRefused means that an order has no effect.
var ErrRefused = errors.New("order refused")

// TargetClient sends requests to targets.
type TargetClient interface {
	Status(ctx context.Context, t cataloger.Target) (TargetStatus, error)
	// Load returns ErrRefused if the order has no effect; after any other error it may
	// still take effect.
	Load(ctx context.Context, t cataloger.Target, o LoadOrder) error
}

// DemandSource returns the amount of work of each model, which may be some seconds old.
type DemandSource interface {
	Demand() map[identifier.ModelName]identifier.TokenCount
}

// Lease returns the fencing token while this process holds the lease.
type Lease interface {
	Token() (identifier.FencingToken, bool)
}

// pendingLoad is an order whose load has not been confirmed.
type pendingLoad struct {
	model   identifier.ModelName
	version identifier.WeightVersion
	since   time.Time
	// failed is set if the order was refused or not answered, at the time since. It may
	// still take effect, which the target's next status shows.
	failed bool
}

// Updater orders loads while it holds the lease.
type Updater struct {
	clock   clockwork.Clock
	catalog *cataloger.Cataloger
	targets TargetClient
	lease   Lease
	demand  DemandSource
	holder  leaser.Holder

	// The fields below are used by Run only.

	loads   map[identifier.TargetName]pendingLoad
	results chan orderResult
	// newest is the newest announced version of each model.
	newest map[identifier.ModelName]observedVersion
}

// observedVersion is a version and the time when it was first seen.
type observedVersion struct {
	version identifier.WeightVersion
	at      time.Time
}

// orderResult is the outcome of an order.
type orderResult struct {
	target identifier.TargetName
	err    error
}

// New returns an Updater that sends no orders until Run is called.
func New(clock clockwork.Clock, c *cataloger.Cataloger, t TargetClient, l Lease, d DemandSource, holder leaser.Holder) *Updater {
	return &Updater{
		clock: clock, catalog: c, targets: t, lease: l, demand: d, holder: holder,
		loads: make(map[identifier.TargetName]pendingLoad), results: make(chan orderResult, 1),
		newest: make(map[identifier.ModelName]observedVersion),
	}
}

// Run orders loads until ctx ends.
func (u *Updater) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for ctx.Err() == nil {
		changed := u.catalog.Changed()
		if _, holds := u.lease.Token(); holds {
			_ = recoverer.CatchPanic("schedule loads", func() { u.scheduleLoads(ctx, &tasks) }) // logged by CatchPanic
		} else {
			clear(u.loads)
		}
		select {
		case <-changed:
		case r := <-u.results:
			u.handleResult(r)
		case <-u.clock.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (u *Updater) handleResult(r orderResult) {
	l, ok := u.loads[r.target]
	if !ok || r.err == nil {
		return
	}
	klog.InfoS("load not accepted", "target", r.target, "model", l.model, "version", l.version, "err", r.err)
	l.failed, l.since = true, u.clock.Now()
	u.loads[r.target] = l
}

// scheduleLoads orders as many loads as may run at once.
func (u *Updater) scheduleLoads(ctx context.Context, tasks *conc.WaitGroup) {
	c := u.catalog.Configuration()
	if c == nil {
		return
	}
	byService := make(map[identifier.ServiceName][]identifier.ModelName)
	for m, s := range c.ServiceByModel() {
		byService[s] = append(byService[s], m)
	}
	desired, demand := u.catalog.Named(), u.demand.Demand()
	u.observeVersions(desired)
	for service, models := range byService {
		slices.Sort(models)
		targets := u.catalog.ReadyTargets(service)
		free := max(minConcurrentLoads, len(targets)/loadDivisor) - u.pruneLoads(targets)
		plans := u.loadPlans(targets, models, TargetQuotas(len(targets), models, demand))
		for free > 0 {
			p, t, ok := nextLoad(plans, u.loads)
			if !ok {
				break
			}
			free--
			u.startLoad(ctx, t, p, loadMode(c), tasks)
		}
	}
}

func (u *Updater) observeVersions(desired map[identifier.ModelName]identifier.WeightVersion) {
	for m, v := range desired {
		if u.newest[m].version < v {
			u.newest[m] = observedVersion{version: v, at: u.clock.Now()}
		}
	}
}

func loadMode(c *cataloger.Configuration) Mode {
	for _, r := range c.Routes {
		if r.Kind == cataloger.KindBatch && r.SingleVersion {
			return ModeFinishFirst
		}
	}
	return ModeCarryOver
}

// pruneLoads removes finished and expired loads and returns the number of running ones.
func (u *Updater) pruneLoads(targets []cataloger.Target) (running int) {
	now := u.clock.Now()
	for name := range u.loads {
		if _, ok := u.catalog.Target(name); !ok {
			delete(u.loads, name)
		}
	}
	for _, t := range targets {
		l, ok := u.loads[t.Name]
		if !ok {
			continue
		}
		age := now.Sub(l.since)
		switch {
		case t.Weights[l.model] >= l.version:
			klog.InfoS("weights loaded", "target", t.Name, "model", l.model, "version", t.Weights[l.model], "after", age)
			delete(u.loads, t.Name)
		case l.failed && age > retryDelay, age > loadTimeout:
			delete(u.loads, t.Name)
		case !l.failed:
			running++
		}
	}
	return running
}

// startLoad orders a load. Unless the model lacks targets, it prefers idle targets for
// a while.
func (u *Updater) startLoad(ctx context.Context, t cataloger.Target, p *loadPlan, mode Mode, tasks *conc.WaitGroup) {
	u.loads[t.Name] = pendingLoad{model: p.model, version: p.version, since: u.clock.Now()}
	o := LoadOrder{Model: p.model, Version: p.version, Mode: mode, Holder: u.holder}
	preferIdle := p.shortfall <= 0 && u.clock.Since(u.newest[p.model].at) < idlePreference
	tasks.Go(func() {
		result := orderResult{target: t.Name}
		if failed := recoverer.CatchPanic("send load order", func() { result.err = u.sendOrder(ctx, t, o, preferIdle) }); failed != nil {
			result.err = failed
		}
		select {
		case u.results <- result:
		case <-ctx.Done():
		}
	})
}

// sendOrder reads the target's status and orders the load.
func (u *Updater) sendOrder(ctx context.Context, t cataloger.Target, o LoadOrder, preferIdle bool) error {
	statusCtx, cancelStatus := context.WithTimeout(ctx, requestTimeout)
	defer cancelStatus()
	r, err := u.targets.Status(statusCtx, t)
	if err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	if r.Weights[o.Model] >= o.Version {
		u.catalog.RecordWeights(t.Name, o.Model, r.Weights[o.Model])
		return nil
	}
	if r.OrderInProgress {
		return errors.Wrap(ErrRefused, "target is carrying out another order")
	}
	if preferIdle && r.Running > 0 && !r.Limited {
		return errors.Wrapf(ErrRefused, "target runs %d requests", r.Running)
	}
	var holds bool
	if o.FencingToken, holds = u.lease.Token(); !holds {
		return errors.Wrap(ErrRefused, "lease expired")
	}
	o.OrdersAccepted = r.OrdersAccepted
	loadCtx, cancelLoad := context.WithTimeout(ctx, requestTimeout)
	defer cancelLoad()
	err = u.targets.Load(loadCtx, t, o)
	klog.InfoS("load ordered", "target", t.Name, "model", o.Model, "version", o.Version, "before", r.Weights[o.Model],
		"token", o.FencingToken, "orders-accepted", o.OrdersAccepted, "err", err)
	return err
}
