package throttler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/permitter"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

const (
	// askTimeout bounds the wait for one host's answer to a question for a permit. It
	// also bounds the age of a permit when it is used.
	askTimeout = permitter.PermitLifetime
	// unreachableWait is how long no permit is asked for after no host has answered.
	unreachableWait = 250 * time.Millisecond
)

// acquire returns nil if a request may be sent to the target, sender.ErrLimited if not.
func (t *Throttler) acquire(ctx context.Context, to cataloger.Target) error {
	call, needed, err := t.beginAsking(to)
	if err != nil || !needed {
		return err
	}
	answer := t.ask(ctx, call)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.learn(to.Incarnation(), fromMessage(answer.Limit), t.heardAt(answer.Limit))
	known.pending--
	if known.limit.Limited {
		known.report.add(t.clock.Now(), to.Name, known.limit.Rate, answer.Granted)
	}
	switch {
	case answer.Granted:
		return nil
	case ctx.Err() != nil: // nobody waits for the answer any more, which says nothing about the target
		return errors.Wrap(sender.ErrNotSent, ctx.Err().Error())
	}
	known.deniedUntil = t.clock.Now().Add(answer.Wait)
	return sender.ErrLimited
}

// charge takes a permit for a request that is sent in any case.
func (t *Throttler) charge(ctx context.Context, to cataloger.Target) {
	t.mutex.Lock()
	known, ok := t.targets[to.Incarnation()]
	if !ok || !known.limit.Limited {
		t.mutex.Unlock()
		return
	}
	call := messenger.PermitCall{Target: t.toMessage(to.Incarnation(), known), Charge: true}
	t.mutex.Unlock()
	t.ask(ctx, call)
}

// beginAsking returns the question for a permit, if one is needed, and counts the request
// as pending.
func (t *Throttler) beginAsking(to cataloger.Target) (call messenger.PermitCall, needed bool, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.targets[to.Incarnation()]
	if !ok || !known.limit.Limited {
		return call, false, nil
	}
	if known.deniedUntil.After(t.clock.Now()) {
		known.report.add(t.clock.Now(), to.Name, known.limit.Rate, false)
		return call, false, sender.ErrLimited
	}
	known.pending++
	return messenger.PermitCall{Target: t.toMessage(to.Incarnation(), known)}, true, nil
}

// ask asks the hosts that may grant a permit, in order, until one answers.
func (t *Throttler) ask(ctx context.Context, call messenger.PermitCall) messenger.PermitAnswer {
	t.mutex.Lock()
	granters := t.roster.Granters(call.Target.Target)
	t.mutex.Unlock()
	for _, address := range granters {
		if address == t.options.Self {
			return t.Answer(call)
		}
		if answer, ok := t.askPeer(ctx, address, call); ok {
			return answer
		}
	}
	return messenger.PermitAnswer{Wait: unreachableWait, Limit: call.Target.Limit}
}

// askPeer returns false if the peer doesn't answer within askTimeout or doesn't know the
// question.
func (t *Throttler) askPeer(ctx context.Context, address string, call messenger.PermitCall) (messenger.PermitAnswer, bool) {
	r, ok := querier.AskBriefly(ctx, t.clock, t.options.Peers, address, messenger.Question{Permit: &call}, askTimeout)
	if !ok || r.Permit == nil {
		return messenger.PermitAnswer{}, false
	}
	return *r.Permit, true
}

// Answer grants or denies a permit to another host or to this one.
func (t *Throttler) Answer(call messenger.PermitCall) messenger.PermitAnswer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.clock.Now()
	of := cataloger.Incarnation{Name: call.Target.Target, StartID: call.Target.StartID}
	known := t.learn(of, fromMessage(call.Target.Limit), t.heardAt(call.Target.Limit))
	answer := messenger.PermitAnswer{Limit: t.toMessage(of, known).Limit}
	standing := t.roster.Standing(now, of.Name)
	switch {
	case !known.limit.Limited:
		answer.Granted = true
	case call.Charge:
		known.bucket.Charge(now, known.limit.Rate, standing)
		answer.Granted = true
	default:
		answer.Wait, answer.Granted = known.bucket.Grant(now, known.limit.Rate, standing)
	}
	return answer
}

// toMessage returns a target's limit for another host. The caller holds the mutex.
func (t *Throttler) toMessage(of cataloger.Incarnation, known *target) messenger.TargetLimit {
	return messenger.TargetLimit{Target: of.Name, StartID: of.StartID, Limit: messenger.RequestLimit{
		Limited: known.limit.Limited, Rate: known.limit.Rate, Age: t.clock.Since(known.heardAt),
	}}
}

// heardAt returns when another host heard of a limit, by the clock of this one.
func (t *Throttler) heardAt(l messenger.RequestLimit) time.Time {
	return t.clock.Now().Add(-max(0, l.Age))
}

// fromMessage returns a limit that another host has heard of. What can't be a rate counts
// as a limit of 0.
func fromMessage(l messenger.RequestLimit) sender.RequestLimit {
	rate := l.Rate
	if !(rate > 0) {
		rate = 0
	}
	return sender.RequestLimit{Limited: l.Limited, Rate: min(rate, maxRate)}
}

// maxRate bounds what another host may report as a limit, in requests per second.
const maxRate identifier.RequestRate = 1e6
