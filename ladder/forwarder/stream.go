package forwarder

import (
	"context"
	"io"
	"maps"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/routing/splitter"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Stream is a target's streamed response. If the route is resumable and the
// stream fails, it continues at another target under the first one's header.
type Stream struct {
	forwarder *Forwarder
	// ctx ends at the request's time limit.
	ctx      context.Context
	cancel   context.CancelFunc
	request  Request
	route    cataloger.Route
	deadline time.Time
	service  identifier.ServiceName

	response *sender.Response
	target   cataloger.Target
	events   sender.Events
	// attempt lasts while target is used and is ended by cancelAttempt.
	// stallTimer ends it when the target is silent; it is nil if not running.
	attempt       context.Context
	cancelAttempt context.CancelCauseFunc
	stallTimer    clockwork.Timer
	// stallTimeout is the silence after which stallTimer ends the attempt.
	stallTimeout time.Duration
	// retries counts the attempts after the first.
	retries int
	// selection has the targets tried and, after the first event, the software version
	// that began the stream, which may only go on at targets of that version.
	selection selection
	// origin is where the stream began, nil before its first event.
	origin *messenger.StreamOrigin
	// givenUp counts the runs that were given up before their first event was passed on, because
	// their version couldn't be recorded.
	givenUp uint32
	// acceptsUnlisted is set once the stream may begin at a start that is not listed, because no
	// listed one responds. otherStarts has the targets that were left out before.
	acceptsUnlisted bool
	otherStarts     []identifier.TargetName
	// refused is set once a target has refused the stream. It may accept it later.
	refused bool
	// awaitsEvent is set until the first event of an attempt.
	awaitsEvent bool
}

const (
	// streamStallTimeout is the silence between two complete events after which
	// a resumable stream continues at another target, if there is one. Bytes
	// that complete no event count as silence. Callers give up after 2 s at the
	// earliest.
	streamStallTimeout = 800 * time.Millisecond
	// maxLimitWait bounds how long a stream that has begun waits for targets that have
	// reached their limits. Callers give up after 2 s at the earliest.
	maxLimitWait = 1500 * time.Millisecond
	// firstEventGoals times the route's latency goal is the time limit for the
	// first event, if it is longer than the stall timeout.
	firstEventGoals = 2
)

// Response returns the response whose header applies to the whole stream.
func (s *Stream) Response() *sender.Response { return s.response }

// ForwardStream starts a streamed response. ctx must last as long as the stream. A
// returned Stream must be closed.
func (f *Forwarder) ForwardStream(ctx context.Context, route cataloger.Route, r Request) Outcome {
	limit := TimeLimit(route, r)
	ctx, cancel := context.WithTimeout(ctx, limit)
	s := &Stream{
		forwarder: f, ctx: ctx, cancel: cancel, request: r, route: route,
		deadline: f.clock.Now().Add(limit), service: splitter.Draw(route, f.random), selection: selection{tried: make(map[identifier.TargetName]bool)},
	}
	o := s.takeUp()
	if o == nil {
		o = s.open()
	}
	if o != Outcome(s) {
		s.Close()
	}
	return o
}

// open tries targets until one accepts the request.
func (s *Stream) open() Outcome {
	for {
		response, err := s.startAttempt(s.request.ResumeAfter)
		switch {
		case errors.Is(err, errNotAllowed):
			return s.notRunUnlessTried(NotAllowed{})
		case errors.Is(err, errNoTarget):
			return s.notRunUnlessTried(s.noTarget())
		case errors.Is(err, sender.ErrNotSent):
			if s.ctx.Err() != nil {
				return s.notRunUnlessTried(NotRun{RetryAfter: overloadRetryAfter, Reason: "time limit expired"})
			}
			continue
		case err != nil:
			if s.route.Resumable && s.ctx.Err() == nil && s.countRetry() {
				continue
			}
			return Unknown{TimedOut: s.ctx.Err() != nil, Reason: err.Error()}
		case response.NotRun:
			s.refused = true
			response.Body.Close()
			s.endAttempt()
			continue
		case !response.Succeeded():
			return s.failureOutcome(response)
		}
		s.response = response
		s.events = s.readEvents(response)
		return s
	}
}

// noTarget returns the outcome of a stream that no target has accepted.
func (s *Stream) noTarget() NotRun {
	if _, only := s.preferredCandidates(); only {
		return NotRun{RetryAfter: originRetryAfter, Reason: "streams can't be recorded, and no target accepts them at the version at which they need no record"}
	}
	return s.forwarder.notRun(s.service)
}

// notRunUnlessTried returns o unless an attempt before may have run.
func (s *Stream) notRunUnlessTried(o Outcome) Outcome {
	if s.retries > 0 {
		return Unknown{TimedOut: s.ctx.Err() != nil, Reason: reasonMayHaveRun}
	}
	return o
}

func (s *Stream) failureOutcome(a *sender.Response) Outcome {
	defer a.Body.Close()
	body, err := s.forwarder.memory.readAll(s.ctx, a.Body, s.request.Reservation)
	if err != nil {
		return Unknown{Reason: err.Error()}
	}
	return Response{Status: a.Status, Header: a.Header, Body: body, Signature: a.Signature}
}

var errNoTarget = errors.New("no target left to try")

// countRetry counts a further attempt and reports whether it is allowed.
func (s *Stream) countRetry() bool {
	s.retries++
	return s.retries < max(1, s.route.MaxAttempts)
}

func (s *Stream) startAttempt(after identifier.EventNumber) (*sender.Response, error) {
	f := s.forwarder
	if !s.request.stillAllowed() {
		return nil, errNotAllowed
	}
	left := s.deadline.Sub(f.clock.Now())
	name, ok := f.router.Choose(s.candidates(), router.Unmonitored)
	if !ok && s.acceptUnlisted() {
		name, ok = f.router.Choose(s.candidates(), router.Unmonitored)
	}
	if !ok || left < minTimeLeft {
		if ok {
			f.router.Done(name, router.Unmonitored)
		}
		return nil, errNoTarget
	}
	s.selection.tried[name] = true
	t, ok := f.catalog.Target(name)
	if !ok || !s.selection.hasSoftware(t) { // the list has changed meanwhile
		f.router.Done(name, router.Unmonitored)
		return nil, sender.ErrNotSent
	}
	s.target, s.awaitsEvent = t, true
	s.attempt, s.cancelAttempt = context.WithCancelCause(s.ctx)
	s.startStallTimer()
	call := s.request.call(left, f.catalog.Configuration())
	call.ResumeAfter, call.Identify, call.ListedStart = after, s.route.Resumable, s.route.Resumable && (s.origin != nil || !s.acceptsUnlisted)
	began := f.clock.Now()
	response, err := f.sender.Send(s.attempt, t, call)
	if err == nil && !response.Succeeded() {
		f.recordPlainStart(s.request, began, response, nil)
	}
	if err != nil {
		err = sender.Cause(s.attempt, err)
		switch {
		case errors.Is(err, sender.ErrOtherStart):
			s.otherStarts = append(s.otherStarts, name)
		case s.ctx.Err() == nil && !errors.Is(err, sender.ErrLimited):
			f.router.RecordFailure(name)
		}
		s.endAttempt()
	}
	return response, err
}

// acceptUnlisted lets a stream that has not begun use the targets whose start is not listed, and
// reports whether that adds any. What such a start begins can't go on elsewhere before it is listed,
// so that a stream that a listed start has refused had better come back.
func (s *Stream) acceptUnlisted() bool {
	if s.acceptsUnlisted || s.refused || s.origin != nil || len(s.otherStarts) == 0 {
		return false
	}
	s.acceptsUnlisted = true
	for _, name := range s.otherStarts {
		delete(s.selection.tried, name)
	}
	return true
}

// startStallTimer ends the attempt when the target is silent for too long. There is
// no timer for the last allowed attempt or if no other target without a limit is left,
// since a slow stream is better than none. Each attempt gets twice the time of the one before,
// so that a stream that is slow at all targets can finish.
func (s *Stream) startStallTimer() {
	if !s.route.Resumable || s.retries+1 >= s.route.MaxAttempts {
		return
	}
	f, others, cancelAttempt, allowed := s.forwarder, s.selection, s.cancelAttempt, s.request.stillAllowed
	others.need, others.tried = sender.Optional, maps.Clone(others.tried)
	s.stallTimeout = streamStallTimeout << s.retries
	s.stallTimer = f.clock.AfterFunc(max(s.stallTimeout, firstEventGoals*s.route.LatencyGoal), func() {
		if len(f.candidates(s.service, others)) > 0 && allowed() {
			cancelAttempt(sender.ErrStalled)
		}
	})
}

func (s *Stream) endAttempt() {
	if s.target.Name == "" {
		return
	}
	if s.stallTimer != nil {
		s.stallTimer.Stop()
		s.stallTimer = nil
	}
	s.cancelAttempt(nil)
	s.forwarder.router.Done(s.target.Name, router.Unmonitored)
	s.target = cataloger.Target{}
}

// Next returns the next event. io.EOF follows the last one of a complete response;
// any other error means that the response is incomplete.
func (s *Stream) Next() (sender.Event, error) {
	for {
		e, err := s.events.Next()
		if err == nil && s.awaitsEvent {
			s.forwarder.recordStreamStart(s.request)
			err = s.beginEvents()
		}
		if err == nil {
			s.request.ResumeAfter = e.Number
			if s.stallTimer != nil {
				s.stallTimer.Reset(s.stallTimeout)
			}
			return e, nil
		}
		if errors.Is(err, io.EOF) || errors.Is(err, errMisleading) || !s.route.Resumable || s.ctx.Err() != nil {
			return e, err
		}
		err = sender.Cause(s.attempt, err)
		if !s.resume(err) {
			return e, err
		}
	}
}

// readEvents returns the events of a response that follow those that the stream has had.
// Streams that can't be taken up may leave numbers out.
func (s *Stream) readEvents(r *sender.Response) sender.Events {
	numbering := sender.Ascending
	if s.route.Resumable {
		numbering = sender.Consecutive
	}
	return sender.CheckOrder(s.forwarder.sender.Events(r), s.request.ResumeAfter, numbering)
}

// resume continues at another target after the last received event.
func (s *Stream) resume(cause error) bool {
	if !errors.Is(cause, errNotRecorded) {
		s.forwarder.router.RecordFailure(s.target.Name)
	}
	s.endAttempt()
	s.resolveOrigin()
	for s.countRetry() {
		response, err := s.startPermittedAttempt(s.request.ResumeAfter)
		if errors.Is(err, errNoTarget) && s.allowTriedTargets() {
			response, err = s.startPermittedAttempt(s.request.ResumeAfter)
		}
		if errors.Is(err, errNoTarget) || errors.Is(err, errNotAllowed) {
			return false
		}
		if err != nil {
			continue
		}
		if !response.Succeeded() {
			response.Body.Close()
			s.endAttempt()
			continue
		}
		klog.InfoS("stream goes on at another target", "request", s.request.ID, "target", s.target.Name, "software", s.target.Software, "after", s.request.ResumeAfter, "cause", cause)
		s.events = s.readEvents(response)
		s.response.Body.Close()
		response.Header, response.Signature = s.response.Header, s.response.Signature
		s.response = response
		return true
	}
	return false
}

// allowTriedTargets allows all targets of the stream's software version again after a
// pause. It returns false if there are none. The last target of a version may have lost
// nothing but a connection.
func (s *Stream) allowTriedTargets() bool {
	if s.selection.software == nil || len(s.selection.tried) == 0 {
		return false
	}
	clear(s.selection.tried)
	select {
	case <-s.forwarder.clock.After(retryPause):
	case <-s.ctx.Done():
		return false
	}
	return len(s.forwarder.candidates(s.service, s.selection)) > 0
}

// startPermittedAttempt is startAttempt for a stream that has begun: it tries other targets
// and waits while they have reached their limits, since an answer that breaks off is lost.
func (s *Stream) startPermittedAttempt(after identifier.EventNumber) (*sender.Response, error) {
	f := s.forwarder
	for start := f.clock.Now(); ; {
		response, err := s.startAttempt(after)
		if errors.Is(err, sender.ErrLimited) {
			continue
		}
		if !errors.Is(err, errNoTarget) {
			return response, err
		}
		wait := f.limitWait(s.service, s.selection)
		if wait == 0 || f.clock.Since(start)+wait > maxLimitWait {
			return response, err
		}
		select {
		case <-f.clock.After(wait):
			clear(s.selection.tried)
		case <-s.ctx.Done():
			return response, err
		}
	}
}

// Close ends the attempt in progress and releases its resources.
func (s *Stream) Close() {
	if s.response != nil {
		s.response.Body.Close()
	}
	s.endAttempt()
	s.cancel()
}
