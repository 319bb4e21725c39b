package limiter_test

import (
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/limiter"
)

// A team above its limit is refused at once and told when to retry.
func ExampleLimiter() {
	l := limiter.New(clockwork.NewFakeClock())
	limits := limiter.Limits{RequestsPerSecond: 2, Burst: 1, InFlight: 10}
	for range 2 {
		retryAfter, ok := l.TryAcquire("franchisees", limits)
		fmt.Println(ok, retryAfter)
	}
	// Output:
	// true 0s
	// false 500ms
}

// The number of retries is a share of the successes, so that retries can't add much
// to an overload.
func ExampleRetryBudget() {
	b := limiter.NewRetryBudget(0.5, 1)
	fmt.Println(b.TrySpend(), b.TrySpend())
	b.RecordSuccess()
	b.RecordSuccess()
	fmt.Println(b.TrySpend())
	// Output:
	// true false
	// true
}
