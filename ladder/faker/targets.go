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

// Behaviour describes how a target handles a request.
type Behaviour struct {
	// Status is the HTTP status of the answer; 0 means 200.
	Status int
	// NotRun marks the answer as a refusal: the request was not run.
	NotRun bool
	// NotSent makes the call fail before the request is sent.
	NotSent bool
	// Silent sends no answer.
	Silent bool
	// BreaksOff closes the connection without an answer.
	BreaksOff bool
	// Panics simulates a programming error in the sender.
	Panics bool
	// Delay is the time before the answer or the first event.
	Delay time.Duration
	// Gap is the time before each event.
	Gap time.Duration
	// Events is the number of events of a streamed answer; 0 means a plain answer.
	Events int
	// NoEvents ends a streamed answer before its first event, as if it were complete.
	NoEvents bool
	// EventBytes is the size of an event's data; 0 means the data of EventData.
	EventBytes int
	// BreakAfter, if above 0, breaks the stream off after this event.
	BreakAfter identifier.EventNumber
	// PauseAfter, if above 0, suspends the stream for Pause after this event.
	PauseAfter identifier.EventNumber
	Pause      time.Duration
	// Version is the weight version in the answer.
	Version identifier.WeightVersion
	// Leaves says that the target leaves.
	Leaves bool
}

// Departures knows which targets leave; *cataloger.Cataloger implements it.
type Departures interface {
	RecordLeaving(i cataloger.Incarnation, at time.Time) bool
	MayReceive(i cataloger.Incarnation) bool
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
	// behave returns the behaviour of each call; n is the number of earlier calls
	// to all targets.
	behave func(t cataloger.Target, c sender.Call, n int) Behaviour
	// slots is nil if targets run any number of requests at once.
	slots *slots
	// departures is nil if the targets' word that they leave is not heard.
	departures Departures

	mutex sync.Mutex
	// attempts counts the calls, including those that were not sent.
	attempts int
	calls    []SentCall
	// running counts the open streams.
	running int
	// unlisted has the starts of targets that are not the listed ones.
	unlisted map[identifier.TargetName]int64
	// reticent targets tell nobody which start responds.
	reticent map[identifier.TargetName]bool
}

// NewTargets returns Targets with the behaviour that behave returns for each call.
func NewTargets(clock clockwork.Clock, behave func(t cataloger.Target, c sender.Call, n int) Behaviour) *Targets {
	return &Targets{clock: clock, behave: behave}
}

// LimitSlots limits how many streams each target runs at once. It must be called
// before the first call.
func (f *Targets) LimitSlots(perTarget int) {
	f.slots = &slots{perTarget: perTarget, running: make(map[identifier.TargetName]int), waiting: make(map[identifier.TargetName][]waiter)}
}

// TellDepartures makes the targets' word that they leave known to d. It must be called before
// the first call.
func (f *Targets) TellDepartures(d Departures) { f.departures = d }

// Calls returns the calls that have reached a target.
func (f *Targets) Calls() []SentCall {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]SentCall(nil), f.calls...)
}

// Running returns the number of streams that are open.
func (f *Targets) Running() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.running
}

// RestartUnlisted makes another start of a target respond than the listed one.
func (f *Targets) RestartUnlisted(name identifier.TargetName, id int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unlisted == nil {
		f.unlisted = make(map[identifier.TargetName]int64)
	}
	f.unlisted[name] = id
}

// SetReticent makes a target tell nobody which start responds.
func (f *Targets) SetReticent(name identifier.TargetName, reticent bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.reticent == nil {
		f.reticent = make(map[identifier.TargetName]bool)
	}
	f.reticent[name] = reticent
}

func (f *Targets) isReticent(name identifier.TargetName) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reticent[name]
}

// identify returns the start of a target that responds, if the call asks for it.
func (f *Targets) identify(t cataloger.Target, c sender.Call) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !c.Identify {
		return 0
	}
	return f.unlisted[t.Name]
}

// Warm implements sender.Sender.
func (f *Targets) Warm(cataloger.Target) bool { return false }

// Allowance implements sender.Sender: the targets name no limits.
func (f *Targets) Allowance(cataloger.Target) sender.Allowance { return sender.Allowance{} }

// Send implements sender.Sender.
func (f *Targets) Send(ctx context.Context, t cataloger.Target, c sender.Call) (*sender.Response, error) {
	f.mutex.Lock()
	b := f.behave(t, c, f.attempts)
	f.attempts++
	if f.departures != nil && !f.departures.MayReceive(t.Incarnation()) {
		f.mutex.Unlock()
		return nil, sender.ErrNotSent
	}
	if b.NotSent || b.Panics {
		f.mutex.Unlock()
		if b.Panics {
			panic("unexpected error while sending")
		}
		return nil, sender.ErrNotSent
	}
	if _, other := f.unlisted[t.Name]; c.ListedStart && (other || f.reticent[t.Name]) {
		f.mutex.Unlock()
		return nil, sender.ErrOtherStart
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
	if b.Leaves && f.departures != nil {
		f.departures.RecordLeaving(t.Incarnation(), f.clock.Now())
	}
	a := &sender.Response{Status: b.Status, NotRun: b.NotRun, Signature: "by " + string(t.Name), Version: b.Version, Header: http.Header{}, StartID: f.identify(t, c)}
	if a.Status == 0 {
		a.Status = http.StatusOK
	}
	if f.isReticent(t.Name) && c.Identify {
		a.ConfirmListedStart = func(context.Context) bool { return !f.isReticent(t.Name) }
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

// eventStream is the streamed answer of an engine.
type eventStream struct {
	targets   *Targets
	target    identifier.TargetName
	ctx       context.Context
	behaviour Behaviour
	// last is the number of the newest event that was read.
	last identifier.EventNumber
	once sync.Once
}

// Read implements io.Reader. It returns no data; events are read through Next.
func (*eventStream) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (s *eventStream) Close() error {
	s.once.Do(func() {
		if s.targets.slots != nil {
			s.targets.slots.release(s.target)
		}
		s.targets.mutex.Lock()
		defer s.targets.mutex.Unlock()
		s.targets.running--
	})
	return nil
}

// EventData returns the default data of event n.
func EventData(n identifier.EventNumber) []byte { return []byte(fmt.Sprintf("piece %d", n)) }

// Next implements sender.Events.
func (s *eventStream) Next() (sender.Event, error) {
	if s.behaviour.NoEvents || s.last >= identifier.EventNumber(s.behaviour.Events) {
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
