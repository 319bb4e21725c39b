package claimer

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// racingLog is a log where other claimers may act between any two steps of a
// claimer, and where appends may fail, lose their responses or take effect
// late.
type racingLog struct {
	t       *rapid.T
	records []appender.Record
	delayed [][]byte
	claims  int
	// winners has the requests whose claims won, by key and generation.
	winners map[string][]string
	depth   int
}

func (r *racingLog) interleave() {
	if len(r.delayed) > 0 && rapid.Bool().Draw(r.t, "late effect") {
		data := r.delayed[0]
		r.delayed = r.delayed[1:]
		r.store(data)
	}
	if r.depth < 4 && r.claims < 10 && rapid.IntRange(0, 2).Draw(r.t, "other claims") == 0 {
		r.claim()
	}
}

func (r *racingLog) store(data []byte) {
	r.records = append(r.records, appender.Record{Offset: identifier.LogOffset(len(r.records)), Data: data})
}

func (r *racingLog) Append(_ context.Context, _ identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	r.interleave()
	defer r.interleave()
	switch rapid.SampledFrom([]string{"kept", "kept", "lost", "late", "refused"}).Draw(r.t, "append") {
	case "lost":
		r.store(records[0])
		return 0, appender.ErrOutcomeUnknown
	case "late":
		r.delayed = append(r.delayed, records[0])
		return 0, appender.ErrOutcomeUnknown
	case "refused":
		return 0, appender.ErrUnavailable
	}
	r.store(records[0])
	return identifier.LogOffset(len(r.records) - 1), nil
}

func (r *racingLog) Read(_ context.Context, _ identifier.StreamName, from identifier.LogOffset, _ int) (appender.Page, error) {
	r.interleave()
	end := identifier.LogOffset(len(r.records))
	return appender.Page{Next: end, Records: r.records[min(from, end):min(from+3, end)]}, nil
}

// claim lets another sender claim a key, either in the first generation or in
// the one after a known holder.
func (r *racingLog) claim() {
	r.depth++
	defer func() { r.depth-- }()
	r.claims++
	c := Claim{
		Key: fmt.Sprint("team/key-", rapid.IntRange(0, 1).Draw(r.t, "key")), Generation: uint32(rapid.IntRange(1, 2).Draw(r.t, "generation")),
		Request: identifier.RequestID(fmt.Sprint("request-", r.claims)),
	}
	if _, won := New(clockwork.NewFakeClock(), r, 0).Claim(context.Background(), c).(Won); won {
		g := fmt.Sprint(c.Key, " ", c.Generation)
		r.winners[g] = append(r.winners[g], string(c.Request))
	}
}

func TestClaim_OneWinnerOfAGeneration(t *testing.T) {
	won := 0
	rapid.Check(t, func(t *rapid.T) {
		r := &racingLog{t: t, winners: make(map[string][]string)}
		for range rapid.IntRange(1, 6).Draw(t, "claims") {
			r.claim()
		}
		for g, winners := range r.winners {
			won++
			if diff := cmp.Diff(1, len(winners)); diff != "" {
				t.Fatalf("winners of %s: %v (-want +got):\n%s", g, winners, diff)
			}
		}
	})
	if won == 0 {
		t.Error("no claim ever won")
	}
}
