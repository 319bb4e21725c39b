// Package injector puts faults into port calls. It numbers the calls of a
// clean run, and in later runs lets a planned fault happen at one of them.
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

// A step is named by its process, port, call and count, not by its place in
// the whole run: which ready task runs first is the scheduler's choice, and
// the name must mean the same call every time.

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	// Refused: the call fails before it has any effect.
	Refused Kind = "refused"
	// AnswerLost: the call fails after its effect.
	AnswerLost Kind = "answer-lost"
	// Slow: the call goes on past its deadline, and then takes effect.
	Slow Kind = "slow"
	// KilledBefore and KilledAfter: the process dies before the call's effect
	// or right after it, and another one takes its place.
	KilledBefore Kind = "killed-before"
	KilledAfter  Kind = "killed-after"
	// PausedBriefly and Paused: the process stands still before the call's
	// effect, shorter than a link may be silent, or longer than any lease.
	PausedBriefly Kind = "paused-briefly"
	Paused        Kind = "paused"
	// Silent: the link carries nothing any longer, and no error either.
	Silent Kind = "silent"
	// TargetCrashed: the target's process dies and starts anew, in the midst of the
	// work that was handed to it, or just before any other call.
	TargetCrashed Kind = "target-crashed"
)

// Kinds lists every kind of fault.
var Kinds = []Kind{Refused, AnswerLost, Slow, KilledBefore, KilledAfter, PausedBriefly, Paused, Silent, TargetCrashed}

// Step names one port call of a run, as in entry-1.log.append-claims.2.
type Step struct {
	// Process, Port and Call are kebab-case.
	Process, Port, Call string
	// Count is from 1, over all incarnations of the process.
	Count int
}

// String returns the step's name.
func (s Step) String() string {
	return fmt.Sprintf("%s.%s.%s.%d", s.Process, s.Port, s.Call, s.Count)
}

// Injection is one fault at one step.
type Injection struct {
	Step string
	Kind Kind
}

// String returns the injection as step=kind.
func (i Injection) String() string { return i.Step + "=" + string(i.Kind) }

// ParseInjection reads what String writes.
func ParseInjection(text string) (i Injection, err error) {
	step, kind, ok := strings.Cut(text, "=")
	if !ok {
		return i, errors.Errorf("injector: fault %q: no = between step and kind", text)
	}
	for _, known := range Kinds {
		if string(known) == kind {
			return Injection{Step: step, Kind: known}, nil
		}
	}
	return i, errors.Errorf("injector: fault %q: kind %q is none of %v", text, kind, Kinds)
}

// Options are an Injector's settings.
type Options struct {
	// SlowCall is the length of a slow call.
	SlowCall time.Duration
	// BriefPause and Pause are the lengths of the pauses.
	BriefPause, Pause time.Duration
}

// DefaultOptions fits the usual heartbeats and leases.
func DefaultOptions() Options {
	return Options{SlowCall: 10 * time.Second, BriefPause: 2500 * time.Millisecond, Pause: 15 * time.Second}
}

// Injector has the faults of one run.
type Injector struct {
	clock   clockwork.Clock
	options Options
	plan    map[string]Kind
	// killed is told of every process that a fault has killed.
	killed func(p *Process)
	// life ends with End.
	life context.Context
	end  context.CancelFunc

	mutex  sync.Mutex
	counts map[string]int
	steps  []ReachedStep
	fired  []Injection
	// quietAt is when the last pause or slow call so far is over.
	quietAt time.Time
}

// ReachedStep is a step that a run has come to.
type ReachedStep struct {
	Step
	// Kinds are the faults that can happen there.
	Kinds []Kind
}

// New returns an Injector of the planned faults.
func New(clock clockwork.Clock, options Options, plan []Injection, killed func(p *Process)) *Injector {
	life, end := context.WithCancel(context.Background())
	i := &Injector{life: life, end: end, clock: clock, options: options, plan: make(map[string]Kind), killed: killed, counts: make(map[string]int)}
	for _, injection := range plan {
		i.plan[injection.Step] = injection.Kind
	}
	return i
}

