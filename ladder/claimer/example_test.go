package claimer_test

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/claimer"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Two senders submit the same payment; the log alone decides which of them may
// run it.
func Example() {
	clock := clockwork.NewRealClock()
	log := faker.NewLog(clock, faker.LogOptions{}) // appender.NewHTTPLog for the platform's
	key := identifier.IdempotencyKey(uuid.Must(uuid.NewV7()).String())
	for _, sender := range []string{"first", "second"} {
		c := claimer.New(clock, log, 15*time.Minute)
		if err := c.CheckKey(key); err != nil {
			fmt.Println(sender, "refused:", err)
			continue
		}
		claim := claimer.Claim{Key: claimer.ClaimKey("riders", key), Generation: 1, Request: identifier.RequestID(sender)}
		switch v := c.Claim(context.Background(), claim).(type) {
		case claimer.Won:
			fmt.Println(sender, "runs it")
		case claimer.Lost:
			fmt.Println(sender, "asks for the answer of", v.Holder.Request)
		case claimer.Undecided:
			fmt.Println(sender, "says not-run and when to come back:", v.Err)
		}
	}
	// Output:
	// first runs it
	// second asks for the answer of first
}
