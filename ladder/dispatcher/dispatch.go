package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// maxAttempts limits the number of targets tried for one request.
const maxAttempts = 4

// progress is the state shared by the attempts of one request.
type progress struct {
	// mayHaveRun is set once an attempt may have run; from then on the outcome
	// is never NotRun.
	mayHaveRun bool
	// responseStarted is set once the caller has received part of the response.
	responseStarted bool
	tried           map[identifier.TargetName]bool
	// lastRefusal is the most recent refusal.
	lastRefusal NotRun
}

// Dispatch runs the request and returns its final outcome, at the latest when
// its deadline passes or ctx ends.
func (d *Dispatcher) Dispatch(ctx context.Context, r Request) Outcome {
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, r.Deadline)
	defer cancel()
	s := &progress{
		tried:       make(map[identifier.TargetName]bool),
		lastRefusal: NotRun{Code: CodeNoTarget, RetryAfter: d.options.RetryAfter},
	}
	for n := identifier.AttemptNumber(1); n <= maxAttempts; n++ {
		if n > 1 && !d.budget.TrySpend() {
			break
		}
		p := d.chooseTarget(r, s.tried)
		if p == nil {
			break
		}
		s.tried[p.target] = true
		o, hedged := d.runWithHedging(ctx, r, p, n, s)
		if o != nil {
			return o
		}
		if hedged {
			n++
		}
	}
	if s.mayHaveRun {
		return Unknown{Code: CodeTargetLost, RetryAfter: d.options.RetryAfter}
	}
	return s.lastRefusal
}

// chooseTarget picks a target of the service that accepts work and was not
// tried yet, nil if there is none.
func (d *Dispatcher) chooseTarget(r Request, tried map[identifier.TargetName]bool) *peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	target, ok := d.router.Choose(d.restrictCandidates(r, d.candidates(r, tried)), r.monitoring())
	if !ok {
		return nil
	}
	return d.peers[target]
}

// hasUntriedTarget reports whether chooseTarget would find a target.
func (d *Dispatcher) hasUntriedTarget(r Request, tried map[identifier.TargetName]bool) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.candidates(r, tried)) > 0
}

// candidates returns the targets that chooseTarget picks from. The caller holds
// the mutex.
func (d *Dispatcher) candidates(r Request, tried map[identifier.TargetName]bool) []router.Candidate {
	var list []router.Candidate
	for _, p := range d.peers {
		if p.service != r.Service || !p.acceptsWork() || tried[p.target] {
			continue
		}
		list = append(list, router.Candidate{
			Target: p.target, Service: r.Service, Zone: p.zone, ReportedLoad: p.load.InFlight + p.load.Queued, LoadReportedAt: p.loadAt,
		})
	}
	return list
}

// runAttempt runs one attempt. It returns nil if another target may be tried.
func (d *Dispatcher) runAttempt(ctx context.Context, r Request, p *peer, n identifier.AttemptNumber, s *progress) (o Outcome) {
	v, refused := d.acquireQuarantine(ctx, r, s)
	if refused != nil {
		d.router.Done(p.target, r.monitoring())
		return refused
	}
	defer func() { d.releaseQuarantine(ctx, r, v, o) }()
	a := d.openAttempt(p, attemptKey{r.ID, n}, bool(r.monitoring()))
	defer d.releaseAttempt(a)
	switch d.sendStart(ctx, r, p, n, v) {
	case notSent:
		d.router.Done(p.target, r.monitoring())
		return nil
	case maybeSent:
		if r.Idempotent && d.hasUntriedTarget(r, s.tried) {
			// Another target responds sooner than this one can reconnect.
			d.router.Done(p.target, r.monitoring())
			return d.retryOrUnknown(r, s, CodeTargetLost)
		}
	case sent:
	}
	err := d.awaitEnd(ctx, r, a, s)
	result := d.resultOf(a)
	if result == nil && err != nil {
		d.router.Done(p.target, r.monitoring())
		if r.Sample == "" || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.cancelAttempt(a)
		}
		return outcomeOfContext(ctx, d.options.RetryAfter)
	}
	d.router.Done(p.target, r.monitoring())
	o = d.outcomeOfResult(r, a, result, s)
	if _, ok := o.(Completed); ok {
		d.budget.RecordSuccess()
	}
	return o
}

// outcomeOfContext returns the outcome of a request whose context ended before
// a result arrived.
func outcomeOfContext(ctx context.Context, retryAfter time.Duration) Outcome {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return Unknown{Code: CodeStopping, RetryAfter: retryAfter}
	}
	if ctx.Err() == context.Canceled {
		return Unknown{Code: CodeCallerGone, RetryAfter: retryAfter}
	}
	return Unknown{Code: CodeTimeout, RetryAfter: retryAfter}
}

// outcomeOfResult converts a sidecar's result into an outcome, or nil if
// another target may be tried.
func (d *Dispatcher) outcomeOfResult(r Request, a *attempt, result messenger.AttemptResult, s *progress) Outcome {
	switch m := result.(type) {
	case messenger.Refused:
		s.lastRefusal = notRunOf(m, d.options.RetryAfter)
		if m.Reason == messenger.RefusedQuarantined && !s.mayHaveRun {
			return s.lastRefusal
		}
		return nil
	case messenger.End:
		if m.Reason == messenger.EndComplete {
			return Completed{
				Status: m.Status, Body: a.output.Bytes(), Checksum: m.Checksum,
				Spans: m.Spans, Target: a.peer.target, QueueTime: m.QueueTime,
			}
		}
		return d.retryOrUnknown(r, s, codeByEndReason[m.Reason])
	}
	return d.retryOrUnknown(r, s, CodeTargetLost)
}

// codeByEndReason maps the reason for an incomplete response to the code
// reported to the caller.
var codeByEndReason = map[messenger.EndReason]Code{
	messenger.EndTargetFailed: CodeTargetFailed,
	messenger.EndCancelled:    CodeTimeout,
	messenger.EndLabelUnknown: CodeLabelUnknown,
	messenger.EndDropped:      CodeAlreadyRan,
}

// retryOrUnknown records that an attempt may have run. The request is retried
// only if it is idempotent and its caller has received nothing of the response.
func (d *Dispatcher) retryOrUnknown(r Request, s *progress, code Code) Outcome {
	s.mayHaveRun = true
	if r.Idempotent && !s.responseStarted {
		return nil
	}
	return Unknown{Code: code, RetryAfter: d.options.RetryAfter}
}

// codeByRefusalReason maps a sidecar's refusal to the code reported to the
// caller.
var codeByRefusalReason = map[messenger.RefusalReason]Code{
	messenger.RefusedQueueFull:        CodeQueueFull,
	messenger.RefusedLeaving:          CodeNoTarget,
	messenger.RefusedNeverStarted:     CodeNoTarget,
	messenger.RefusedOtherIncarnation: CodeNoTarget,
	messenger.RefusedQuarantined:      CodeCrashesTargets,
	messenger.RefusedByTarget:         CodeTargetRefused,
	messenger.RefusedTooLate:          CodeTimeout,
}

func notRunOf(m messenger.Refused, minRetryAfter time.Duration) NotRun {
	return NotRun{Code: codeByRefusalReason[m.Reason], RetryAfter: max(m.RetryAfter, minRetryAfter)}
}
