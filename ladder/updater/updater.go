// Package updater brings named weight versions onto the targets.
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

// The holder of the lease orders loads, a few at a time. A load takes its target
// away from the model for about a second, and only few may load at once, so that
// not every target can follow every model. Each version goes to a share of the
// targets, those with the fewest models first. The others still serve: a step may use
// the version before its own. A target goes straight to the newest version.
// Orders carry what was read from the target just before, so that one that is
// carried out late has no effect after a newer one.

const (
	// lookPause is between two looks without news.
	lookPause = 200 * time.Millisecond
	// loadShare is how many of a service's targets load at once, one in so
	// many; the users' weight store serves about a fifth of their targets at
	// full speed.
	loadShare = 5
	// leastLoads is how many may always load at once.
	leastLoads = 2
	// loadTimeout is when a load that was accepted and doesn't end is ordered
	// again. A load takes 0.9 s, some times more when many load.
	loadTimeout = 6 * time.Second
	// askTimeout bounds a report, and an order; both are answered in some ms.
	askTimeout = 500 * time.Millisecond
	// failedPause is the pause after an order that wasn't accepted.
	failedPause = 500 * time.Millisecond
	// idleWait is how long a target that runs requests is passed over for idle
	// ones. A named version is needed when the next but one step is asked for,
	// at least 4 s later on the users' sheets.
	idleWait = 2 * time.Second
)

// Mode says what becomes of the requests that run while weights change.
type Mode string

// The modes.
const (
	// ModeCarryOver lets them go on under the new version.
	ModeCarryOver Mode = "carry-over"
	// ModeFinishFirst lets them finish before the load.
	ModeFinishFirst Mode = "finish-first"
)

// TargetStatus is a target's own account of itself.
type TargetStatus struct {
	// OrderInProgress says that an order is being carried out.
	OrderInProgress bool
	// OrdersAccepted counts since the target's start.
	OrdersAccepted int
	// Running counts the requests that it runs, as of some hundred ms ago.
	Running int
	Weights map[identifier.ModelName]identifier.WeightVersion
}

// LoadOrder tells a target to load weights.
type LoadOrder struct {
	Model        identifier.ModelName
	Version      identifier.WeightVersion
	Mode         Mode
	Holder       leaser.Holder
	FencingToken identifier.FencingToken
	// OrdersAccepted is what the target must have accepted before; otherwise
	// the order has no effect.
	OrdersAccepted int
}

// ErrRefused says that an order has no effect.
var ErrRefused = errors.New("order refused")

// TargetClient reaches targets.
type TargetClient interface {
	Status(ctx context.Context, t cataloger.Target) (TargetStatus, error)
	// Load returns ErrRefused, or another error if the order may take effect.
	Load(ctx context.Context, t cataloger.Target, o LoadOrder) error
}

// DemandSource tells how much work each model has. The answer may be some seconds old.
type DemandSource interface {
	Demand() map[identifier.ModelName]identifier.TokenCount
}

// Lease says whether this process may give orders now.
type Lease interface {
	Token() (identifier.FencingToken, bool)
}

// load is an order under way.
type load struct {
	model   identifier.ModelName
	version identifier.WeightVersion
	since   time.Time
	// failed says that it was refused or not answered at since. What it may
	// still do shows in the target's next report.
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

	// What follows belongs to Run.

	loads map[identifier.TargetName]load
	ended chan ended
	// newest has the newest named version of each model and when it was seen.
	newest map[identifier.ModelName]sighting
}

// sighting is when a version was first seen.
type sighting struct {
	version identifier.WeightVersion
	at      time.Time
}

// ended is the news that an order was answered.
type ended struct {
	target identifier.TargetName
	err    error
}

// New returns an Updater that orders nothing until Run.
func New(clock clockwork.Clock, c *cataloger.Cataloger, t TargetClient, l Lease, d DemandSource, holder leaser.Holder) *Updater {
	return &Updater{
		clock: clock, catalog: c, targets: t, lease: l, demand: d, holder: holder,
		loads: make(map[identifier.TargetName]load), ended: make(chan ended, 1),
		newest: make(map[identifier.ModelName]sighting),
	}
}

// Run orders loads until ctx ends.
func (u *Updater) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for ctx.Err() == nil {
		changed := u.catalog.Changed()
		if _, holds := u.lease.Token(); holds {
			_ = recoverer.CatchPanic("look at loads", func() { u.look(ctx, &tasks) }) // it is logged there
		} else {
			clear(u.loads)
		}
		select {
		case <-changed:
		case e := <-u.ended:
			u.takeEnd(e)
		case <-u.clock.After(lookPause):
		case <-ctx.Done():
		}
	}
}

