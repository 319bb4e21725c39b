package faker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Service is a plain service. Work that it has begun runs to completion even if
// the caller has stopped waiting.
type Service struct {
	clock  clockwork.Clock
	name   identifier.TargetName
	ledger *Ledger
	// duration is how long one call takes.
	duration time.Duration

	mutex sync.Mutex
	boot  int
	// crashed is closed when the process crashes.
	crashed chan struct{}
}

// NewService returns a Service that records its runs in ledger.
func NewService(clock clockwork.Clock, name identifier.TargetName, ledger *Ledger, duration time.Duration) *Service {
	return &Service{clock: clock, name: name, ledger: ledger, duration: duration, boot: 1, crashed: make(chan struct{})}
}

// Crash kills the service's process, which restarts at once.
func (s *Service) Crash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.crashed)
	s.boot++
	s.crashed = make(chan struct{})
}

// AnswerOf returns the complete answer of a Service to a body.
func AnswerOf(body []byte) string { return "done " + string(body) }

// Do implements caller.Target.
func (s *Service) Do(ctx context.Context, work caller.Work, sink func(caller.Chunk) error) (int, error) {
	if ctx.Err() != nil {
		return 0, caller.ErrRefused
	}
	s.ledger.begin(s.name, string(work.Body), s.clock.Now())
	s.mutex.Lock()
	crashed := s.crashed
	s.mutex.Unlock()
	select {
	case <-crashed:
		return 0, caller.ErrIncomplete
	case <-s.clock.After(s.duration):
	case <-ctx.Done():
		return 0, caller.ErrIncomplete
	}
	if err := sink(caller.Chunk{Data: []byte(AnswerOf(work.Body))}); err != nil {
		return 0, caller.ErrIncomplete
	}
	return statusOK, nil
}

// Cancel implements caller.Target.
func (s *Service) Cancel(context.Context, identifier.RequestID) error { return nil }

// State implements caller.Target.
func (s *Service) State(ctx context.Context) (caller.State, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return caller.State{BootID: fmt.Sprintf("%s-%d", s.name, s.boot)}, ctx.Err()
}

// Load implements caller.Target.
func (s *Service) Load(context.Context, caller.WeightCommand) error { return caller.ErrRefused }

// Switch implements caller.Target.
func (s *Service) Switch(context.Context, caller.WeightCommand) error { return caller.ErrRefused }
