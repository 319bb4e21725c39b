// Package injector injects faults into the calls that a process makes through
// its ports. It numbers the calls of a fault-free run, and injects a planned
// fault at one of these calls in later runs.
package injector

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// A step is named by its process, port, call and count, not by its position in
// the run: the scheduler chooses which ready goroutine runs first, so a position
// may stand for different calls in different runs.

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	// Refused makes the call fail before it has any effect.
	Refused Kind = "refused"
	// AnswerLost makes the call fail after it has taken effect.
	AnswerLost Kind = "answer-lost"
	// Slow delays the call past its deadline; it then takes effect.
	Slow Kind = "slow"
	// KilledBefore and KilledAfter kill the process just before the call takes
	// effect or right after; the process is then restarted.
	KilledBefore Kind = "killed-before"
	KilledAfter  Kind = "killed-after"
	// PausedBriefly and Paused suspend the process before the call takes effect:
	// for less than the heartbeat deadline of a link, or for longer than any
	// lease.
	PausedBriefly Kind = "paused-briefly"
	Paused        Kind = "paused"
	// Silent makes the link drop every message from then on without an error.
	Silent Kind = "silent"
	// TargetCrashed makes the target's process crash and restart: during the work
	// if the call hands over work, otherwise just before the call.
	TargetCrashed Kind = "target-crashed"
)

// Kinds lists every kind of fault.
var Kinds = []Kind{Refused, AnswerLost, Slow, KilledBefore, KilledAfter, PausedBriefly, Paused, Silent, TargetCrashed}

// Step identifies one port call of a run, for example entry-1.log.append-claims.2.
type Step struct {
	// Process, Port and Call are kebab-case.
	Process, Port, Call string
	// Count starts at 1 and runs on over all incarnations of the process.
	Count int
}

// String formats the step as process.port.call.count.
func (s Step) String() string {
	return fmt.Sprintf("%s.%s.%s.%d", s.Process, s.Port, s.Call, s.Count)
}

// Injection is a fault that is planned or was injected at a step.
type Injection struct {
	Step string
	Kind Kind
}

// String formats the injection as step=kind.
func (i Injection) String() string { return i.Step + "=" + string(i.Kind) }

// ParseInjection parses the format of Injection.String.
func ParseInjection(text string) (i Injection, err error) {
	step, kind, ok := strings.Cut(text, "=")
	if !ok {
		return i, errors.Errorf("injector: fault %q: want step=kind", text)
	}
	for _, known := range Kinds {
		if string(known) == kind {
			return Injection{Step: step, Kind: known}, nil
		}
	}
	return i, errors.Errorf("injector: fault %q: unknown kind %q, want one of %v", text, kind, Kinds)
}

// Options are the durations of the faults that delay a process.
type Options struct {
	// SlowCall is how long a slow call is delayed.
	SlowCall time.Duration
	// BriefPause and Pause are the durations of PausedBriefly and Paused.
	BriefPause, Pause time.Duration
}

// DefaultOptions returns durations that match the default heartbeats and leases:
// a brief pause is shorter than the heartbeat deadline, a pause longer than any
// lease.
func DefaultOptions() Options {
	return Options{SlowCall: 10 * time.Second, BriefPause: 2500 * time.Millisecond, Pause: 15 * time.Second}
}

// Injector injects the planned faults of one run and records its steps.
type Injector struct {
	clock   clockwork.Clock
	options Options
	plan    map[string]Kind
	// onKill is called for every process that is killed.
	onKill func(p *Process)
	// ctx is canceled by Close.
	ctx    context.Context
	cancel context.CancelFunc

	mutex  sync.Mutex
	counts map[string]int
	steps  []ReachedStep
	fired  []Injection
	// delaysEnd is when the last pause or slow call so far ends.
	delaysEnd time.Time
}

// ReachedStep is a step that occurred in a run.
type ReachedStep struct {
	Step
	// Kinds are the faults that can be injected at the step.
	Kinds []Kind
}

// New returns an Injector that injects the planned faults and calls onKill for
// every process that is killed.
func New(clock clockwork.Clock, options Options, plan []Injection, onKill func(p *Process)) *Injector {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Injector{ctx: ctx, cancel: cancel, clock: clock, options: options, plan: make(map[string]Kind), onKill: onKill, counts: make(map[string]int)}
	for _, injection := range plan {
		i.plan[injection.Step] = injection.Kind
	}
	return i
}

// Close cancels the slow calls and pauses that are still in progress.
func (i *Injector) Close() { i.cancel() }

// Steps returns the steps of the run so far, in order.
func (i *Injector) Steps() []ReachedStep {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]ReachedStep(nil), i.steps...)
}

