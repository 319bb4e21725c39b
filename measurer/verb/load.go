package verb

import (
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/measurer/simulator"
)

// workload is a workload of call and how often it comes.
type workload struct {
	class identifier.PriorityClass
	// perSecond is the mean rate; arrivals are independent of each other.
	perSecond float64
	// minTokens and maxTokens bound the tokens of a call.
	minTokens, maxTokens int
	timeout     time.Duration
}

// promptCount is how many different promptCount are asked about.
const promptCount = 200

// callStats collects what became of the calls of one kind.
type callStats struct {
	sent      int
	completed int
	refused   int
	tokens    int
	// hedges counts second attempts, the warm-up's too.
	hedges int
	// latencies and waits are in milliseconds, of completed calls.
	latencies []float64
	queueWaits  []float64
}

// generateCalls sends calls of a kind until the moment given, and gives each result
// to o if the call was sent after the warm-up.
func generateCalls(s *simulator.Cluster, k workload, from, until time.Time, o *callStats) {
	gap := time.Duration(s.Random.ExpFloat64() / k.perSecond * float64(time.Second))
	s.Scheduler.After(gap, func() {
		now := s.Scheduler.Now()
		if now.After(until) {
			return
		}
		sendCall(s, k, now.After(from), o)
		generateCalls(s, k, from, until, o)
	})
}

func sendCall(s *simulator.Cluster, k workload, counts bool, o *callStats) {
	tokens := k.minTokens + s.Random.IntN(k.maxTokens-k.minTokens+1)
	s.RandomEntry().Send(simulator.Call{
		Class: k.class, Tokens: tokens, Expected: identifier.TokenCount(tokens), PromptID: s.Random.IntN(promptCount),
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

func (o *callStats) add(r simulator.Result, tokens int) {
	switch {
	case r.Completed:
		o.completed++
		o.tokens += tokens
		o.latencies = append(o.latencies, milliseconds(r.Latency))
		o.queueWaits = append(o.queueWaits, milliseconds(r.QueueWait))
	case r.Refused:
		o.refused++
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxParallelSeeds is how many seeds are run at a time.
const maxParallelSeeds = 3

// runSeeds runs one variant with every seed.
func runSeeds[T any](seeds []uint64, run func(seed uint64) T) []T {
	return iter.Mapper[uint64, T]{MaxGoroutines: maxParallelSeeds}.Map(seeds, func(seed *uint64) T { return run(*seed) })
}
