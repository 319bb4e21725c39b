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
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Stream is a target's streamed answer. A resumable one goes on at another
// target when the first breaks off, under the header of the first.
type Stream struct {
	forwarder *Forwarder
	// ctx ends with the request's time.
	ctx      context.Context
	cancel   context.CancelFunc
	request  Request
	route    cataloger.Route
	deadline time.Time
	service  identifier.ServiceName

	answer *sender.Response
	target cataloger.Target
	events sender.Events
	// attempt lasts as long as the work of target, breakOff ends it, and watch
	// does so when the target is silent; nil while there is none.
	attempt  context.Context
	breakOff context.CancelCauseFunc
	watch    clockwork.Timer
	// stall is the silence after which watch ends it.
	stall time.Duration
	// resumed counts how often it has gone on elsewhere.
	resumed int
	tried   map[identifier.TargetName]bool
}

const (
	// streamStall is the silence between two whole events after which a stream
	// goes on elsewhere, if it may and there is another target. Bytes that make
	// no event count as silence. Callers leave after 2 s at the least.
	streamStall = 800 * time.Millisecond
	// firstGoals is how many times the route's goal a first event may take, if
	// that is longer.
	firstGoals = 2
)

// Response returns the answer under whose header the stream goes on.
func (s *Stream) Response() *sender.Response { return s.answer }

// ForwardStream begins a streamed answer. A Stream that it returns must be
// closed. ctx must last as long as the stream.
func (f *Forwarder) ForwardStream(ctx context.Context, route cataloger.Route, r Request) Outcome {
	limit := timeLimit(route, r)
	ctx, cancel := context.WithTimeout(ctx, limit)
	s := &Stream{
		forwarder: f, ctx: ctx, cancel: cancel, request: r, route: route,
		deadline: f.clock.Now().Add(limit), service: f.serviceOf(route), tried: make(map[identifier.TargetName]bool),
	}
	o := s.begin()
	if o != Outcome(s) {
		s.Close()
	}
	return o
}

// begin asks targets until one answers.
func (s *Stream) begin() Outcome {
	for {
		answer, err := s.ask(s.request.ResumeAfter)
		switch {
		case errors.Is(err, errNoTarget):
			return NotRun{RetryAfter: fullRetryAfter, Reason: "no target takes it"}
		case errors.Is(err, sender.ErrNotSent):
			if s.ctx.Err() != nil {
				return NotRun{RetryAfter: fullRetryAfter, Reason: "time is over"}
			}
			continue
		case err != nil:
			if s.route.Resumable && s.ctx.Err() == nil && s.mayGoOn() {
				continue
			}
			return Unknown{TimedOut: s.ctx.Err() != nil, Reason: err.Error()}
		case answer.NotRun:
			answer.Body.Close()
			s.done()
			continue
		case !answer.Succeeded():
			return s.failure(answer)
		}
		s.answer = answer
		s.events = s.forwarder.sender.Events(answer)
		return s
	}
}

func (s *Stream) failure(a *sender.Response) Outcome {
	defer a.Body.Close()
	body, err := s.forwarder.room.readAll(a.Body)
	if err != nil {
		return Unknown{Reason: err.Error()}
	}
	return Response{Status: a.Status, Header: a.Header, Body: body, Signature: a.Signature}
}

var errNoTarget = errors.New("no target is left")

func (s *Stream) mayGoOn() bool {
	s.resumed++
	return s.resumed < max(1, s.route.MaxAttempts)
}

func (s *Stream) ask(after identifier.EventNumber) (*sender.Response, error) {
	f := s.forwarder
	left := s.deadline.Sub(f.clock.Now())
	name, ok := f.router.Choose(f.candidates(s.service, s.tried), router.Unmonitored)
	if !ok || left < leastTimeLeft {
		if ok {
			f.router.Done(name, router.Unmonitored)
		}
		return nil, errNoTarget
	}
	s.tried[name] = true
	t, ok := f.catalog.Target(name)
	if !ok {
		f.router.Done(name, router.Unmonitored)
		return nil, sender.ErrNotSent
	}
	s.target = t
	s.attempt, s.breakOff = context.WithCancelCause(s.ctx)
	s.startWatch()
	call := s.request.call(left)
	call.ResumeAfter = after
	answer, err := f.sender.Send(s.attempt, t, call)
	if err != nil {
		err = sender.Cause(s.attempt, err)
		if s.ctx.Err() == nil {
			f.router.RecordFailure(name)
		}
		s.done()
	}
	return answer, err
}

// startWatch ends the target's work when it is silent for too long. The last
// target that may be asked is waited for, as is the only one that there is: a
// slow stream is better than none. Each target is given twice the time of the
// one before, so that a stream that is slow everywhere goes on.
func (s *Stream) startWatch() {
	if !s.route.Resumable || s.resumed+1 >= s.route.MaxAttempts {
		return
	}
	f, tried, breakOff := s.forwarder, maps.Clone(s.tried), s.breakOff
	s.stall = streamStall << s.resumed
	s.watch = f.clock.AfterFunc(max(s.stall, firstGoals*s.route.LatencyGoal), func() {
		if len(f.candidates(s.service, tried)) > 0 {
			breakOff(sender.ErrStalled)
		}
	})
}

func (s *Stream) done() {
	if s.target.Name == "" {
		return
	}
	if s.watch != nil {
		s.watch.Stop()
		s.watch = nil
	}
	s.breakOff(nil)
	s.forwarder.router.Done(s.target.Name, router.Unmonitored)
	s.target = cataloger.Target{}
}

// Next returns the next event. io.EOF follows the last one of a whole answer;
// after any other error the answer is broken off.
func (s *Stream) Next() (sender.Event, error) {
	for {
		e, err := s.events.Next()
		if err == nil {
			s.request.ResumeAfter = e.Number
			if s.watch != nil {
				s.watch.Reset(s.stall)
			}
			return e, nil
		}
		if errors.Is(err, io.EOF) || !s.route.Resumable || s.ctx.Err() != nil {
			return e, err
		}
		err = sender.Cause(s.attempt, err)
		if !s.resume(err) {
			return e, err
		}
	}
}

// resume goes on at another target after the last event that came.
func (s *Stream) resume(cause error) bool {
	s.forwarder.router.RecordFailure(s.target.Name)
	s.done()
	for s.mayGoOn() {
		answer, err := s.ask(s.request.ResumeAfter)
		if errors.Is(err, errNoTarget) {
			return false
		}
		if err != nil {
			continue
		}
		if !answer.Succeeded() {
			answer.Body.Close()
			s.done()
			continue
		}
		klog.InfoS("stream goes on at another target", "request", s.request.ID, "target", s.target.Name, "after", s.request.ResumeAfter, "cause", cause)
		s.events = s.forwarder.sender.Events(answer)
		s.answer.Body.Close()
		answer.Header, answer.Signature = s.answer.Header, s.answer.Signature
		s.answer = answer
		return true
	}
	return false
}

// Close breaks off what is still under way.
func (s *Stream) Close() {
	if s.answer != nil {
		s.answer.Body.Close()
	}
	s.done()
	s.cancel()
}
