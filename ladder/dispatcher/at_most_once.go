package dispatcher

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/claimer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// maxGenerations limits the claims made for one call.
const maxGenerations = 3

// CodeKeyReused means that the idempotency key was used before for a different
// request.
const CodeKeyReused Code = "idempotency-key-reused"

// DispatchAtMostOnce runs a request at most once under the caller's idempotency
// key, however often and to whichever entries it is sent. A repeated request
// gets the response of the first one if it is still available.
func (d *Dispatcher) DispatchAtMostOnce(ctx context.Context, c *claimer.Claimer, r Request, idempotencyKey identifier.IdempotencyKey) Outcome {
	switch err := c.CheckKey(idempotencyKey); {
	case errors.Is(err, claimer.ErrKeyTooOld):
		return NotRun{Code: CodeKeyTooOld, RetryAfter: d.options.RetryAfter}
	case err != nil:
		return NotRun{Code: CodeKeyInvalid, RetryAfter: d.options.RetryAfter}
	}
	r.retainResponse = true
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, r.Deadline)
	defer cancel()
	s := &progress{
		tried:       make(map[identifier.TargetName]bool),
		lastRefusal: NotRun{Code: CodeNoTarget, RetryAfter: d.options.RetryAfter},
	}
	generation := uint32(1)
	for range maxGenerations {
		p := d.chooseTarget(r, s.tried)
		if p == nil {
			return s.lastRefusal
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
			o = d.runAttempt(ctx, r, p, claim.Attempt, s)
			generation++
		case claimer.Lost:
			d.router.Done(p.target, r.monitoring())
			o = d.followHolder(ctx, r, claim, v.Holder, s)
			generation = v.Holder.Generation + 1
		case claimer.Undecided:
			d.router.Done(p.target, r.monitoring())
			return NotRun{Code: CodeLogUnavailable, RetryAfter: d.options.RetryAfter}
		}
		if o != nil {
			return o
		}
	}
	return s.lastRefusal
}

// followHolder returns the outcome of the attempt that holds the claim. It
// returns nil if the holder's sidecar reports that the request never started.
func (d *Dispatcher) followHolder(ctx context.Context, r Request, claim, holder claimer.Claim, s *progress) Outcome {
	if holder.Fingerprint != claim.Fingerprint {
		return NotRun{Code: CodeKeyReused, RetryAfter: d.options.RetryAfter}
	}
	d.mutex.Lock()
	p := d.peers[holder.Target]
	linked := p != nil && p.incarnation == holder.Incarnation
	d.mutex.Unlock()
	if !linked {
		return Unknown{Code: CodeTargetLost, RetryAfter: d.options.RetryAfter}
	}
	outcome, err := d.followAttempt(ctx, r, p, attemptKey{holder.Request, holder.Attempt}, s)
	if err != nil {
		return outcomeOfContext(ctx, d.options.RetryAfter)
	}
	return outcome
}
