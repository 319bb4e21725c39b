// Package limiter limits the requests of each team at an entry, and the number of
// retries that an entry may add.
package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Limits are the limits of one team.
type Limits struct {
	// RequestsPerSecond and Burst limit the rate.
	RequestsPerSecond float64
	Burst             int
	// InFlight limits the open requests.
	InFlight int
}

// Limiter enforces the teams' limits.
type Limiter struct {
	clock clockwork.Clock
	mutex sync.Mutex
	teams map[identifier.TeamName]*team
}

type team struct {
	rate *rate.Limiter
	// inFlight never rises above the limit in force at that time.
	inFlight int
	limits   Limits
}

// retryAfterInFlight is sent to a team with too many open requests.
const retryAfterInFlight = time.Second

// New returns a Limiter without any open request.
func New(clock clockwork.Clock) *Limiter {
	return &Limiter{clock: clock, teams: make(map[identifier.TeamName]*team)}
}

// TryAcquire admits one request of the team, or returns when to retry. An admitted
// request ends with Release.
func (l *Limiter) TryAcquire(name identifier.TeamName, limits Limits) (retryAfter time.Duration, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Now()
	t := l.teamOf(name, limits, now)
	if t.inFlight >= limits.InFlight {
		return retryAfterInFlight, false
	}
	reservation := t.rate.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return wait, false
	}
	t.inFlight++
	return 0, true
}

// Release ends a request admitted by TryAcquire.
func (l *Limiter) Release(name identifier.TeamName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if t, ok := l.teams[name]; ok {
		t.inFlight--
	}
}

func (l *Limiter) teamOf(name identifier.TeamName, limits Limits, now time.Time) *team {
	t, ok := l.teams[name]
	if !ok {
		t = &team{rate: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), limits.Burst), limits: limits}
		l.teams[name] = t
	}
	if t.limits != limits {
		t.rate.SetLimitAt(now, rate.Limit(limits.RequestsPerSecond))
		t.rate.SetBurstAt(now, limits.Burst)
		t.limits = limits
	}
	return t
}

// RetryBudget limits retries to a share of the recent successes.
type RetryBudget struct {
	mutex sync.Mutex
	// tokens is between 0 and capacity.
	tokens     float64
	perSuccess float64
	capacity   float64
}

// NewRetryBudget returns a full RetryBudget that each success raises by
// perSuccess, up to capacity.
func NewRetryBudget(perSuccess, capacity float64) *RetryBudget {
	return &RetryBudget{tokens: capacity, perSuccess: perSuccess, capacity: capacity}
}

// RecordSuccess raises the budget for a success.
func (b *RetryBudget) RecordSuccess() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = math.Min(b.capacity, b.tokens+b.perSuccess)
}

// TrySpend takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) TrySpend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
