// Package updater brings named weight versions onto the targets.
package updater

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The holder of the lease orders loads, a few at a time. Each target keeps the
// weights of one model fresh, its home model: a load takes its target away from
// the model for about a second, and if every target followed every model, two
// trainers would keep each target loading for half of the time. A target goes
// straight to the newest version, so that a slow sweep skips versions. Orders
// carry what was read from the target just before, so that one that is carried
// out late has no effect after a newer one.

const (
	// lookPause is between two looks without news.
	lookPause = 200 * time.Millisecond
	// loadShare is how many of a service's targets load at once, one in so
	// many; the users' weight store serves about a fifth of their targets at
	// full speed.
	loadShare = 5
	// leastLoads is how many may always load at once.
	leastLoads = 2
	// loadTimeout is when a load that doesn't end is ordered again. A load
	// takes 0.9 s, and an order may be carried out up to 12 s late.
	loadTimeout = 6 * time.Second
	// askTimeout bounds a report and an order.
	askTimeout = 800 * time.Millisecond
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

// Report is a target's own account of itself.
type Report struct {
	// Busy says that an order is being carried out.
	Busy bool
	// OrdersAccepted counts since the target's start.
	OrdersAccepted int
	// Running counts the requests that it runs, as of some hundred ms ago.
	Running int
	Weights map[identifier.ModelName]identifier.WeightVersion
}

// Order tells a target to load weights.
type Order struct {
	Model   identifier.ModelName
	Version identifier.WeightVersion
	Mode    Mode
	Holder  identifier.Incarnation
	Token   identifier.FencingNumber
	// OrdersAccepted is what the target must have accepted before; otherwise
	// the order has no effect.
	OrdersAccepted int
}

// ErrRefused says that an order has no effect.
var ErrRefused = errors.New("order refused")

// Targets reaches targets.
type Targets interface {
	Report(ctx context.Context, t cataloger.Target) (Report, error)
	// Load returns ErrRefused, or another error if the order may take effect.
	Load(ctx context.Context, t cataloger.Target, o Order) error
}

// Lease says whether this process may give orders now.
type Lease interface {
	Token() (identifier.FencingNumber, bool)
}

// load is an order under way.
type load struct {
	model   identifier.ModelName
	version identifier.WeightVersion
	since   time.Time
	// refused says that it has no effect, and until when to wait.
	refused bool
}

// Updater orders loads while it holds the lease.
type Updater struct {
	clock   clockwork.Clock
	catalog *cataloger.Cataloger
	targets Targets
	lease   Lease
	holder  identifier.Incarnation

	// What follows belongs to Run.

	homes map[identifier.TargetName]identifier.ModelName
	loads map[identifier.TargetName]load
	ended chan ended
	// behindSince is when each target first lacked a version.
	behindSince map[identifier.TargetName]time.Time
}

// ended is the news that an order was answered.
type ended struct {
	target identifier.TargetName
	err    error
}

// New returns an Updater that orders nothing until Run.
func New(clock clockwork.Clock, c *cataloger.Cataloger, t Targets, l Lease, holder identifier.Incarnation) *Updater {
	return &Updater{
		clock: clock, catalog: c, targets: t, lease: l, holder: holder,
		homes: make(map[identifier.TargetName]identifier.ModelName),
		loads: make(map[identifier.TargetName]load), ended: make(chan ended, 1),
		behindSince: make(map[identifier.TargetName]time.Time),
	}
}

// Run orders loads until ctx ends.
func (u *Updater) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for ctx.Err() == nil {
		changed := u.catalog.Changed()
		if _, holds := u.lease.Token(); holds {
			u.look(ctx, &tasks)
		} else {
			clear(u.homes)
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
	if errors.Is(e.err, ErrRefused) {
		l.refused, l.since = true, u.clock.Now()
		u.loads[e.target] = l
	}
}

// look orders as many loads as may be under way.
func (u *Updater) look(ctx context.Context, tasks *conc.WaitGroup) {
	c := u.catalog.Configuration()
	if c == nil {
		return
	}
	byService := make(map[identifier.ServiceName][]identifier.ModelName)
	for m, s := range c.Models() {
		byService[s] = append(byService[s], m)
	}
	named := u.catalog.Named()
	for service, models := range byService {
		slices.Sort(models)
		targets := u.catalog.Targets(service)
		u.assign(targets, models)
		free := max(leastLoads, len(targets)/loadShare) - u.settle(targets)
		for _, t := range u.behind(targets, named) {
			if free <= 0 {
				break
			}
			free--
			u.order(ctx, t, u.homes[t.Name], named, modeOf(c), tasks)
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
		case l.refused && age > failedPause, age > loadTimeout:
			delete(u.loads, t.Name)
		case !l.refused:
			underWay++
		}
	}
	return underWay
}

// behind returns the targets whose home model has a newer version, the oldest
// weights first.
func (u *Updater) behind(targets []cataloger.Target, named map[identifier.ModelName]identifier.WeightVersion) (list []cataloger.Target) {
	lag := func(t cataloger.Target) int {
		m := u.homes[t.Name]
		return int(named[m]) - int(t.Weights[m])
	}
	for _, t := range targets {
		if lag(t) <= 0 || u.homes[t.Name] == "" {
			delete(u.behindSince, t.Name)
			continue
		}
		if _, known := u.behindSince[t.Name]; !known {
			u.behindSince[t.Name] = u.clock.Now()
		}
		if _, loading := u.loads[t.Name]; !loading {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b cataloger.Target) int { return cmp.Compare(lag(b), lag(a)) })
	return list
}

func (u *Updater) order(ctx context.Context, t cataloger.Target, m identifier.ModelName, named map[identifier.ModelName]identifier.WeightVersion, mode Mode, tasks *conc.WaitGroup) {
	u.loads[t.Name] = load{model: m, version: named[m], since: u.clock.Now()}
	o := Order{Model: m, Version: named[m], Mode: mode, Holder: u.holder}
	patient := u.clock.Since(u.behindSince[t.Name]) < idleWait
	tasks.Go(func() {
		e := ended{t.Name, u.give(ctx, t, o, patient)}
		select {
		case u.ended <- e:
		case <-ctx.Done():
		}
	})
}

// give reads the target's state and orders the load.
func (u *Updater) give(ctx context.Context, t cataloger.Target, o Order, patient bool) error {
	bounded, cancel := context.WithTimeout(ctx, 2*askTimeout)
	defer cancel()
	r, err := u.targets.Report(bounded, t)
	if err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	if r.Weights[o.Model] >= o.Version {
		u.catalog.LearnWeights(t.Name, o.Model, r.Weights[o.Model])
		return nil
	}
	if r.Busy {
		return errors.Wrap(ErrRefused, "another order is being carried out")
	}
	if patient && r.Running > 0 {
		return errors.Wrapf(ErrRefused, "it runs %d requests", r.Running)
	}
	var holds bool
	if o.Token, holds = u.lease.Token(); !holds {
		return errors.Wrap(ErrRefused, "the lease is over")
	}
	o.OrdersAccepted = r.OrdersAccepted
	err = u.targets.Load(bounded, t, o)
	klog.InfoS("load ordered", "target", t.Name, "model", o.Model, "version", o.Version, "before", r.Weights[o.Model],
		"token", o.Token, "orders-accepted", o.OrdersAccepted, "err", err)
	return err
}

// assign gives each target a home model.
func (u *Updater) assign(targets []cataloger.Target, models []identifier.ModelName) {
	quotas := Quotas(len(targets), models)
	count := make(map[identifier.ModelName]int)
	var homeless []cataloger.Target
	for _, t := range targets {
		m, ok := u.homes[t.Name]
		if !ok || count[m] >= quotas[m]+homeSlack {
			homeless = append(homeless, t)
			continue
		}
		count[m]++
	}
	for name := range u.homes {
		if _, ok := u.catalog.Target(name); !ok {
			delete(u.homes, name)
			delete(u.loads, name)
		}
	}
	for _, t := range homeless {
		m := slices.MinFunc(models, func(a, b identifier.ModelName) int {
			return cmp.Or(
				cmp.Compare(count[a]-quotas[a], count[b]-quotas[b]),
				cmp.Compare(t.Weights[b], t.Weights[a]),
				strings.Compare(string(a), string(b)),
			)
		})
		count[m]++
		u.homes[t.Name] = m
	}
}

// homeSlack is by how many targets a model may be over its quota before one
// of them changes its home, which costs a load.
const homeSlack = 1

// Quotas deals n targets out among models evenly; the first models get the rest.
func Quotas(n int, models []identifier.ModelName) map[identifier.ModelName]int {
	quotas := make(map[identifier.ModelName]int, len(models))
	for k, m := range models {
		quotas[m] = (n + len(models) - 1 - k) / len(models)
	}
	return quotas
}
