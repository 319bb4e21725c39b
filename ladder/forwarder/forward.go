package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// One request is one forwarding: its attempts run as tasks of their own and
// report to it. The policy answers a moderate load of short calls with targets
// that are slow or dead for a moment. Under overload targets refuse, and the
// refusal is passed on with a time.

// attempt is one request at one target.
type attempt struct {
	target cataloger.Target
	cancel context.CancelFunc
}

// report is how an attempt ended.
type report struct {
	target cataloger.Target
	answer *sender.Response
	body   []byte
	err    error
}

// forwarding is the work on one request.
type forwarding struct {
	*Forwarder
	request  Request
	route    cataloger.Route
	deadline time.Time
	reports  chan report
	// open has the attempts that haven't reported.
	open map[identifier.TargetName]attempt
	// tried has every target that was asked in this round.
	tried map[identifier.TargetName]bool
	// ran counts the attempts that the target may have run.
	ran int
	// last is the last failure that a target has answered.
	last        *Response
	fingerprint identifier.Fingerprint
	// unknown says that an attempt may have run and has no answer.
	unknown bool
}

// Forward sends a request that isn't a stream. It ends at ctx, at the caller's
// time or at the route's, whichever is first.
func (f *Forwarder) Forward(ctx context.Context, route cataloger.Route, r Request) Outcome {
	limit := timeLimit(route, r)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w := &forwarding{
		Forwarder: f, request: r, route: route, deadline: f.clock.Now().Add(limit),
		reports: make(chan report, max(1, route.MaxAttempts)+2),
		open:    make(map[identifier.TargetName]attempt), tried: make(map[identifier.TargetName]bool),
	}
	o := w.run(ctx)
	for _, a := range w.open {
		a.cancel()
	}
	return o
}

// unboundedTime is the time limit where neither caller nor route sets one.
const unboundedTime = time.Minute

func timeLimit(route cataloger.Route, r Request) time.Duration {
	limit := unboundedTime
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	if r.TimeLeft > 0 {
		limit = min(limit, r.TimeLeft)
	}
	return limit
}

func (w *forwarding) mayRepeat() bool { return w.route.Kind == cataloger.KindIdempotent }

func (w *forwarding) run(ctx context.Context) Outcome {
	service := w.serviceOf(w.route)
	w.fingerprint = identifier.NewFingerprint("", identifier.CallName(w.request.Path), w.request.Body)
	if w.convictions.Convicted(w.fingerprint) {
		return NotRun{RetryAfter: convictedRetryAfter, Reason: "it crashes targets"}
	}
	if !w.start(ctx, service) {
		return w.nothingToAsk()
	}
	hedge := w.clock.After(w.patience(service))
	for {
		select {
		case r := <-w.reports:
			if o, done := w.take(ctx, service, r); done {
				return o
			}
		case <-hedge:
			hedge = nil
			if w.mayRepeat() && w.ran+len(w.open) < w.route.MaxAttempts && w.budget.TrySpend() && w.start(ctx, service) {
				klog.InfoS("second target asked, the first is silent", "request", w.request.ID, "service", service)
			}
		case <-ctx.Done():
			return w.timedOut()
		}
	}
}

// patience is how long the first target may be silent before a second one is
// asked. A service may answer calls of several kinds, of which the slowest make
// its usual pace.
func (w *forwarding) patience(s identifier.ServiceName) time.Duration {
	p := w.router.SilenceTimeout(s, false)
	if p == 0 {
		p = firstPatience
	}
	if w.route.LatencyGoal > 0 {
		p = min(p, w.route.LatencyGoal/goalParts)
	}
	return max(p, leastPatience)
}

func (w *forwarding) nothingToAsk() Outcome {
	if w.last != nil {
		return *w.last
	}
	if w.unknown {
		return Unknown{Reason: "no target is left"}
	}
	return NotRun{RetryAfter: fullRetryAfter, Reason: "no target takes it"}
}

func (w *forwarding) timedOut() Outcome {
	if w.last != nil {
		return *w.last
	}
	if w.unknown || len(w.open) > 0 {
		return Unknown{TimedOut: true, Reason: "time is over"}
	}
	return NotRun{RetryAfter: fullRetryAfter, Reason: "time is over"}
}

