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

// maxAttempts bounds the targets tried for one request.
const maxAttempts = 4

// progress is what earlier attempts have left behind.
type progress struct {
	// mayHaveRun is set once an attempt may have run: from then on the
	// request is never called not run.
	mayHaveRun bool
	// streamed is set once the caller has been given bytes.
	streamed bool
	tried    map[identifier.TargetName]bool
	// last is the newest refusal.
	last NotRun
}

// Dispatch runs the request and returns its final outcome, at the latest when
// its deadline or ctx ends.
func (d *Dispatcher) Dispatch(ctx context.Context, r Request) Outcome {
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, r.Deadline)
	defer cancel()
	s := &progress{
		tried: make(map[identifier.TargetName]bool),
		last:  NotRun{Code: CodeNoTarget, RetryAfter: d.options.RetryAfter},
	}
	for n := identifier.AttemptNumber(1); n <= maxAttempts; n++ {
		if n > 1 && !d.budget.TrySpend() {
			break
		}
		p := d.choose(r, s.tried)
		if p == nil {
			break
		}
		s.tried[p.target] = true
		o, hedged := d.tryOrRace(ctx, r, p, n, s)
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
	return s.last
}

// choose picks a linked, staying target of the service that wasn't tried.
func (d *Dispatcher) choose(r Request, tried map[identifier.TargetName]bool) *peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	target, ok := d.router.Choose(d.narrow(r, d.candidates(r, tried)), r.followed())
	if !ok {
		return nil
	}
	return d.peers[target]
}

// hasOther says whether choose would find a target.
func (d *Dispatcher) hasOther(r Request, tried map[identifier.TargetName]bool) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.candidates(r, tried)) > 0
}

// candidates returns the targets that choose picks from. The caller holds the
// mutex.
func (d *Dispatcher) candidates(r Request, tried map[identifier.TargetName]bool) []router.Candidate {
	var list []router.Candidate
	for _, p := range d.peers {
		if p.service != r.Service || !p.usable() || tried[p.target] {
			continue
		}
		list = append(list, router.Candidate{
			Target: p.target, Service: r.Service, Zone: p.zone, ReportedLoad: p.load.InFlight + p.load.Queued, LoadReportedAt: p.loadAt,
		})
	}
	return list
}

// try runs one attempt. It returns nil if another target may be tried.
func (d *Dispatcher) try(ctx context.Context, r Request, p *peer, n identifier.AttemptNumber, s *progress) (o Outcome) {
	v, refused := d.enter(ctx, r, s)
	if refused != nil {
		d.router.Done(p.target, r.followed())
		return refused
	}
	defer func() { d.leave(ctx, r, v, o) }()
	a := d.open(p, key{r.ID, n}, bool(r.followed()))
	defer d.close(a)
	switch d.start(ctx, r, p, n, v) {
	case notSent:
		d.router.Done(p.target, r.followed())
		return nil
	case maybeSent:
		if r.Idempotent && d.hasOther(r, s.tried) {
			// Another target is sooner than this one's next link.
			d.router.Done(p.target, r.followed())
			return d.mayHaveRun(r, s, CodeTargetLost)
		}
	case sent:
	}
	err := d.follow(ctx, r, a, s)
	answer := d.answerOf(a)
	if answer == nil && err != nil {
		d.router.Done(p.target, r.followed())
		if r.Sample == "" || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.abandon(a)
		}
		return gaveUp(ctx, d.options.RetryAfter)
	}
	d.router.Done(p.target, r.followed())
	o = d.judge(r, a, answer, s)
	if _, ok := o.(Completed); ok {
		d.budget.RecordSuccess()
	}
	return o
}

// gaveUp is the outcome when the caller's time is over before an answer came.
func gaveUp(ctx context.Context, retryAfter time.Duration) Outcome {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return Unknown{Code: CodeStopping, RetryAfter: retryAfter}
	}
	if ctx.Err() == context.Canceled {
		return Unknown{Code: CodeCallerGone, RetryAfter: retryAfter}
	}
	return Unknown{Code: CodeTimeout, RetryAfter: retryAfter}
}

// judge turns a sidecar's answer into an outcome, or nil to try elsewhere.
func (d *Dispatcher) judge(r Request, a *attempt, answer messenger.AttemptResult, s *progress) Outcome {
	switch m := answer.(type) {
	case messenger.Refused:
		s.last = notRunOf(m, d.options.RetryAfter)
		if m.Reason == messenger.RefusedQuarantined && !s.mayHaveRun {
			return s.last
		}
		return nil
	case messenger.End:
		if m.Reason == messenger.EndComplete {
			return Completed{
				Status: m.Status, Body: a.output.Bytes(), Checksum: m.Checksum,
				Spans: m.Spans, Target: a.peer.target, QueueTime: m.QueueTime,
			}
		}
		return d.mayHaveRun(r, s, codeByEnd[m.Reason])
	}
	return d.mayHaveRun(r, s, CodeTargetLost)
}

// codeByEnd names why a started attempt gave no whole answer.
var codeByEnd = map[messenger.EndReason]Code{
	messenger.EndTargetFailed: CodeTargetFailed,
	messenger.EndCancelled:    CodeTimeout,
	messenger.EndLabelUnknown: CodeLabelUnknown,
	messenger.EndDropped:      CodeAlreadyRan,
}

// mayHaveRun notes that an attempt may have run. The request is tried again
// only if it may run twice and its caller has seen nothing of it.
func (d *Dispatcher) mayHaveRun(r Request, s *progress, code Code) Outcome {
	s.mayHaveRun = true
	if r.Idempotent && !s.streamed {
		return nil
	}
	return Unknown{Code: code, RetryAfter: d.options.RetryAfter}
}

// refusalByReason gives the caller's code for a sidecar's refusal.
var refusalByReason = map[messenger.RefusalReason]Code{
	messenger.RefusedQueueFull:        CodeQueueFull,
	messenger.RefusedLeaving:          CodeNoTarget,
	messenger.RefusedNeverStarted:     CodeNoTarget,
	messenger.RefusedOtherIncarnation: CodeNoTarget,
	messenger.RefusedQuarantined:      CodeCrashesTargets,
	messenger.RefusedByTarget:         CodeTargetRefused,
	messenger.RefusedTooLate:          CodeTimeout,
}

func notRunOf(m messenger.Refused, least time.Duration) NotRun {
	return NotRun{Code: refusalByReason[m.Reason], RetryAfter: max(m.RetryAfter, least)}
}
