package verb

import (
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/measurer/simulator"
)

// kind is a kind of call and how often it comes.
type kind struct {
	class identifier.PriorityClass
	// perSecond is the mean rate; arrivals are independent of each other.
	perSecond float64
	// least and most bound the tokens of a call.
	least, most int
	timeout     time.Duration
}

// prompts is how many different prompts are asked about.
const prompts = 200

// observed collects what became of the calls of one kind.
type observed struct {
	sent      int
	completed int
	refused   int
	tokens    int
	// hedges counts second attempts, the warm-up's too.
	hedges int
	// totals and waits are in milliseconds, of completed calls.
	totals []float64
	waits  []float64
}

// arrive sends calls of a kind until the moment given, and gives each result
// to o if the call was sent after the warm-up.
func arrive(s *simulator.Cluster, k kind, from, until time.Time, o *observed) {
	gap := time.Duration(s.Random.ExpFloat64() / k.perSecond * float64(time.Second))
	s.Scheduler.After(gap, func() {
		now := s.Scheduler.Now()
		if now.After(until) {
			return
		}
		send(s, k, now.After(from), o)
		arrive(s, k, from, until, o)
	})
}

func send(s *simulator.Cluster, k kind, counts bool, o *observed) {
	tokens := k.least + s.Random.IntN(k.most-k.least+1)
	s.RandomEntry().Send(simulator.Call{
		Class: k.class, Tokens: tokens, Expected: identifier.TokenCount(tokens), PromptID: s.Random.IntN(prompts),
		Timeout: k.timeout,
		OnDone: func(r simulator.Result) {
			if counts {
				o.add(r, tokens)
			}
		},
	})
	if counts {
		o.sent++
	}
}

func (o *observed) add(r simulator.Result, tokens int) {
	switch {
	case r.Completed:
		o.completed++
		o.tokens += tokens
		o.totals = append(o.totals, milliseconds(r.Latency))
		o.waits = append(o.waits, milliseconds(r.QueueWait))
	case r.Refused:
		o.refused++
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// atOnce is how many seeds are run at a time.
const atOnce = 3

// overSeeds runs one variant with every seed.
func overSeeds[T any](seeds []uint64, run func(seed uint64) T) []T {
	return iter.Mapper[uint64, T]{MaxGoroutines: atOnce}.Map(seeds, func(seed *uint64) T { return run(*seed) })
}
