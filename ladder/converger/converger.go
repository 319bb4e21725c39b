// Package converger brings the engine beside a sidecar to the newest announced weights.
// It loads the weights first and switches in a time window of its own, so that only a
// bounded share of a service is unavailable at once.
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

// The answer to a command is not proof of its effect: the engine's state is read after
// each command and is the only evidence of the running version. There is no leader;
// docs/DESIGN.md, "New weights", compares this with a lease holder.

const (
	// commandTimeout bounds a load or switch command.
	commandTimeout = 60 * time.Second
	// stateTimeout bounds a read of the engine's state.
	stateTimeout = 2 * time.Second
	// checkInterval is the time between two checks of the engine's state if nothing
	// changes.
	checkInterval = time.Second
)

// Sidecar is the part of the executor that a Converger needs.
type Sidecar interface {
	Configuration() messenger.Configuration
	SetVersion(v identifier.WeightVersion)
	SetSwitchTime(d time.Duration)
	Announce(ctx context.Context)
}

// Converger brings one engine to the announced weight version.
type Converger struct {
	clock   clockwork.Clock
	target  caller.Target
	goals   *Goals
	sidecar Sidecar
	// fencingToken is the fencing token; it increases from one sidecar incarnation to the
	// next on a host.
	fencingToken identifier.FencingToken
	// switchTime is the longest recent switch.
	switchTime time.Duration
}

// New returns a Converger. Its creation time is the fencing token of its commands, so a
// later sidecar of the same host has a larger one.
func New(clock clockwork.Clock, target caller.Target, goals *Goals, sidecar Sidecar) *Converger {
	return &Converger{
		clock: clock, target: target, goals: goals, sidecar: sidecar,
		fencingToken: identifier.FencingToken(clock.Now().UnixMicro()),
	}
}

// Run converges the engine until ctx ends.
func (c *Converger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.goals.Changed()
		if err := c.converge(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("engine not converged", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.clock.After(checkInterval):
		}
	}
}

// converge reads the engine's state and sends the commands needed to reach the announced
// version, if any.
func (c *Converger) converge(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "converge")
	s, err := c.readState(ctx)
	if err != nil {
		return err
	}
	configuration := c.sidecar.Configuration()
	goal, since := c.goals.Announcement(configuration.Model)
	if configuration.Model == "" || goal <= s.Version {
		return nil
	}
	command := caller.WeightCommand{Model: configuration.Model, Version: goal, FencingNumber: c.fencingToken}
	if !slices.Contains(s.Loaded, goal) {
		if !c.waitTurn(ctx, since, LoadDelay) {
			return ctx.Err()
		}
		if err := c.sendCommand(ctx, c.target.Load, command); err != nil {
			return errors.WithMessagef(err, "load version %d", goal)
		}
	}
	if !c.waitTurn(ctx, since, SwitchDelay) {
		return ctx.Err()
	}
	start := c.clock.Now()
	if err := c.sendCommand(ctx, c.target.Switch, command); err != nil {
		return errors.WithMessagef(err, "switch to version %d", goal)
	}
	c.switchTime = UpdateSwitchTime(c.switchTime, c.clock.Since(start))
	c.sidecar.SetSwitchTime(c.switchTime)
	s, err = c.readState(ctx)
	if err != nil {
		return err
	}
	klog.InfoS("engine switched", "model", command.Model, "version", s.Version, "ordered", goal)
	c.sidecar.Announce(ctx)
	return nil
}

// waitTurn waits until delay returns 0; it returns false if ctx ends first. The
// configuration is read again after each wait, since the target's rank changes as
// targets come and go.
func (c *Converger) waitTurn(ctx context.Context, since time.Time, delay func(m messenger.Configuration, since, now time.Time) time.Duration) bool {
	for {
		d := delay(c.sidecar.Configuration(), since, c.clock.Now())
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

func (c *Converger) sendCommand(ctx context.Context, send func(context.Context, caller.WeightCommand) error, command caller.WeightCommand) error {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, commandTimeout)
	defer cancel()
	return send(ctx, command)
}

func (c *Converger) readState(ctx context.Context) (caller.State, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, stateTimeout)
	defer cancel()
	s, err := c.target.State(ctx)
	if err == nil {
		c.sidecar.SetVersion(s.Version)
	}
	return s, err
}
