// Package converger brings the engine beside a sidecar to the newest announced
// weights: load first, then switch, at a moment of its own so that a bounded
// share of a service is away at once.
package converger

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// An order is never trusted as a fact: the engine's state is read after each,
// and that reading alone says what runs. There is no leader; docs/DESIGN.md,
// "New weights", weighs that against a lease holder.

const (
	// orderTimeout bounds a load or switch order.
	orderTimeout = 60 * time.Second
	// stateTimeout bounds a read of the engine's state.
	stateTimeout = 2 * time.Second
	// checkInterval is the time between two looks at an idle engine.
	checkInterval = time.Second
)

// Sidecar is what a Converger needs of its executor.
type Sidecar interface {
	Configuration() messenger.Configuration
	SetVersion(v identifier.WeightVersion)
	SetSwitchTime(d time.Duration)
	Announce(ctx context.Context)
}

// Converger converges one engine.
type Converger struct {
	clock   clockwork.Clock
	target  caller.Target
	goals   *Goals
	sidecar Sidecar
	// fencing grows from one sidecar incarnation to the next on a host.
	fencing identifier.FencingToken
	// switchTime is the longest switch of late.
	switchTime time.Duration
}

// New returns a Converger. Orders carry the time of its making as fencing
// number: a later sidecar of the same host has a larger one.
func New(clock clockwork.Clock, target caller.Target, goals *Goals, sidecar Sidecar) *Converger {
	return &Converger{
		clock: clock, target: target, goals: goals, sidecar: sidecar,
		fencing: identifier.FencingToken(clock.Now().UnixMicro()),
	}
}

// Run converges until ctx ends.
func (c *Converger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.goals.Changed()
		if err := c.step(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("engine not converged", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.clock.After(checkInterval):
		}
	}
}

// step reads the engine and gives the next order it needs, if any.
func (c *Converger) step(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "converge")
	s, err := c.read(ctx)
	if err != nil {
		return err
	}
	configuration := c.sidecar.Configuration()
	goal, since := c.goals.Announcement(configuration.Model)
	if configuration.Model == "" || goal <= s.Version {
		return nil
	}
	o := caller.WeightCommand{Model: configuration.Model, Version: goal, FencingNumber: c.fencing}
	if !slices.Contains(s.Loaded, goal) {
		if !c.await(ctx, since, LoadDelay) {
			return ctx.Err()
		}
		if err := c.order(ctx, c.target.Load, o); err != nil {
			return errors.WithMessagef(err, "load version %d", goal)
		}
	}
	if !c.await(ctx, since, SwitchDelay) {
		return ctx.Err()
	}
	began := c.clock.Now()
	if err := c.order(ctx, c.target.Switch, o); err != nil {
		return errors.WithMessagef(err, "switch to version %d", goal)
	}
	c.switchTime = UpdateSwitchTime(c.switchTime, c.clock.Since(began))
	c.sidecar.SetSwitchTime(c.switchTime)
	s, err = c.read(ctx)
	if err != nil {
		return err
	}
	klog.InfoS("engine switched", "model", o.Model, "version", s.Version, "ordered", goal)
	c.sidecar.Announce(ctx)
	return nil
}

// await waits for this target's turn; it returns false if ctx ends first. The
// rank is read anew after each wait, since targets come and go.
func (c *Converger) await(ctx context.Context, since time.Time, turn func(m messenger.Configuration, since, now time.Time) time.Duration) bool {
	for {
		d := turn(c.sidecar.Configuration(), since, c.clock.Now())
		if d == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-c.clock.After(d):
		}
	}
}

func (c *Converger) order(ctx context.Context, give func(context.Context, caller.WeightCommand) error, o caller.WeightCommand) error {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, orderTimeout)
	defer cancel()
	return give(ctx, o)
}

func (c *Converger) read(ctx context.Context) (caller.State, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, stateTimeout)
	defer cancel()
	s, err := c.target.State(ctx)
	if err == nil {
		c.sidecar.SetVersion(s.Version)
	}
	return s, err
}
