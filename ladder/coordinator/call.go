package coordinator

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Call is one call of a client.
type Call struct {
	ID identifier.RequestID
	// Key is the caller's bearer key.
	Key     string
	Service identifier.ServiceName
	Name    identifier.CallName
	Body    []byte
	// IdempotencyKey is empty if the caller gave none.
	IdempotencyKey identifier.IdempotencyKey
	// Timeout is how long the caller waits; 0 means the longest time allowed.
	Timeout time.Duration
	// Stream, if set, receives the answer as it arrives.
	Stream func([]byte) error
}

// Codes that an entry returns in addition to those of the dispatcher and the
// authorizer. They mean that nothing was sent to a target.
const (
	CodeTeamLimit    dispatcher.Code = "team-limit"
	CodeBodyTooLarge dispatcher.Code = "body-too-large"
)

// retryAfterNotReady is the requested wait while no configuration is in force.
const retryAfterNotReady = 2 * time.Second

// Handle runs a call until its final outcome.
func (c *Coordinator) Handle(ctx context.Context, call Call) (o dispatcher.Outcome) {
	start := c.clock.Now()
	index := c.index()
	decision := explainer.Decision{Request: call.ID, Service: call.Service, Call: call.Name, Revision: c.revision()}
	defer func() { c.recordDecision(decision, start, o) }()
	t, refusal := index.AuthenticateTeam(call.Key)
	if refusal != authorizer.RefusalNone {
		return c.refusalOutcome(refusal)
	}
	decision.Team, decision.Class = t.Name, t.Class
	s, refusal := index.AuthorizeService(t.Name, call.Service, start)
	if refusal != authorizer.RefusalNone {
		return c.refusalOutcome(refusal)
	}
	if len(call.Body) > index.Document().Limits.MaxBodyBytes {
		return c.countOutcome(dispatcher.NotRun{Code: CodeBodyTooLarge})
	}
	limits := limiter.Limits{RequestsPerSecond: t.RequestsPerSecond, Burst: t.Burst, InFlight: t.InFlightLimit}
	if retryAfter, ok := c.limiter.TryAcquire(t.Name, limits); !ok {
		return c.countOutcome(dispatcher.NotRun{Code: CodeTeamLimit, RetryAfter: retryAfter})
	}
	defer c.limiter.Release(t.Name)
	r := c.newRequest(call, t, s, start, index.Document().Limits)
	r.Stream = c.timeFirstByte(r, start, call.Stream)
	if call.IdempotencyKey != "" && !r.Idempotent {
		o = c.dispatcher.DispatchAtMostOnce(ctx, c.claimer, r, call.IdempotencyKey)
	} else {
		o = c.dispatcher.Dispatch(ctx, r)
	}
	c.recordTimes(t.Name, t.Class, start, o)
	return c.countOutcome(o)
}

// recordTimes records how long a request took and how long it waited for its target.
func (c *Coordinator) recordTimes(t identifier.TeamName, class identifier.PriorityClass, start time.Time, o dispatcher.Outcome) {
	c.recorder.ObserveDuration(recorder.Series{Team: t, Class: class, Measure: recorder.MeasureTotal}, c.clock.Since(start))
	if completed, ok := o.(dispatcher.Completed); ok {
		c.recorder.ObserveDuration(recorder.Series{Team: t, Class: class, Measure: recorder.MeasureWait}, completed.QueueTime)
	}
}

func (c *Coordinator) revision() identifier.Revision {
	s, _ := c.follower.State()
	return s.Revision
}

// recordDecision stores a decision with its outcome.
func (c *Coordinator) recordDecision(d explainer.Decision, start time.Time, o dispatcher.Outcome) {
	d.At, d.Took = c.clock.Now(), c.clock.Since(start)
	switch o := o.(type) {
	case dispatcher.Completed:
		d.Outcome, d.Target, d.Status = "completed", o.Target, o.Status
	case dispatcher.NotRun:
		d.Outcome, d.Code, d.RetryAfter = "not-run", string(o.Code), o.RetryAfter
	case dispatcher.Unknown:
		d.Outcome, d.Code, d.RetryAfter = "unknown", string(o.Code), o.RetryAfter
	}
	c.explainer.Add(d)
}

func (c *Coordinator) newRequest(call Call, t validator.Team, s validator.Service, now time.Time, l validator.Limits) dispatcher.Request {
	timeout := time.Duration(l.MaxTimeoutSeconds) * time.Second
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	return dispatcher.Request{
		ID: call.ID, Team: t.Name, Class: t.Class, Service: s.Name, Call: call.Name, Body: call.Body,
		Idempotent: s.IsIdempotent(call.Name), Deadline: now.Add(timeout),
	}
}

// timeFirstByte wraps stream to record the time of the first byte.
func (c *Coordinator) timeFirstByte(r dispatcher.Request, start time.Time, stream func([]byte) error) func([]byte) error {
	if stream == nil {
		return nil
	}
	first := true
	return func(data []byte) error {
		if first {
			first = false
			c.recorder.ObserveDuration(recorder.Series{Team: r.Team, Class: r.Class, Measure: recorder.MeasureFirstByte}, c.clock.Since(start))
		}
		return stream(data)
	}
}

func (c *Coordinator) refusalOutcome(refusal authorizer.Refusal) dispatcher.Outcome {
	o := dispatcher.NotRun{Code: dispatcher.Code(refusal)}
	if refusal == authorizer.RefusalNotReady {
		o.RetryAfter = retryAfterNotReady
	}
	return c.countOutcome(o)
}

// countOutcome counts an outcome by its kind and code and returns it.
func (c *Coordinator) countOutcome(o dispatcher.Outcome) dispatcher.Outcome {
	switch o := o.(type) {
	case dispatcher.Completed:
		c.recorder.Count("completed")
	case dispatcher.NotRun:
		c.recorder.Count("not-run-" + string(o.Code))
	case dispatcher.Unknown:
		c.recorder.Count("unknown-" + string(o.Code))
	}
	return o
}
