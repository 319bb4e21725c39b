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

// TestMain fixes the seed of the properties; -rapid.seed names another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// race is a log at which any other claimer may act between any two steps of
// one, and whose appends may fail, lose their answers or take effect late.
type race struct {
	t       *rapid.T
	records []appender.Record
	late    [][]byte
	claims  int
	// winners has the claims that were won, by key and generation.
	winners map[string][]string
	depth   int
}

func (r *race) interleave() {
	if len(r.late) > 0 && rapid.Bool().Draw(r.t, "late effect") {
		data := r.late[0]
		r.late = r.late[1:]
		r.take(data)
	}
	if r.depth < 4 && r.claims < 10 && rapid.IntRange(0, 2).Draw(r.t, "other claims") == 0 {
		r.claim()
	}
}

func (r *race) take(data []byte) {
	r.records = append(r.records, appender.Record{Offset: identifier.LogOffset(len(r.records)), Data: data})
}

func (r *race) Append(_ context.Context, _ identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	r.interleave()
	defer r.interleave()
	switch rapid.SampledFrom([]string{"kept", "kept", "lost", "late", "refused"}).Draw(r.t, "append") {
	case "lost":
		r.take(records[0])
		return 0, appender.ErrOutcomeUnknown
	case "late":
		r.late = append(r.late, records[0])
		return 0, appender.ErrOutcomeUnknown
	case "refused":
		return 0, appender.ErrUnavailable
	}
	r.take(records[0])
	return identifier.LogOffset(len(r.records) - 1), nil
}

func (r *race) Read(_ context.Context, _ identifier.StreamName, from identifier.LogOffset, _ int) (appender.Page, error) {
	r.interleave()
	end := identifier.LogOffset(len(r.records))
	return appender.Page{Next: end, Records: r.records[min(from, end):min(from+3, end)]}, nil
}

// claim has one more sender claim a key, as the first or as the one after a
// holder that it has heard of.
func (r *race) claim() {
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
		r := &race{t: t, winners: make(map[string][]string)}
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
		t.Error("nobody ever won")
	}
}
