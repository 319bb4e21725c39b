package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/admission/admitter"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/routing/splitter"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// While the targets of a plain service have too little room, each send waits for the admitter.
// Before the first sign of that and some seconds after the last one, sends go out as if there
// were no admitter.

// Admitter decides when a request may be sent; *admitter.Admitter implements it.
type Admitter interface {
	// Admit waits until the request may be sent.
	Admit(ctx context.Context, s identifier.ServiceName, r admitter.Request) (*admitter.Ticket, error)
	// Count admits a send at once.
	Count(s identifier.ServiceName, r admitter.Request) *admitter.Ticket
	// InForce reports whether requests to the service wait and are refused.
	InForce(s identifier.ServiceName) bool
	// Prefers reports whether a target has not just refused a request.
	Prefers(s identifier.ServiceName, t identifier.TargetName) bool
}

// Option is a setting of a Forwarder.
type Option func(*Forwarder)

// WithAdmitter makes the Forwarder share an admitter with others.
func WithAdmitter(a Admitter) Option { return func(f *Forwarder) { f.admitter = a } }

// errNoCandidates means that there is no target to wait for.
var errNoCandidates = errors.New("no target may get the request")

// admissionRequest returns what the admitter has to know.
func (w *forwarding) admissionRequest() admitter.Request {
	r := admitter.Request{
		ID: w.request.ID, Account: w.request.Account, Owed: w.request.Owed, Priority: w.priority(), Arrived: w.arrived,
		Deadline: w.deadline, GroupLeft: w.request.GroupLeft, Again: w.sent,
	}
	if w.request.Owed {
		r.Deadline = w.request.Due
		return r
	}
	if w.route.LatencyGoal > 0 {
		r.Goal = w.arrived.Add(w.route.LatencyGoal)
	}
	return r
}

// priority returns that of the request's account or else that of its route.
func (w *forwarding) priority() int {
	if w.request.Account != "" {
		return w.request.Priority
	}
	return w.route.Priority
}

// admit waits until the request may be sent to a target, for the next startAttempt.
func (w *forwarding) admit(ctx context.Context) (err error) {
	if w.admitter.InForce(w.service) && len(w.candidates(w.service, selection{need: w.retryNeed()})) == 0 {
		return errNoCandidates
	}
	w.ticket, err = w.admitter.Admit(ctx, w.service, w.admissionRequest())
	return err
}

// unadmittedOutcome is that of a request that was not admitted again.
func (w *forwarding) unadmittedOutcome(ctx context.Context, err error) Outcome {
	var refused admitter.Refused
	switch {
	case w.lastFailure != nil || w.mayHaveRun || errors.Is(err, errNoCandidates):
		return w.noTargetOutcome()
	case errors.As(err, &refused):
		return NotRun{RetryAfter: refused.RetryAfter, Reason: err.Error()}
	case ctx.Err() != nil:
		return w.timeoutOutcome()
	}
	return w.noTargetOutcome()
}

// requeue has a request that was refused wait in the admitter's queue, in place of pauses of a
// fixed length. Targets that have refused it are tried again only if there are no others.
func (w *forwarding) requeue(ctx context.Context) (o Outcome, done bool) {
	if w.request.Owed && w.lastFailure == nil && !w.mayHaveRun {
		w.waitsAgain = w.refused
		return w.noTargetOutcome(), true
	}
	// The admitter learns nothing from requests that were not sent, so that it doesn't pace them.
	if !w.refused && len(w.candidates(w.service, selection{need: w.retryNeed(), tried: w.tried})) == 0 {
		if o, done := w.pauseRetries(ctx); done {
			return o, true
		}
	}
	if err := w.admit(ctx); err != nil {
		return w.unadmittedOutcome(ctx, err), true
	}
	if len(w.candidates(w.service, selection{need: w.retryNeed(), tried: w.tried})) == 0 {
		clear(w.tried)
	}
	if !w.startAttempt(ctx, w.retryNeed()) {
		return w.noTargetOutcome(), true
	}
	return nil, false
}

// takeTicket returns the ticket for the next attempt. Attempts that nobody has to wait for are
// only counted.
func (w *forwarding) takeTicket() (t *admitter.Ticket) {
	if w.ticket == nil {
		return w.admitter.Count(w.service, w.admissionRequest())
	}
	t, w.ticket = w.ticket, nil
	return t
}

// preferred returns the candidates that have not just refused a request, or all if there are no
// such ones.
func (f *Forwarder) preferred(s identifier.ServiceName, all []router.Candidate) []router.Candidate {
	if !f.admitter.InForce(s) {
		return all
	}
	list := make([]router.Candidate, 0, len(all))
	for _, c := range all {
		if f.admitter.Prefers(s, c.Target) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

// refusedForRoom reports whether a target has refused a request because it has no room for it. A
// target that reports free places, leaves, or limits its requests refuses for another reason.
func refusedForRoom(r *sender.Response) bool {
	if r == nil || !r.NotRun || r.Status != http.StatusServiceUnavailable {
		return false
	}
	if r.RequestLimit != nil && r.RequestLimit.Limited {
		return false
	}
	l := r.Load
	return l == nil || l.Places == 0 || l.Waiting > 0 || l.Running >= l.Places
}

// admissionResult returns what an attempt tells about its target's room.
func (r attemptResult) admissionResult() admitter.Result {
	switch {
	case r.response == nil:
		return admitter.Result{}
	case refusedForRoom(r.response):
		return admitter.Result{Verdict: admitter.VerdictRefused, Load: r.response.Load}
	case r.err != nil || r.response.NotRun:
		return admitter.Result{Load: r.response.Load}
	}
	return admitter.Result{Verdict: admitter.VerdictServed, Load: r.response.Load}
}

// forwardOwed forwards a request of a batch job. It waits for room for as long as ctx lasts, and
// its time limit begins with each send.
func (f *Forwarder) forwardOwed(ctx context.Context, route cataloger.Route, r Request) Outcome {
	arrived := f.clock.Now()
	for {
		w := f.newForwarding(route, r, arrived)
		if err := w.admit(ctx); err != nil {
			return w.unadmittedOutcome(ctx, err)
		}
		if o := w.runWithin(ctx, TimeLimit(route, r)); !w.waitsAgain || ctx.Err() != nil {
			return o
		}
	}
}

// newForwarding returns the state of a request that arrived at the given time.
func (f *Forwarder) newForwarding(route cataloger.Route, r Request, arrived time.Time) *forwarding {
	return &forwarding{
		Forwarder: f, request: r, route: route, arrived: arrived, deadline: arrived.Add(TimeLimit(route, r)),
		results: make(chan attemptResult, max(1, route.MaxAttempts)+2),
		open:    make(map[identifier.TargetName]attempt), tried: make(map[identifier.TargetName]bool),
		service: splitter.Draw(route, f.random), fingerprint: identifier.NewFingerprint("", identifier.CallName(r.Path), r.Body),
	}
}

// runWithin runs an admitted request whose time limit begins now.
func (w *forwarding) runWithin(ctx context.Context, limit time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w.deadline = w.clock.Now().Add(limit)
	return w.run(ctx)
}
