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
	errEntryUnreachable = errors.New("entry is unreachable")
	errAnswerLost       = errors.New("answer of the entry was lost")
)

// clientCall is a call that a client makes.
type clientCall struct {
	// subject identifies the call in the ledger.
	subject string
	service identifier.ServiceName
	call    identifier.CallName
	body    []byte
	key     identifier.IdempotencyKey
	timeout time.Duration
	stream  bool
	// tokens is the length of a complete answer of an engine.
	tokens int
	// duringStop marks a call that is in progress during a planned stop.
	duringStop bool
}

func reserveCall(subject string) clientCall {
	return clientCall{subject: subject, service: plainService, call: callReserve, body: []byte(subject), timeout: 8 * time.Second}
}

func generateCall(subject string, tokens int) clientCall {
	p := faker.Prompt{Prompt: subject, MaxTokens: tokens}
	return clientCall{
		subject: subject, service: engineService, call: callGenerate, body: p.Body(),
		timeout: 8 * time.Second, stream: true, tokens: tokens,
	}
}

// SentCall is a client's call with the answer that the client received.
type SentCall struct {
	clientCall
	entry        string
	began, ended time.Time
	// outcome is nil if the client received no answer.
	outcome  dispatcher.Outcome
	streamed []byte
	// runs is how many runs the subject had when the call ended.
	runs int
}

// send makes a call through an entry and returns the outcome that the client sees.
func (sim *Simulation) send(name string, a clientCall) dispatcher.Outcome {
	s := SentCall{clientCall: a, entry: name, began: sim.clock.Now()}
	c := injector.Call{
		Port: name, Name: "call-" + string(a.call), Kinds: injector.ExternalKinds(),
		RefusedError: errEntryUnreachable, LostError: errAnswerLost,
	}
	var o dispatcher.Outcome
	b := &streamBuffer{}
	// The client waits a little longer than the time-out that it asks for, so that
	// the entry's final answer can arrive.
	ctx, cancel := context.WithTimeout(sim.ctx, a.timeout+time.Second)
	defer cancel()
	err := sim.outside.Do(ctx, c, func(ctx context.Context) (err error) {
		o, err = sim.handleCall(ctx, name, a, b)
		return err
	})
	if err == nil {
		s.outcome = o
	}
	s.ended, s.streamed, s.runs = sim.clock.Now(), b.bytes(), sim.ledger.Count(a.subject)
	sim.mutex.Lock()
	sim.sent = append(sim.sent, s)
	sim.mutex.Unlock()
	excused := sim.faultFired(name+".", injector.Paused, injector.PausedBriefly) || sim.faultFired("outside."+name, injector.Slow)
	if errors.Is(err, context.DeadlineExceeded) && !excused {
		sim.reportViolation(promiseFinal, "%s at %s has no final answer %s after its start", a.subject, name, s.ended.Sub(s.began))
	}
	return s.outcome
}

// streamBuffer collects the data of a stream at the client.
type streamBuffer struct {
	mutex sync.Mutex
	data  []byte
}

func (b *streamBuffer) write(data []byte) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.data = append(b.data, data...)
	return nil
}

func (b *streamBuffer) bytes() []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.data
}

// withEntry runs act at an entry as a client connection would: it fails if the
// entry has not started, is stopping or is killed meanwhile, it blocks while the
// entry is paused, and it ends with ctx.
func (sim *Simulation) withEntry(ctx context.Context, name string, act func(ctx context.Context, e *entry) error) error {
	e := sim.entry(name)
	if e == nil || e.stopping.Load() {
		return errEntryUnreachable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	e.openCalls.Add(1)
	sim.tasks.Go(func() {
		defer e.openCalls.Add(-1)
		if e.process.WaitWhilePaused() != nil {
			done <- errEntryUnreachable
			return
		}
		err := act(ctx, e)
		if e.process.WaitWhilePaused() != nil {
			err = errEntryUnreachable
		}
		done <- err
	})
	select {
	case err := <-done:
		return err
	case <-e.process.Dead():
		return errEntryUnreachable
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleCall makes the call at the entry and collects its stream in b.
func (sim *Simulation) handleCall(ctx context.Context, name string, a clientCall, b *streamBuffer) (dispatcher.Outcome, error) {
	answered := make(chan dispatcher.Outcome, 1)
	err := sim.withEntry(ctx, name, func(ctx context.Context, e *entry) error {
		call := coordinator.Call{
			ID: identifier.NewRequestID(), Key: liveKey, Service: a.service, Name: a.call, Body: a.body,
			IdempotencyKey: a.key, Timeout: a.timeout,
		}
		if a.stream {
			call.Stream = func(data []byte) error {
				if err := e.process.WaitWhilePaused(); err != nil {
					return err
				}
				return b.write(data)
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
