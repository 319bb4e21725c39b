package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/admission/admitter"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Each request has one forwarding. Its attempts run in goroutines that send their
// results to it. Retries and hedging are meant for a moderate load of short calls
// and targets that are slow or down for a moment. Under overload the targets
// refuse, and the caller is told when to retry.

// attempt is a request in progress at one target.
type attempt struct {
	target cataloger.Target
	cancel context.CancelFunc
}

type attemptResult struct {
	target   cataloger.Target
	response *sender.Response
	body     []byte
	err      error
}

// forwarding is the state of one request.
type forwarding struct {
	*Forwarder
	request  Request
	route    cataloger.Route
	deadline time.Time
	results  chan attemptResult
	// open has the attempts without a result.
	open map[identifier.TargetName]attempt
	// tried has the targets used since all of them were last allowed again.
	tried map[identifier.TargetName]bool
	// denials counts the attempts that were not sent because of their target's limit.
	denials int
	// service is the one that the request is sent to.
	service identifier.ServiceName
	// pause is how long to wait before all targets are allowed again.
	pause time.Duration
	// executed counts the attempts that their target may have run.
	executed int
	// lastFailure is the last error response of a target.
	lastFailure *Response
	fingerprint identifier.Fingerprint
	// mayHaveRun means that an attempt without a response may have run.
	mayHaveRun bool
	// arrived is when the request arrived.
	arrived time.Time
	// ticket admits the next attempt; nil if there is none.
	ticket *admitter.Ticket
	// sent is set by the first attempt. refused means that the last target to respond had no
	// room.
	sent, refused bool
	// waitsAgain means that an owed request that targets have refused goes back to the queue.
	waitsAgain bool
	// disallowed is set once no further attempt is allowed.
	disallowed bool
}

// Forward sends a request whose response is not streamed. It ends with ctx, at the
// caller's time limit or at the route's, whichever comes first. The route's does not apply
// to owed requests, and theirs begins when they are sent.
func (f *Forwarder) Forward(ctx context.Context, route cataloger.Route, r Request) Outcome {
	if r.Owed {
		return f.forwardOwed(ctx, route, r)
	}
	ctx, cancel := context.WithTimeout(ctx, TimeLimit(route, r))
	defer cancel()
	w := f.newForwarding(route, r, f.clock.Now())
	if w.isBlocked() {
		return NotRun{RetryAfter: blockedRetryAfter, Reason: "the request is blocked because it crashes targets"}
	}
	if err := w.admit(ctx); err != nil {
		return w.unadmittedOutcome(ctx, err)
	}
	return w.run(ctx)
}

// defaultTimeLimit applies where neither caller nor route sets a limit.
const defaultTimeLimit = time.Minute

// TimeLimit returns the longest time that a request may take.
func TimeLimit(route cataloger.Route, r Request) time.Duration {
	limit := defaultTimeLimit
	if route.Timeout > 0 && !r.Owed {
		limit = min(limit, route.Timeout)
	}
	if r.TimeLeft > 0 {
		limit = min(limit, r.TimeLeft)
	}
	return limit
}

func (w *forwarding) mayRepeat() bool { return w.route.Kind == cataloger.KindIdempotent }

// run sends a request that has been admitted.
func (w *forwarding) run(ctx context.Context) Outcome {
	defer w.release()
	if !w.startAttempt(ctx, sender.Required) {
		return w.noTargetOutcome()
	}
	hedge := w.clock.After(w.hedgeDelay())
	for {
		select {
		case r := <-w.results:
			if o, done := w.handleResult(ctx, r); done {
				return o
			}
		case <-hedge:
			hedge = nil
			if w.mayRepeat() && w.executed+len(w.open) < w.route.MaxAttempts && !w.admitter.InForce(w.service) && w.budget.TrySpend() && w.startAttempt(ctx, sender.Optional) {
				klog.InfoS("second target asked, the first is silent", "request", w.request.ID, "service", w.service)
			}
		case <-ctx.Done():
			return w.timeoutOutcome()
		}
	}
}

