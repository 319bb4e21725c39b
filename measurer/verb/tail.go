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

// tail measures the p99 of short live calls while some targets are slow. It
// simulates the hardest case: two targets are slow at any time, and which two
// changes every few seconds, so that observed latencies soon mislead the
// router.
type tail struct{}

const (
	slowTargets         = 2
	slowFactor          = 10
	slowPeriod          = 5 * time.Second
	tailWarmUp          = 10 * time.Second
	tailDuration        = 60 * time.Second
	tailLoad            = 0.5
	tailBound           = 1.2
	minShortTokens      = 10
	maxShortTokens      = 50
	queueLimit          = 64
	noSlowTargetVariant = "ours, no target slow"
	ladderVariant       = "ours"
)

// variant is a combination of policies to compare.
type variant struct {
	name        string
	policy      router.Policy
	order       queuer.Policy
	hedge       bool
	undisturbed bool
	queueLimit  int
}

func (tail) variants() []variant {
	order := queuer.ShortestFirst{EnginePreempts: true}
	return []variant{
		{name: "round robin", policy: router.RoundRobin{}, order: order},
		{name: "least in flight", policy: router.LeastInFlight{}, order: order},
		{name: "two random choices", policy: router.PowerOfTwoChoices{}, order: order},
		{name: "ours, no hedging", policy: router.LeastExpectedWait{}, order: order},
		{name: ladderVariant, policy: router.LeastExpectedWait{}, order: order, hedge: true},
		{name: noSlowTargetVariant, policy: router.LeastExpectedWait{}, order: order, hedge: true, undisturbed: true},
	}
}

func (m tail) report(seeds []uint64) summarizer.Report {
	r := summarizer.Report{
		Name: "tail", Title: "Tail latency while some targets are slow",
		Setup: fmt.Sprintf("Short live calls (%d to %d tokens) at %.0f%% of the capacity, for %s after a warm-up of %s. At every moment %d targets take %d times as long for a token; which ones changes every %s. Load reports lag.",
			minShortTokens, maxShortTokens, 100*tailLoad, tailDuration, tailWarmUp, slowTargets, slowFactor, slowPeriod),
	}
	for _, d := range simulator.Deployments() {
		for _, v := range m.variants() {
			p50 := summarizer.Series{Deployment: d.Name, Variant: v.name, Metric: "p50", Unit: "ms"}
			p99 := summarizer.Series{Deployment: d.Name, Variant: v.name, Metric: "p99", Unit: "ms"}
			hedges := summarizer.Series{Deployment: d.Name, Variant: v.name, Metric: "hedges", Unit: "of calls"}
			for _, o := range runSeeds(seeds, func(seed uint64) *callStats { return m.run(d, v, seed) }) {
				p50.Values = append(p50.Values, summarizer.Quantile(o.latencies, 0.5))
				p99.Values = append(p99.Values, summarizer.Quantile(o.latencies, 0.99))
				hedges.Values = append(hedges.Values, float64(o.hedges)/float64(o.sent))
			}
			r.Series = append(r.Series, p50, p99)
			if v.hedge {
				r.Series = append(r.Series, hedges)
			}
		}
		r.Goals = append(r.Goals, summarizer.Goal{
			Deployment: d.Name, Description: "p99 over the p99 with no target slow", Bound: tailBound,
			Value: summarizer.MedianRatio(r.MustFind(d.Name, ladderVariant, "p99"), r.MustFind(d.Name, noSlowTargetVariant, "p99")),
		})
	}
	return r
}

func (tail) run(d simulator.Deployment, v variant, seed uint64) *callStats {
	cluster := simulator.New(simulator.Options{Deployment: d, Policy: v.policy, Order: v.order, QueueLimit: queueLimit, Hedge: v.hedge, Seed: seed})
	if !v.undisturbed {
		rotateSlowTargets(cluster)
	}
	o := &callStats{}
	k := workload{class: identifier.ClassLive, perSecond: tailLoad * d.Capacity((minShortTokens+maxShortTokens)/2), minTokens: minShortTokens, maxTokens: maxShortTokens}
	start := cluster.Scheduler.Now()
	generateCalls(cluster, k, start.Add(tailWarmUp), start.Add(tailWarmUp+tailDuration), o)
	cluster.Scheduler.Run(tailWarmUp + tailDuration + 30*time.Second)
	o.hedges = cluster.Hedges
	return o
}

// rotateSlowTargets slows down slowTargets random targets and draws new ones
// every slowPeriod.
func rotateSlowTargets(cluster *simulator.Cluster) {
	for n, at := range cluster.Random.Perm(len(cluster.Workers)) {
		factor := 1.0
		if n < slowTargets {
			factor = slowFactor
		}
		cluster.Workers[at].Engine.SetSlowdown(factor)
	}
	cluster.Scheduler.After(slowPeriod, func() { rotateSlowTargets(cluster) })
}