func (u *Updater) takeEnd(e ended) {
	l, ok := u.loads[e.target]
	if !ok || e.err == nil {
		return
	}
	klog.InfoS("load not accepted", "target", e.target, "model", l.model, "version", l.version, "err", e.err)
	l.failed, l.since = true, u.clock.Now()
	u.loads[e.target] = l
}

// look orders as many loads as may be under way.
func (u *Updater) look(ctx context.Context, tasks *conc.WaitGroup) {
	c := u.catalog.Configuration()
	if c == nil {
		return
	}
	byService := make(map[identifier.ServiceName][]identifier.ModelName)
	for m, s := range c.ServiceByModel() {
		byService[s] = append(byService[s], m)
	}
	named, demand := u.catalog.Named(), u.demand.Demand()
	u.sight(named)
	for service, models := range byService {
		slices.Sort(models)
		targets := u.catalog.ReadyTargets(service)
		free := max(leastLoads, len(targets)/loadShare) - u.settle(targets)
		wishes := u.wishes(targets, models, TargetQuotas(len(targets), models, demand))
		for free > 0 {
			w, t, ok := next(wishes, u.loads)
			if !ok {
				break
			}
			free--
			u.order(ctx, t, w, modeOf(c), tasks)
		}
	}
}

func (u *Updater) sight(named map[identifier.ModelName]identifier.WeightVersion) {
	for m, v := range named {
		if u.newest[m].version < v {
			u.newest[m] = sighting{version: v, at: u.clock.Now()}
		}
	}
}

func modeOf(c *cataloger.Configuration) Mode {
	for _, r := range c.Routes {
		if r.Kind == cataloger.KindBatch && r.SingleVersion {
			return ModeFinishFirst
		}
	}
	return ModeCarryOver
}

// settle drops the loads that have ended and returns how many haven't.
func (u *Updater) settle(targets []cataloger.Target) (underWay int) {
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
		case l.failed && age > failedPause, age > loadTimeout:
			delete(u.loads, t.Name)
		case !l.failed:
			underWay++
		}
	}
	return underWay
}

// order orders a load. Unless the model lacks targets, idle ones are waited for.
func (u *Updater) order(ctx context.Context, t cataloger.Target, w *wish, mode Mode, tasks *conc.WaitGroup) {
	u.loads[t.Name] = load{model: w.model, version: w.version, since: u.clock.Now()}
	o := LoadOrder{Model: w.model, Version: w.version, Mode: mode, Holder: u.holder}
	patient := w.lacking <= 0 && u.clock.Since(u.newest[w.model].at) < idleWait
	tasks.Go(func() {
		e := ended{target: t.Name}
		if failed := recoverer.CatchPanic("order to a target", func() { e.err = u.give(ctx, t, o, patient) }); failed != nil {
			e.err = failed
		}
		select {
		case u.ended <- e:
		case <-ctx.Done():
		}
	})
}

// give reads the target's state and orders the load.
func (u *Updater) give(ctx context.Context, t cataloger.Target, o LoadOrder, patient bool) error {
	reporting, reported := context.WithTimeout(ctx, askTimeout)
	defer reported()
	r, err := u.targets.Status(reporting, t)
	if err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	if r.Weights[o.Model] >= o.Version {
		u.catalog.RecordWeights(t.Name, o.Model, r.Weights[o.Model])
		return nil
	}
	if r.OrderInProgress {
		return errors.Wrap(ErrRefused, "another order is being carried out")
	}
	if patient && r.Running > 0 {
		return errors.Wrapf(ErrRefused, "it runs %d requests", r.Running)
	}
	var holds bool
	if o.FencingToken, holds = u.lease.Token(); !holds {
		return errors.Wrap(ErrRefused, "the lease is over")
	}
	o.OrdersAccepted = r.OrdersAccepted
	ordering, ordered := context.WithTimeout(ctx, askTimeout)
	defer ordered()
	err = u.targets.Load(ordering, t, o)
	klog.InfoS("load ordered", "target", t.Name, "model", o.Model, "version", o.Version, "before", r.Weights[o.Model],
		"token", o.FencingToken, "orders-accepted", o.OrdersAccepted, "err", err)
	return err
}
