package faker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Behaviour says how a Target treats a request.
type Behaviour struct {
	// Status of the answer; 0 stands for 200.
	Status int
	// NotRun refuses the request.
	NotRun bool
	// NotSent fails before the request is sent.
	NotSent bool
	// Silent never answers.
	Silent bool
	// BreaksOff closes the connection without an answer.
	BreaksOff bool
	// Panics stands for an error in the caller's own code.
	Panics bool
	// Delay is before the answer, or before the first event.
	Delay time.Duration
	// Gap is between two events.
	Gap time.Duration
	// Events is the number of the text's events; 0 makes a plain answer.
	Events int
	// EventBytes is the size of an event's data; 0 stands for that of EventData.
	EventBytes int
	// BreakAfter breaks the stream off after this event, if it is above 0.
	BreakAfter identifier.EventNumber
	// PauseAfter puts the request aside after this event for Pause, if it is above 0.
	PauseAfter identifier.EventNumber
	Pause      time.Duration
	// Version of the weights.
	Version identifier.WeightVersion
}

// SentCall is a call that reached a target.
type SentCall struct {
	Target identifier.TargetName
	Call   sender.Call
	At     time.Time
}

// Targets answers calls in memory. It implements sender.Sender.
type Targets struct {
	clock clockwork.Clock
	// Behave decides on each call; n counts the calls of all targets from 0.
	behave func(t cataloger.Target, c sender.Call, n int) Behaviour
	// slots is nil where engines run all that comes.
	slots *slots

	mutex sync.Mutex
	// asked counts the calls, with those that didn't get through.
	asked int
	calls []SentCall
	// running counts the requests that a target works on.
	running int
}

// NewTargets returns Targets that behave as the function says.
func NewTargets(clock clockwork.Clock, behave func(t cataloger.Target, c sender.Call, n int) Behaviour) *Targets {
	return &Targets{clock: clock, behave: behave}
}

// LimitSlots has each target run at most so many streams at once. It must be called
// before the first call.
func (f *Targets) LimitSlots(each int) {
	f.slots = &slots{each: each, running: make(map[identifier.TargetName]int), waiting: make(map[identifier.TargetName][]waiter)}
}

// Calls returns what has reached targets.
func (f *Targets) Calls() []SentCall {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]SentCall(nil), f.calls...)
}

// Running returns how many requests targets work on.
func (f *Targets) Running() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.running
}

// Warm implements sender.Sender.
func (f *Targets) Warm(cataloger.Target) bool { return false }

// Send implements sender.Sender.
func (f *Targets) Send(ctx context.Context, t cataloger.Target, c sender.Call) (*sender.Response, error) {
	f.mutex.Lock()
	b := f.behave(t, c, f.asked)
	f.asked++
	if b.NotSent || b.Panics {
		f.mutex.Unlock()
		if b.Panics {
			panic("unexpected error while sending")
		}
		return nil, sender.ErrNotSent
	}
	f.calls = append(f.calls, SentCall{Target: t.Name, Call: c, At: f.clock.Now()})
	f.mutex.Unlock()
	if b.BreaksOff {
		return nil, sender.ErrNoResponse
	}
	if b.Silent {
		<-ctx.Done()
		return nil, sender.ErrNoResponse
	}
	select {
	case <-f.clock.After(b.Delay):
	case <-ctx.Done():
		return nil, sender.ErrNoResponse
	}
	a := &sender.Response{Status: b.Status, NotRun: b.NotRun, Signature: "by " + string(t.Name), Version: b.Version, Header: http.Header{}}
	if a.Status == 0 {
		a.Status = http.StatusOK
	}
	if b.Events == 0 {
		a.Body = io.NopCloser(bytes.NewReader([]byte("answer to " + c.ID)))
		return a, nil
	}
	if f.slots != nil && !f.slots.take(ctx, t.Name, c.Urgency) {
		return nil, sender.ErrNoResponse
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running++
	a.Body = &eventStream{targets: f, target: t.Name, ctx: ctx, behaviour: b, last: c.ResumeAfter}
	return a, nil
}

// Events implements sender.Sender.
func (f *Targets) Events(a *sender.Response) sender.Events { return a.Body.(*eventStream) }

// eventStream is the answer of an engine.
type eventStream struct {
	targets   *Targets
	target    identifier.TargetName
	ctx       context.Context
	behaviour Behaviour
	last      identifier.EventNumber
	once      sync.Once
}

// Read implements io.Reader; the events are read one by one.
func (*eventStream) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (s *eventStream) Close() error {
	s.once.Do(func() {
		if s.targets.slots != nil {
			s.targets.slots.giveBack(s.target)
		}
		s.targets.mutex.Lock()
		defer s.targets.mutex.Unlock()
		s.targets.running--
	})
	return nil
}

// EventData is the data of an engine's event.
func EventData(n identifier.EventNumber) []byte { return []byte(fmt.Sprintf("piece %d", n)) }

// Next implements sender.Events.
func (s *eventStream) Next() (sender.Event, error) {
	if s.last >= identifier.EventNumber(s.behaviour.Events) {
		return sender.Event{}, io.EOF
	}
	if s.behaviour.BreakAfter > 0 && s.last >= s.behaviour.BreakAfter {
		return sender.Event{}, io.ErrUnexpectedEOF
	}
	gap := s.behaviour.Gap
	if s.behaviour.PauseAfter > 0 && s.last == s.behaviour.PauseAfter {
		gap += s.behaviour.Pause
	}
	select {
	case <-s.targets.clock.After(gap):
	case <-s.ctx.Done():
		return sender.Event{}, s.ctx.Err()
	}
	s.last++
	data := EventData(s.last)
	if s.behaviour.EventBytes > 0 {
		data = bytes.Repeat([]byte("x"), s.behaviour.EventBytes)
	}
	return sender.Event{Number: s.last, Data: data, Raw: append(append([]byte("data: "), data...), '\n', '\n')}, nil
}