// Close makes all that is still slow or paused give up.
func (i *Injector) Close() { i.end() }

// Steps returns the steps that the run came to, in order.
func (i *Injector) Steps() []ReachedStep {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]ReachedStep(nil), i.steps...)
}

// DelaysEnd returns when the last pause or slow call so far is over.
func (i *Injector) DelaysEnd() time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.quietAt
}

// busyFor notes a pause or a slow call.
func (i *Injector) busyFor(d time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if ends := i.clock.Now().Add(d); ends.After(i.quietAt) {
		i.quietAt = ends
	}
}

// Fired returns the faults that have happened.
func (i *Injector) Fired() []Injection {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]Injection(nil), i.fired...)
}

// reach counts a step and returns the fault planned there, or "".
func (i *Injector) reach(process, port, call string, kinds []Kind) Kind {
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

// Call is one port call.
type Call struct {
	Port, Name string
	// Kinds are the faults that can happen to it.
	Kinds []Kind
	// RefusedError and LostError are the port's errors for the faults of these names.
	RefusedError, LostError error
	// Crash makes the target crash.
	Crash func()
	// OutlivesCaller says that the effect happens even if the caller has given up.
	OutlivesCaller bool
}

// withoutProcess is for calls of processes that are no part of the system.
var withoutProcess = []Kind{Refused, AnswerLost, Slow}

// ExternalKinds are the faults of a call that a caller or trainer makes.
func ExternalKinds() []Kind { return withoutProcess }

// ProcessKinds are the faults of a call that a process of the system makes.
func ProcessKinds() []Kind { return callKinds() }

func callKinds() []Kind {
	return []Kind{Refused, AnswerLost, Slow, KilledBefore, KilledAfter, PausedBriefly, Paused}
}

// Do makes the call through effect, under the fault planned for its step.
func (p *Process) Do(ctx context.Context, c Call, effect func(ctx context.Context) error) error {
	if err := p.awake(); err != nil {
		return err
	}
	ctx, cancel := p.bind(ctx)
	defer cancel()
	err := p.under(p.injector.reach(p.name, c.Port, c.Name, c.Kinds), ctx, c, effect)
	if dead := p.awake(); dead != nil {
		return dead
	}
	return err
}

func (p *Process) under(kind Kind, ctx context.Context, c Call, effect func(ctx context.Context) error) error {
	switch kind {
	case Refused:
		return c.RefusedError
	case AnswerLost:
		if err := effect(ctx); err != nil {
			return err
		}
		return c.LostError
	case Slow:
		return p.slowly(ctx, c, effect)
	case KilledBefore:
		p.Kill()
		return ErrDead
	case KilledAfter:
		_ = effect(ctx)
		p.Kill()
		return ErrDead
	case PausedBriefly, Paused:
		p.Pause(p.injector.pauseOf(kind))
		if err := p.awake(); err != nil {
			return err
		}
		if c.OutlivesCaller {
			var cancel context.CancelFunc
			ctx, cancel = p.bind(context.WithoutCancel(ctx))
			defer cancel()
		}
	case TargetCrashed:
		c.Crash()
	case Silent:
	}
	return effect(ctx)
}

func (i *Injector) pauseOf(kind Kind) time.Duration {
	if kind == PausedBriefly {
		return i.options.BriefPause
	}
	return i.options.Pause
}

// slowly lets the call take effect late; its caller waits only for ctx.
func (p *Process) slowly(ctx context.Context, c Call, effect func(ctx context.Context) error) error {
	if !c.OutlivesCaller {
		if err := p.sleep(ctx); err != nil {
			return err
		}
		return effect(ctx)
	}
	done := make(chan error, 1)
	go func() {
		late, cancel := p.bind(context.WithoutCancel(ctx))
		defer cancel()
		if err := p.sleep(late); err != nil {
			done <- err
			return
		}
		done <- effect(late)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return c.LostError
	}
}

func (p *Process) sleep(ctx context.Context) error {
	p.injector.busyFor(p.injector.options.SlowCall)
	select {
	case <-p.injector.clock.After(p.injector.options.SlowCall):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