// release ends what is left when the outcome is known.
func (w *forwarding) release() {
	for _, a := range w.open {
		a.cancel()
	}
	w.ticket.Done(admitter.Result{})
}

func (w *forwarding) isBlocked() bool {
	return !w.request.Owed && w.blocklist.Convicted(w.fingerprint)
}

// hedgeDelay returns how long the first target may be silent before a second one
// is asked. It is bounded by the route's latency goal, since a service may receive
// calls of several kinds and the slowest ones raise its usual response time.
func (w *forwarding) hedgeDelay() time.Duration {
	delay := w.router.SilenceTimeout(w.service, false)
	if delay == 0 {
		delay = initialHedgeDelay
	}
	if w.route.LatencyGoal > 0 {
		delay = min(delay, w.route.LatencyGoal/goalParts)
	}
	return max(delay, minHedgeDelay)
}

func (w *forwarding) noTargetOutcome() Outcome {
	if w.lastFailure != nil {
		return *w.lastFailure
	}
	if w.mayHaveRun {
		return Unknown{Reason: reasonMayHaveRun}
	}
	if w.disallowed {
		return NotAllowed{}
	}
	return w.notRun(w.service)
}

func (w *forwarding) timeoutOutcome() Outcome {
	if w.lastFailure != nil {
		return *w.lastFailure
	}
	if w.mayHaveRun || len(w.open) > 0 {
		return Unknown{TimedOut: true, Reason: "time limit expired"}
	}
	return NotRun{RetryAfter: overloadRetryAfter, Reason: "time limit expired"}
}

// startAttempt sends the request to one more target. It returns false if there is none.
func (w *forwarding) startAttempt(ctx context.Context, n sender.Need) bool {
	if w.disallowed = !w.request.stillAllowed(); w.disallowed {
		return false
	}
	left := w.deadline.Sub(w.clock.Now())
	if left < minTimeLeft {
		return false
	}
	name, ok := w.router.Choose(w.candidates(w.service, selection{need: n, tried: w.tried}), router.Monitored)
	if !ok {
		return false
	}
	t, ok := w.catalog.Target(name)
	if !ok {
		w.router.Done(name, router.Monitored)
		return false
	}
	w.tried[name], w.sent = true, true
	ticket := w.takeTicket()
	ticket.Sent(name)
	attemptCtx, cancel := context.WithCancel(ctx)
	w.open[name] = attempt{target: t, cancel: cancel}
	go func() {
		r := attemptResult{target: t, err: errors.Wrap(sender.ErrNoResponse, "panic during the attempt")}
		// CatchPanic logs the panic.
		_ = recoverer.CatchPanic("attempt at a target", func() { r = w.runAttempt(attemptCtx, t, left) })
		ticket.Done(r.admissionResult())
		w.results <- r
	}()
	return true
}

// runAttempt sends the request to one target and reads the complete response.
func (w *forwarding) runAttempt(ctx context.Context, t cataloger.Target, left time.Duration) attemptResult {
	defer w.router.Done(t.Name, router.Monitored)
	start := w.clock.Now()
	r := attemptResult{target: t}
	r.response, r.err = w.sender.Send(ctx, t, w.request.call(left, w.catalog.Configuration()))
	w.recordPlainStart(w.request, start, r.response, r.err)
	if r.err != nil {
		if ctx.Err() == nil && !errors.Is(r.err, sender.ErrLimited) {
			w.router.RecordFailure(t.Name)
		}
		return r
	}
	defer r.response.Body.Close()
	if r.body, r.err = w.memory.readAll(ctx, r.response.Body, w.request.Reservation); r.err != nil {
		r.err = errors.Wrap(sender.ErrNoResponse, r.err.Error())
		if ctx.Err() == nil {
			w.router.RecordFailure(t.Name)
		}
		return r
	}
	switch {
	case refusedForRoom(r.response) && w.admitter.InForce(w.service): // the admitter keeps requests away
	case r.response.NotRun || r.response.Status >= 500:
		w.router.RecordFailure(t.Name)
	default:
		w.router.RecordChunk(t.Name, w.clock.Since(start), true)
	}
	return r
}