// DelaysEnd returns when the last pause or slow call so far ends.
func (i *Injector) DelaysEnd() time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.delaysEnd
}

// extendDelays records a pause or slow call of duration d that starts now.
func (i *Injector) extendDelays(d time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if ends := i.clock.Now().Add(d); ends.After(i.delaysEnd) {
		i.delaysEnd = ends
	}
}

// Fired returns the faults injected so far.
func (i *Injector) Fired() []Injection {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]Injection(nil), i.fired...)
}

// recordStep records the next step of the call and returns the fault planned for
// it, or "".
func (i *Injector) recordStep(process, port, call string, kinds []Kind) Kind {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	name := process + "." + port + "." + call
	i.counts[name]++
	s := Step{Process: process, Port: port, Call: call, Count: i.counts[name]}
	i.steps = append(i.steps, ReachedStep{Step: s, Kinds: kinds})
	kind := i.plan[s.String()]
	if kind != "" {
		i.fired = append(i.fired, Injection{Step: s.String(), Kind: kind})
	}
	return kind
}

// Call describes a port call.
type Call struct {
	Port, Name string
	// Kinds are the faults that can be injected.
	Kinds []Kind
	// RefusedError and LostError are what the port returns under Refused and
	// AnswerLost.
	RefusedError, LostError error
	// Crash crashes the target's process.
	Crash func()
	// OutlivesCaller means that the call takes effect even if its caller has given
	// up.
	OutlivesCaller bool
}

// externalKinds are the faults of a call from outside the system. Its caller is
// neither killed nor paused.
var externalKinds = []Kind{Refused, AnswerLost, Slow}

// ExternalKinds returns the faults that can be injected into a call by a client,
// trainer or operator.
func ExternalKinds() []Kind { return externalKinds }

// ProcessKinds returns the faults that can be injected into a call by a process of
// the system.
func ProcessKinds() []Kind { return processKinds() }

func processKinds() []Kind {
	return []Kind{Refused, AnswerLost, Slow, KilledBefore, KilledAfter, PausedBriefly, Paused}
}

// Do runs effect, the actual call, with the fault that is planned for its step.
func (p *Process) Do(ctx context.Context, c Call, effect func(ctx context.Context) error) error {
	if err := p.waitWhilePaused(); err != nil {
		return err
	}
	ctx, cancel := p.untilKilled(ctx)
	defer cancel()
	err := p.applyFault(p.injector.recordStep(p.name, c.Port, c.Name, c.Kinds), ctx, c, effect)
	if killed := p.waitWhilePaused(); killed != nil {
		return killed
	}
	return err
}

func (p *Process) applyFault(kind Kind, ctx context.Context, c Call, effect func(ctx context.Context) error) error {
	switch kind {
	case Refused:
		return c.RefusedError
	case AnswerLost:
		if err := effect(ctx); err != nil {
			return err
		}
		return c.LostError
	case Slow:
		return p.doSlowly(ctx, c, effect)
	case KilledBefore:
		p.Kill()
		return ErrDead
	case KilledAfter:
		_ = effect(ctx)
		p.Kill()
		return ErrDead
	case PausedBriefly, Paused:
		p.Pause(p.injector.pauseDuration(kind))
		if err := p.waitWhilePaused(); err != nil {
			return err
		}
		if c.OutlivesCaller {
			var cancel context.CancelFunc
			ctx, cancel = p.untilKilled(context.WithoutCancel(ctx))
			defer cancel()
		}
	case TargetCrashed:
		c.Crash()
	case Silent:
	}
	return effect(ctx)
}

func (i *Injector) pauseDuration(kind Kind) time.Duration {
	if kind == PausedBriefly {
		return i.options.BriefPause
	}
	return i.options.Pause
}

// doSlowly runs effect after the delay of a slow call. The caller waits until ctx
// ends at most.
func (p *Process) doSlowly(ctx context.Context, c Call, effect func(ctx context.Context) error) error {
	if !c.OutlivesCaller {
		if err := p.waitSlowCall(ctx); err != nil {
			return err
		}
		return effect(ctx)
	}
	done := make(chan error, 1)
	go func() {
		detached, cancel := p.untilKilled(context.WithoutCancel(ctx))
		defer cancel()
		if err := p.waitSlowCall(detached); err != nil {
			done <- err
			return
		}
		done <- effect(detached)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return c.LostError
	}
}

func (p *Process) waitSlowCall(ctx context.Context) error {
	p.injector.extendDelays(p.injector.options.SlowCall)
	select {
	case <-p.injector.clock.After(p.injector.options.SlowCall):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
