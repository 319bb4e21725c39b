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

// fairness measures what one team far above its limit does to the others.
type fairness struct{}

const (
	teamCount     = 4
	fairnessLoad      = 0.6
	excessFactor   = 10
	fairnessDuration      = 60 * time.Second
	fairnessBound = 1.2
	noLimitsVariant      = "no limits"
	othersP99        = "p99 of the other teams"
	noExcessVariant       = "ours, no team above its limit"
)

func (m fairness) report(seeds []uint64) summarizer.Report {
	r := summarizer.Report{
		Name: "fairness", Title: "Fairness between teams",
		Setup: fmt.Sprintf("%d teams of short live calls, each limited to its part of %.0f%% of the capacity; one of them sends %d times its limit, for %s. The p99 is that of the others.",
			teamCount, 100*fairnessLoad, excessFactor, fairnessDuration),
	}
	for _, d := range simulator.Deployments() {
		for _, name := range []string{noLimitsVariant, ladderVariant, noExcessVariant} {
			line := summarizer.Series{Deployment: d.Name, Variant: name, Metric: othersP99, Unit: "ms"}
			failed := summarizer.Series{Deployment: d.Name, Variant: name, Metric: "calls of the others refused", Unit: "of calls"}
			for _, o := range runSeeds(seeds, func(seed uint64) *callStats { return m.run(d, name, seed) }) {
				line.Values = append(line.Values, summarizer.Quantile(o.latencies, 0.99))
				failed.Values = append(failed.Values, float64(o.refused)/float64(o.sent))
			}
			r.Series = append(r.Series, line, failed)
		}
		r.Goals = append(r.Goals, summarizer.Goal{
			Deployment: d.Name, Description: "p99 of the others over that with no team above its limit", Bound: fairnessBound,
			Value: summarizer.MedianRatio(r.MustFind(d.Name, ladderVariant, othersP99), r.MustFind(d.Name, noExcessVariant, othersP99)),
		})
	}
	return r
}

func (fairness) run(d simulator.Deployment, name string, seed uint64) *callStats {
	s := simulator.New(simulator.Options{
		Deployment: d, Policy: router.LeastExpectedWait{}, Order: queuer.ShortestFirst{EnginePreempts: true}, QueueLimit: queueLimit, Hedge: true, Seed: seed,
	})
	perTeam := fairnessLoad * d.Capacity((minShortTokens+maxShortTokens)/2) / teamCount
	// A team's limit holds at each entry; the balancer spreads its calls. It
	// is a quarter above the mean, since arrivals come in bunches.
	const headroom = 1.25
	atEntry := perTeam / float64(len(s.Entries))
	bounds := limiter.Limits{RequestsPerSecond: headroom * atEntry, Burst: int(headroom * atEntry), InFlight: int(2 * headroom * atEntry)}
	o := &callStats{}
	end := s.Scheduler.Now().Add(fairnessDuration)
	from := s.Scheduler.Now().Add(tailWarmUp)
	for n := range teamCount {
		rate, into := perTeam, o
		if n == 0 {
			into = &callStats{}
			if name != noExcessVariant {
				rate *= excessFactor
			}
		}
		team := identifier.TeamName(fmt.Sprintf("team-%d", n))
		atPoissonTimes(s, rate, end, func() {
			tokens := minShortTokens + s.Random.IntN(maxShortTokens-minShortTokens+1)
			counts := s.Scheduler.Now().After(from)
			c := simulator.Call{
				Class: identifier.ClassLive, Tokens: tokens, Expected: identifier.TokenCount(tokens), PromptID: s.Random.IntN(promptCount),
				Team: team, OnDone: func(r simulator.Result) {
					if counts {
						into.add(r, tokens)
					}
				},
			}
			if name != noLimitsVariant {
				c.Limits = &bounds
			}
			if counts {
				into.sent++
			}
			s.RandomEntry().Send(c)
		})
	}
	s.Scheduler.Run(fairnessDuration + 10*time.Second)
	return o
}
