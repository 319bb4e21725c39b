// Package limiter bounds what each team may send through an entry, and how
// many retries an entry may add.
package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Limits are one team's limits.
type Limits struct {
	// RequestsPerSecond and Burst bound the rate.
	RequestsPerSecond float64
	Burst             int
	// InFlight bounds the open requests.
	InFlight int
}

// Limiter keeps the teams' limits.
type Limiter struct {
	clock clockwork.Clock
	mutex sync.Mutex
	teams map[identifier.TeamName]*team
}

type team struct {
	rate *rate.Limiter
	// inFlight is never above the bound in force when it was raised.
	inFlight int
	bounds   Limits
}

// retryAfterInFlight is the wait asked of a team with too many open requests.
const retryAfterInFlight = time.Second

// New returns a Limiter.
func New(clock clockwork.Clock) *Limiter {
	return &Limiter{clock: clock, teams: make(map[identifier.TeamName]*team)}
}

// TryAcquire admits one request of the team, or says when to come back. Leave ends
// an admitted request.
func (l *Limiter) TryAcquire(name identifier.TeamName, b Limits) (retryAfter time.Duration, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Now()
	t := l.teamOf(name, b, now)
	if t.inFlight >= b.InFlight {
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

// Release ends a request that Enter admitted.
func (l *Limiter) Release(name identifier.TeamName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if t, ok := l.teams[name]; ok {
		t.inFlight--
	}
}

func (l *Limiter) teamOf(name identifier.TeamName, b Limits, now time.Time) *team {
	t, ok := l.teams[name]
	if !ok {
		t = &team{rate: rate.NewLimiter(rate.Limit(b.RequestsPerSecond), b.Burst), bounds: b}
		l.teams[name] = t
	}
	if t.bounds != b {
		t.rate.SetLimitAt(now, rate.Limit(b.RequestsPerSecond))
		t.rate.SetBurstAt(now, b.Burst)
		t.bounds = b
	}
	return t
}

// RetryBudget allows retries as a share of recent successes.
type RetryBudget struct {
	mutex sync.Mutex
	// tokens is between 0 and most.
	tokens float64
	share  float64
	most   float64
}

// NewRetryBudget returns a Budget that each success raises by share, up to most.
// It starts full.
func NewRetryBudget(share, most float64) *RetryBudget {
	return &RetryBudget{tokens: most, share: share, most: most}
}

// RecordSuccess counts a success.
func (b *RetryBudget) RecordSuccess() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = math.Min(b.most, b.tokens+b.share)
}

// TrySpend takes one retry, or says that there is none.
func (b *RetryBudget) TrySpend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
