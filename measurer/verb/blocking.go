package verb

import (
	"fmt"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/measurer/simulator"
	"github.com/lycheeladder/lycheeladder/measurer/summarizer"
)

// blocking measures how long short calls wait behind long ones (head-of-line
// blocking). Both are live calls of the same kind, so that only their length
// distinguishes them.
type blocking struct{}

const (
	blockingLoad      = 0.8
	longCallShare     = 1.0 / 20
	longCallFactor    = 30
	blockingBound     = 1.5
	longThroughput    = 0.95
	blockingWarmUp    = 20 * time.Second
	blockingDuration  = 90 * time.Second
	noLongWorkVariant = "ours, no long work"
)

// mixedStats holds the statistics of the short and the long calls.
type mixedStats struct{ short, long callStats }

func (blocking) variants() []variant {
	return []variant{
		{name: "first in, first out", policy: router.PowerOfTwoChoices{}, order: queuer.FIFO{}},
		{name: "plain priority", policy: router.PowerOfTwoChoices{}, order: queuer.StrictPriority{}},
		{name: "our targets, plain priority", policy: router.LeastExpectedWait{}, order: queuer.StrictPriority{}},
		{name: "ours, engine without priorities", policy: router.LeastExpectedWait{}, order: queuer.ShortestFirst{}},
		{name: ladderVariant, policy: router.LeastExpectedWait{}, order: queuer.ShortestFirst{EnginePreempts: true}},
		{name: noLongWorkVariant, policy: router.LeastExpectedWait{}, order: queuer.ShortestFirst{EnginePreempts: true}, undisturbed: true},
	}
}

func (m blocking) report(seeds []uint64) summarizer.Report {
	r := summarizer.Report{
		Name: "blocking", Title: "Wait of short work behind long work",
		Setup: fmt.Sprintf("1 call in 20 is %d times as long as the others (%d to %d tokens), at %.0f%% of the capacity, for %s after a warm-up of %s. The wait is from the arrival at an entry until an engine's batch takes the call. \"No long work\" is the same short calls alone.",
			longCallFactor, minShortTokens, maxShortTokens, 100*blockingLoad, blockingDuration, blockingWarmUp),
	}
	for _, d := range simulator.Deployments() {
		for _, v := range m.variants() {
			p50 := summarizer.Series{Deployment: d.Name, Variant: v.name, Metric: "short p50 wait", Unit: "ms"}
			p99 := summarizer.Series{Deployment: d.Name, Variant: v.name, Metric: "short p99 wait", Unit: "ms"}
			long := summarizer.Series{Deployment: d.Name, Variant: v.name, Metric: "long tokens", Unit: "tokens/s"}
			for _, o := range runSeeds(seeds, func(seed uint64) mixedStats { return m.run(d, v, seed) }) {
				p50.Values = append(p50.Values, summarizer.Quantile(o.short.queueWaits, 0.5))
				p99.Values = append(p99.Values, summarizer.Quantile(o.short.queueWaits, 0.99))
				long.Values = append(long.Values, float64(o.long.tokens)/blockingDuration.Seconds())
			}
			r.Series = append(r.Series, p50, p99, long)
		}
		r.Goals = append(r.Goals, summarizer.Goal{
			Deployment: d.Name, Description: "short p99 wait over that with no long work", Bound: blockingBound,
			Value: summarizer.MedianRatio(r.MustFind(d.Name, ladderVariant, "short p99 wait"), r.MustFind(d.Name, noLongWorkVariant, "short p99 wait")),
		}, summarizer.Goal{
			Deployment: d.Name, Description: "long tokens over first in, first out", Bound: longThroughput, AtLeast: true,
			Value: summarizer.MedianRatio(r.MustFind(d.Name, ladderVariant, "long tokens"), r.MustFind(d.Name, "first in, first out", "long tokens")),
		})
	}
	return r
}

func (blocking) run(d simulator.Deployment, v variant, seed uint64) mixedStats {
	cluster := simulator.New(simulator.Options{Deployment: d, Policy: v.policy, Order: v.order, QueueLimit: 1024, Hedge: v.hedge, Seed: seed})
	const meanShort = float64(minShortTokens+maxShortTokens) / 2
	rate := blockingLoad * d.Capacity(meanShort*(1-longCallShare+longCallShare*longCallFactor))
	start := cluster.Scheduler.Now()
	from, until := start.Add(blockingWarmUp), start.Add(blockingWarmUp+blockingDuration)
	var o mixedStats
	generateCalls(cluster, workload{class: identifier.ClassLive, perSecond: rate * (1 - longCallShare), minTokens: minShortTokens, maxTokens: maxShortTokens}, from, until, &o.short)
	if !v.undisturbed {
		long := workload{class: identifier.ClassLive, perSecond: rate * longCallShare, minTokens: minShortTokens * longCallFactor, maxTokens: maxShortTokens * longCallFactor}
		generateCalls(cluster, long, from, until, &o.long)
	}
	cluster.Scheduler.Run(blockingWarmUp + blockingDuration)
	return o
}
