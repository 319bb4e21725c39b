package prover

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

var (
	errNoEntry    = errors.New("entry doesn't answer")
	errAnswerLost = errors.New("answer of the entry lost")
)

// ask is one call that a caller makes.
type ask struct {
	// subject is what the ledger has the call under.
	subject string
	service identifier.ServiceName
	call    identifier.CallName
	body    []byte
	key     identifier.IdempotencyKey
	timeout time.Duration
	stream  bool
	// tokens is the length of a whole answer of an engine.
	tokens int
	// stopping says that a planned stop happens during the call.
	stopping bool
}

func reservation(subject string) ask {
	return ask{subject: subject, service: plainService, call: callReserve, body: []byte(subject), timeout: 8 * time.Second}
}

func advice(subject string, tokens int) ask {
	p := faker.Prompt{Prompt: subject, MaxTokens: tokens}
	return ask{
		subject: subject, service: engineService, call: callGenerate, body: p.Body(),
		timeout: 8 * time.Second, stream: true, tokens: tokens,
	}
}

// SentCall is a call and what its caller was answered.
type SentCall struct {
	ask
	entry        string
	began, ended time.Time
	// outcome is nil if the caller got no answer at all.
	outcome  dispatcher.Outcome
	streamed []byte
	// runs is how often the subject had run when the answer came.
	runs int
}

// send makes a call through an entry, and returns what the caller learns.
func (w *Simulation) send(name string, a ask) dispatcher.Outcome {
	s := SentCall{ask: a, entry: name, began: w.clock.Now()}
	c := injector.Call{
		Port: name, Name: "call-" + string(a.call), Kinds: injector.ExternalKinds(),
		RefusedError: errNoEntry, LostError: errAnswerLost,
	}
	var o dispatcher.Outcome
	r := &receiver{}
	// A caller waits a little longer than it says.
	ctx, cancel := context.WithTimeout(w.ctx, a.timeout+time.Second)
	defer cancel()
	err := w.outside.Do(ctx, c, func(ctx context.Context) (err error) {
		o, err = w.handle(ctx, name, a, r)
		return err
	})
	if err == nil {
		s.outcome = o
	}
	s.ended, s.streamed, s.runs = w.clock.Now(), r.bytes(), w.ledger.Count(a.subject)
	w.mutex.Lock()
	w.sent = append(w.sent, s)
	w.mutex.Unlock()
	excused := w.faulted(name+".", injector.Paused, injector.PausedBriefly) || w.faulted("outside."+name, injector.Slow)
	if errors.Is(err, context.DeadlineExceeded) && !excused {
		w.violate(promiseFinal, "%s at %s has no final answer %s after its start", a.subject, name, s.ended.Sub(s.began))
	}
	return s.outcome
}

// receiver is the caller's end of a stream.
type receiver struct {
	mutex sync.Mutex
	data  []byte
}

func (r *receiver) take(data []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.data = append(r.data, data...)
	return nil
}

func (r *receiver) bytes() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.data
}

// enter runs act at an entry's listener, as one connection: a dead process
// breaks it, a paused one neither hears nor answers, and the caller leaves
// when its ctx ends. One that hasn't started yet listens nowhere.
func (w *Simulation) enter(ctx context.Context, name string, act func(ctx context.Context, e *entry) error) error {
	e := w.entry(name)
	if e == nil || e.stopping.Load() {
		return errNoEntry
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	e.open.Add(1)
	w.tasks.Go(func() {
		defer e.open.Add(-1)
		if e.process.WaitWhilePaused() != nil {
			done <- errNoEntry
			return
		}
		err := act(ctx, e)
		if e.process.WaitWhilePaused() != nil {
			err = errNoEntry
		}
		done <- err
	})
	select {
	case err := <-done:
		return err
	case <-e.process.Dead():
		return errNoEntry
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handle makes the call at the entry, which streams to r.
func (w *Simulation) handle(ctx context.Context, name string, a ask, r *receiver) (dispatcher.Outcome, error) {
	answered := make(chan dispatcher.Outcome, 1)
	err := w.enter(ctx, name, func(ctx context.Context, e *entry) error {
		call := coordinator.Call{
			ID: identifier.NewRequestID(), Key: liveKey, Service: a.service, Name: a.call, Body: a.body,
			IdempotencyKey: a.key, Timeout: a.timeout,
		}
		if a.stream {
			call.Stream = func(data []byte) error {
				if err := e.process.WaitWhilePaused(); err != nil {
					return err
				}
				return r.take(data)
			}
		}
		answered <- e.coordinator.Handle(ctx, call)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return <-answered, nil
}
