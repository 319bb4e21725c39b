package verb

import (
	"fmt"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/measurer/simulator"
	"github.com/lycheeladder/lycheeladder/measurer/summarizer"
)

// fairness measures how one team far above its limit affects the other teams.
type fairness struct{}

const (
	teamCount        = 4
	fairnessLoad     = 0.6
	excessFactor     = 10
	fairnessDuration = 60 * time.Second
	fairnessBound    = 1.2
	noLimitsVariant  = "no limits"
	othersP99        = "p99 of the other teams"
	noExcessVariant  = "ours, no team above its limit"
)

func (m fairness) report(seeds []uint64) summarizer.Report {
	r := summarizer.Report{
		Name: "fairness", Title: "Fairness between teams",
		Setup: fmt.Sprintf("%d teams of short live calls, each limited to its part of %.0f%% of the capacity; one of them sends %d times its limit, for %s. The p99 is that of the others.",
			teamCount, 100*fairnessLoad, excessFactor, fairnessDuration),
	}
	for _, d := range simulator.Deployments() {
		for _, name := range []string{noLimitsVariant, ladderVariant, noExcessVariant} {
			p99 := summarizer.Series{Deployment: d.Name, Variant: name, Metric: othersP99, Unit: "ms"}
			refused := summarizer.Series{Deployment: d.Name, Variant: name, Metric: "calls of the others refused", Unit: "of calls"}
			for _, o := range runSeeds(seeds, func(seed uint64) *callStats { return m.run(d, name, seed) }) {
				p99.Values = append(p99.Values, summarizer.Quantile(o.latencies, 0.99))
				refused.Values = append(refused.Values, float64(o.refused)/float64(o.sent))
			}
			r.Series = append(r.Series, p99, refused)
		}
		r.Goals = append(r.Goals, summarizer.Goal{
			Deployment: d.Name, Description: "p99 of the others over that with no team above its limit", Bound: fairnessBound,
			Value: summarizer.MedianRatio(r.MustFind(d.Name, ladderVariant, othersP99), r.MustFind(d.Name, noExcessVariant, othersP99)),
		})
	}
	return r
}

func (fairness) run(d simulator.Deployment, name string, seed uint64) *callStats {
	cluster := simulator.New(simulator.Options{
		Deployment: d, Policy: router.LeastExpectedWait{}, Order: queuer.ShortestFirst{EnginePreempts: true}, QueueLimit: queueLimit, Hedge: true, Seed: seed,
	})
	perTeam := fairnessLoad * d.Capacity((minShortTokens+maxShortTokens)/2) / teamCount
	// Each entry applies the limit of a team on its own, and the balancer
	// spreads the team's calls. The limit is a quarter above the mean rate,
	// since arrivals are bursty.
	const headroom = 1.25
	atEntry := perTeam / float64(len(cluster.Entries))
	limits := limiter.Limits{RequestsPerSecond: headroom * atEntry, Burst: int(headroom * atEntry), InFlight: int(2 * headroom * atEntry)}
	o := &callStats{}
	end := cluster.Scheduler.Now().Add(fairnessDuration)
	from := cluster.Scheduler.Now().Add(tailWarmUp)
	for n := range teamCount {
		rate, stats := perTeam, o
		if n == 0 {
			stats = &callStats{}
			if name != noExcessVariant {
				rate *= excessFactor
			}
		}
		team := identifier.TeamName(fmt.Sprintf("team-%d", n))
		atPoissonTimes(cluster, rate, end, func() {
			tokens := minShortTokens + cluster.Random.IntN(maxShortTokens-minShortTokens+1)
			recorded := cluster.Scheduler.Now().After(from)
			c := simulator.Call{
				Class: identifier.ClassLive, Tokens: tokens, Expected: identifier.TokenCount(tokens), PromptID: cluster.Random.IntN(promptCount),
				Team: team, OnDone: func(r simulator.Result) {
					if recorded {
						stats.add(r, tokens)
					}
				},
			}
			if name != noLimitsVariant {
				c.Limits = &limits
			}
			if recorded {
				stats.sent++
			}
			cluster.RandomEntry().Send(c)
		})
	}
	cluster.Scheduler.Run(fairnessDuration + 10*time.Second)
	return o
}