func (r Request) call(left time.Duration, c *cataloger.Configuration) sender.Call {
	return sender.Call{
		ID: r.ID, Method: r.Method, Path: r.Path, Host: r.Host, Header: r.Header, Body: r.Body,
		TimeLeft: left, ResumeAfter: r.ResumeAfter, Account: r.Account, AccountsInForce: c.HasAccounts(),
	}
}

// handleResult decides how to continue after an attempt has ended.
func (w *forwarding) handleResult(ctx context.Context, r attemptResult) (o Outcome, done bool) {
	w.open[r.target.Name].cancel()
	delete(w.open, r.target.Name)
	w.refused = refusedForRoom(r.response)
	retry := false
	switch {
	case ctx.Err() != nil && r.err != nil:
		if !errors.Is(r.err, sender.ErrNotSent) {
			w.mayHaveRun = true
		}
		return w.timeoutOutcome(), true
	case errors.Is(r.err, sender.ErrLimited):
		w.denials++
		retry = true
	case errors.Is(r.err, sender.ErrNotSent):
		retry = true
	case r.err != nil:
		w.executed++
		w.mayHaveRun = true
		if !w.request.Owed {
			w.blocklist.BrokeOff(w.fingerprint, r.target)
		}
		retry = w.mayRepeat() && w.executed < max(1, w.route.MaxAttempts) && !w.isBlocked()
	case r.response.NotRun:
		retry = true
	case r.response.Succeeded():
		w.budget.RecordSuccess()
		w.blocklist.Succeeded(w.fingerprint)
		return responseOf(r), true
	default:
		w.executed++
		failure := responseOf(r)
		w.lastFailure = &failure
		retry = r.response.Status >= 500 && w.mayRepeat() && w.executed < max(1, w.route.MaxAttempts)
	}
	klog.InfoS("attempt failed", "request", w.request.ID, "target", r.target.Name, "again", retry, "err", r.err, "status", r.status())
	if len(w.open) > 0 {
		return nil, false
	}
	if !retry {
		return w.noTargetOutcome(), true
	}
	if w.admitter.InForce(w.service) {
		return w.requeue(ctx)
	}
	if w.startAttempt(ctx, w.retryNeed()) {
		return nil, false
	}
	return w.retryTriedTargets(ctx)
}

// retryNeed returns the need of further attempts. Each denied permit costs a round trip to
// another host, so that after some of them only targets without a limit are tried.
func (w *forwarding) retryNeed() sender.Need {
	if w.denials >= maxDenials {
		return sender.Optional
	}
	return sender.Required
}

// retryTriedTargets sends the request to a target again after a pause.
func (w *forwarding) retryTriedTargets(ctx context.Context) (o Outcome, done bool) {
	if o, done := w.pauseRetries(ctx); done {
		return o, true
	}
	if !w.startAttempt(ctx, w.retryNeed()) {
		return w.noTargetOutcome(), true
	}
	return nil, false
}

// pauseRetries allows all targets again after a pause, unless all of them have reached their
// limits.
func (w *forwarding) pauseRetries(ctx context.Context) (o Outcome, done bool) {
	w.pause = min(max(retryPause, 2*w.pause), maxRetryPause)
	if w.disallowed || w.request.Owed || w.deadline.Sub(w.clock.Now()) < 2*w.pause || len(w.tried) == 0 || len(w.candidates(w.service, selection{need: w.retryNeed()})) == 0 {
		return w.noTargetOutcome(), true
	}
	select {
	case <-w.clock.After(w.pause):
	case <-ctx.Done():
		return w.timeoutOutcome(), true
	}
	clear(w.tried)
	return nil, false
}

func (r attemptResult) status() int {
	if r.response == nil {
		return 0
	}
	return r.response.Status
}

func responseOf(r attemptResult) Response {
	return Response{Status: r.response.Status, Header: r.response.Header, Body: r.body, Signature: r.response.Signature, Target: r.target.Name}
}
