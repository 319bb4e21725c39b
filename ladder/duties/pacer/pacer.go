// Package pacer limits the calls that the holder of the duties sends to the platform.
package pacer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// minPause and maxPause bound the pause after a call that was refused because there were too
// many. It doubles with each refusal.
const minPause, maxPause = 250 * time.Millisecond, 4 * time.Second

// The errors of a call. After any other error the call may have had an effect.
var (
	// ErrTooManyCalls means that the platform refused the call because there were too many.
	ErrTooManyCalls = errors.New("the platform takes no more calls at the moment")
	// ErrRejected means that the platform refused the call for good.
	ErrRejected = errors.New("the platform rejected the call")
	// ErrNotHolder means that the call was not sent because the lease has lapsed.
	ErrNotHolder = errors.New("the lease has lapsed")
)

// Authorize returns the fencing token under which a call may be sent at this moment, or false
// if none may be.
type Authorize func() (identifier.FencingToken, bool)

// Pacer spaces the calls of all duties of this host.
type Pacer struct {
	clock   clockwork.Clock
	limiter *rate.Limiter

	mutex sync.Mutex
	// pause is the pause that followed the last refusal, 0 after a call that was taken.
	pause       time.Duration
	pausedUntil time.Time
}

// New returns a Pacer that lets through that many calls per second.
func New(clock clockwork.Clock, perSecond float64) *Pacer {
	return &Pacer{clock: clock, limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// Send makes a call in its turn.
func (p *Pacer) Send(ctx context.Context, call func() error) error {
	if err := p.wait(ctx); err != nil {
		return err
	}
	err := call()
	p.record(err)
	return err
}

func (p *Pacer) wait(ctx context.Context) error {
	p.mutex.Lock()
	now := p.clock.Now()
	earliest := now
	if p.pausedUntil.After(now) {
		earliest = p.pausedUntil
	}
	delay := p.limiter.ReserveN(earliest, 1).DelayFrom(now)
	p.mutex.Unlock()
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-p.clock.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Pacer) record(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case err == nil:
		p.pause = 0
	case errors.Is(err, ErrTooManyCalls):
		p.pause = min(max(minPause, 2*p.pause), maxPause)
		p.pausedUntil = p.clock.Now().Add(p.pause)
	}
}
