package verb

import (
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/measurer/simulator"
)

// workload describes one kind of call and its arrival rate.
type workload struct {
	class identifier.PriorityClass
	// perSecond is the mean rate of a Poisson process.
	perSecond float64
	// minTokens and maxTokens bound the number of tokens of a call.
	minTokens, maxTokens int
	timeout              time.Duration
}

// promptCount is the number of distinct prompts.
const promptCount = 200

// callStats collects the outcomes of the calls of one workload.
type callStats struct {
	sent      int
	completed int
	refused   int
	tokens    int
	// hedges recorded second attempts, including those during the warm-up.
	hedges int
	// latencies and queueWaits are those of completed calls, in milliseconds.
	latencies  []float64
	queueWaits []float64
}

// generateCalls sends the calls of a workload until the given time. Calls sent
// after from are recorded in o; earlier ones are warm-up.
func generateCalls(cluster *simulator.Cluster, k workload, from, until time.Time, o *callStats) {
	gap := time.Duration(cluster.Random.ExpFloat64() / k.perSecond * float64(time.Second))
	cluster.Scheduler.After(gap, func() {
		now := cluster.Scheduler.Now()
		if now.After(until) {
			return
		}
		sendCall(cluster, k, now.After(from), o)
		generateCalls(cluster, k, from, until, o)
	})
}

func sendCall(cluster *simulator.Cluster, k workload, recorded bool, o *callStats) {
	tokens := k.minTokens + cluster.Random.IntN(k.maxTokens-k.minTokens+1)
	cluster.RandomEntry().Send(simulator.Call{
		Class: k.class, Tokens: tokens, Expected: identifier.TokenCount(tokens), PromptID: cluster.Random.IntN(promptCount),
		Timeout: k.timeout,
		OnDone: func(r simulator.Result) {
			if recorded {
				o.add(r, tokens)
			}
		},
	})
	if recorded {
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

// maxParallelSeeds is the number of seeds simulated in parallel.
const maxParallelSeeds = 3

// runSeeds runs one variant with every seed and returns the results in the
// order of the seeds.
func runSeeds[T any](seeds []uint64, run func(seed uint64) T) []T {
	return iter.Mapper[uint64, T]{MaxGoroutines: maxParallelSeeds}.Map(seeds, func(seed *uint64) T { return run(*seed) })
}