// start asks one more target, or returns false if there is none.
func (w *forwarding) start(ctx context.Context, service identifier.ServiceName) bool {
	left := w.deadline.Sub(w.clock.Now())
	if left < leastTimeLeft {
		return false
	}
	name, ok := w.router.Choose(w.candidates(service, w.tried), router.Monitored)
	if !ok {
		return false
	}
	t, ok := w.catalog.Target(name)
	if !ok {
		w.router.Done(name, router.Monitored)
		return false
	}
	w.tried[name] = true
	bounded, cancel := context.WithCancel(ctx)
	w.open[name] = attempt{target: t, cancel: cancel}
	go func() {
		r := report{target: t, err: errors.Wrap(sender.ErrNoResponse, "unexpected error")}
		_ = recoverer.CatchPanic("attempt at a target", func() { r = w.ask(bounded, t, left) }) // it is logged there
		w.reports <- r
	}()
	return true
}

// ask sends the request to one target and reads the whole answer.
func (w *forwarding) ask(ctx context.Context, t cataloger.Target, left time.Duration) report {
	defer w.router.Done(t.Name, router.Monitored)
	begun := w.clock.Now()
	r := report{target: t}
	r.answer, r.err = w.sender.Send(ctx, t, w.request.call(left))
	if r.err != nil {
		if ctx.Err() == nil {
			w.router.RecordFailure(t.Name)
		}
		return r
	}
	defer r.answer.Body.Close()
	if r.body, r.err = w.room.readAll(r.answer.Body); r.err != nil {
		r.err = errors.Wrap(sender.ErrNoResponse, r.err.Error())
		if ctx.Err() == nil {
			w.router.RecordFailure(t.Name)
		}
		return r
	}
	switch {
	case r.answer.NotRun || r.answer.Status >= 500:
		w.router.RecordFailure(t.Name)
	default:
		w.router.RecordChunk(t.Name, w.clock.Since(begun), true)
	}
	return r
}

func (r Request) call(left time.Duration) sender.Call {
	return sender.Call{
		ID: r.ID, Method: r.Method, Path: r.Path, Host: r.Host, Header: r.Header, Body: r.Body,
		TimeLeft: left, ResumeAfter: r.ResumeAfter,
	}
}

// take decides what follows from the end of an attempt.
func (w *forwarding) take(ctx context.Context, service identifier.ServiceName, r report) (o Outcome, done bool) {
	w.open[r.target.Name].cancel()
	delete(w.open, r.target.Name)
	again := false
	switch {
	case ctx.Err() != nil && r.err != nil:
		if !errors.Is(r.err, sender.ErrNotSent) {
			w.unknown = true
		}
		return w.timedOut(), true
	case errors.Is(r.err, sender.ErrNotSent):
		again = true
	case r.err != nil:
		w.ran++
		w.unknown = true
		w.convictions.BrokeOff(w.fingerprint, r.target)
		again = w.mayRepeat() && w.ran < max(1, w.route.MaxAttempts) && !w.convictions.Convicted(w.fingerprint)
	case r.answer.NotRun:
		again = true
	case r.answer.Succeeded():
		w.budget.RecordSuccess()
		return wholeOf(r), true
	default:
		w.ran++
		failure := wholeOf(r)
		w.last = &failure
		again = r.answer.Status >= 500 && w.mayRepeat() && w.ran < max(1, w.route.MaxAttempts)
	}
	klog.InfoS("attempt failed", "request", w.request.ID, "target", r.target.Name, "again", again, "err", r.err, "status", r.status())
	if len(w.open) > 0 {
		return nil, false
	}
	if !again {
		return w.nothingToAsk(), true
	}
	if w.start(ctx, service) {
		return nil, false
	}
	return w.secondRound(ctx, service)
}

// secondRound asks targets again that were asked before, after a pause.
func (w *forwarding) secondRound(ctx context.Context, service identifier.ServiceName) (o Outcome, done bool) {
	if w.deadline.Sub(w.clock.Now()) < 2*fullPause || len(w.tried) == 0 {
		return w.nothingToAsk(), true
	}
	select {
	case <-w.clock.After(fullPause):
	case <-ctx.Done():
		return w.timedOut(), true
	}
	clear(w.tried)
	if !w.start(ctx, service) {
		return w.nothingToAsk(), true
	}
	return nil, false
}

func (r report) status() int {
	if r.answer == nil {
		return 0
	}
	return r.answer.Status
}

func wholeOf(r report) Response {
	return Response{Status: r.answer.Status, Header: r.answer.Header, Body: r.body, Signature: r.answer.Signature, Target: r.target.Name}
}
