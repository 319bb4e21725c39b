package faker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Service is a plain service. Work that it has begun runs to its end, whoever
// still waits.
type Service struct {
	clock  clockwork.Clock
	name   identifier.TargetName
	ledger *Ledger
	// duration is the time of one call.
	duration time.Duration
}

// NewService returns a service that accounts for its runs in ledger.
func NewService(clock clockwork.Clock, name identifier.TargetName, ledger *Ledger, duration time.Duration) *Service {
	return &Service{clock: clock, name: name, ledger: ledger, duration: duration}
}

// AnswerOf is the whole answer of a Service to a body.
func AnswerOf(body []byte) string { return "done " + string(body) }

// Do implements caller.Target.
func (s *Service) Do(ctx context.Context, work caller.Work, sink func(caller.Piece) error) (int, error) {
	if ctx.Err() != nil {
		return 0, caller.ErrRefused
	}
	s.ledger.begin(s.name, string(work.Body), s.clock.Now())
	select {
	case <-s.clock.After(s.duration):
	case <-ctx.Done():
		return 0, caller.ErrBroken
	}
	if err := sink(caller.Piece{Data: []byte(AnswerOf(work.Body))}); err != nil {
		return 0, caller.ErrBroken
	}
	return statusOK, nil
}

// Cancel implements caller.Target.
func (s *Service) Cancel(context.Context, identifier.RequestID) error { return nil }

// State implements caller.Target.
func (s *Service) State(ctx context.Context) (caller.State, error) {
	return caller.State{BootID: string(s.name)}, ctx.Err()
}

// Load implements caller.Target.
func (s *Service) Load(context.Context, caller.Order) error { return caller.ErrRefused }

// Switch implements caller.Target.
func (s *Service) Switch(context.Context, caller.Order) error { return caller.ErrRefused }
