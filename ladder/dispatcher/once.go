package dispatcher

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/claimer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// maxGenerations bounds the claims made for one call.
const maxGenerations = 3

// CodeKeyReused says that the key was used for another request.
const CodeKeyReused Code = "idempotency-key-reused"

// DispatchAtMostOnce runs a request that must run at most once, under the caller's
// key, whichever entries it is sent to and however often. A sender that comes
// second gets the first one's answer where it can still be had.
func (d *Dispatcher) DispatchAtMostOnce(ctx context.Context, c *claimer.Claimer, r Request, idempotencyKey identifier.IdempotencyKey) Outcome {
	switch err := c.CheckKey(idempotencyKey); {
	case errors.Is(err, claimer.ErrKeyTooOld):
		return NotRun{Code: CodeKeyTooOld, RetryAfter: d.options.RetryAfter}
	case err != nil:
		return NotRun{Code: CodeKeyInvalid, RetryAfter: d.options.RetryAfter}
	}
	r.keep = true
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, r.Deadline)
	defer cancel()
	s := &progress{
		tried: make(map[identifier.TargetName]bool),
		last:  NotRun{Code: CodeNoTarget, RetryAfter: d.options.RetryAfter},
	}
	generation := uint32(1)
	for range maxGenerations {
		p := d.choose(r, s.tried)
		if p == nil {
			return s.last
		}
		claim := claimer.Claim{
			Key: claimer.ClaimKey(r.Team, idempotencyKey), Generation: generation,
			Fingerprint: identifier.NewFingerprint(r.Service, r.Call, r.Body),
			Request:     r.ID, Attempt: identifier.AttemptNumber(generation), Target: p.target, Incarnation: p.incarnation,
		}
		var o Outcome
		switch v := c.Claim(ctx, claim).(type) {
		case claimer.Won:
			s.tried[p.target] = true
			o = d.try(ctx, r, p, claim.Attempt, s)
			generation++
		case claimer.Lost:
			d.router.Done(p.target, r.followed())
			o = d.followHolder(ctx, r, claim, v.Holder, s)
			generation = v.Holder.Generation + 1
		case claimer.Undecided:
			d.router.Done(p.target, r.followed())
			return NotRun{Code: CodeLogUnavailable, RetryAfter: d.options.RetryAfter}
		}
		if o != nil {
			return o
		}
	}
	return s.last
}

// followHolder gives the second sender the holder's answer. It returns nil if
// the holder's sidecar says that the request never started.
func (d *Dispatcher) followHolder(ctx context.Context, r Request, claim, holder claimer.Claim, s *progress) Outcome {
	if holder.Fingerprint != claim.Fingerprint {
		return NotRun{Code: CodeKeyReused, RetryAfter: d.options.RetryAfter}
	}
	d.mutex.Lock()
	p := d.peers[holder.Target]
	same := p != nil && p.incarnation == holder.Incarnation
	d.mutex.Unlock()
	if !same {
		return Unknown{Code: CodeTargetLost, RetryAfter: d.options.RetryAfter}
	}
	answer, err := d.join(ctx, r, p, key{holder.Request, holder.Attempt}, s)
	if err != nil {
		return gaveUp(ctx, d.options.RetryAfter)
	}
	return answer
}
