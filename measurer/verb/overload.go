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

// overload measures the goodput of live calls during a surge in which live and
// rollout calls together demand 1.5 times the capacity.
type overload struct{}

const (
	normalLoad       = 0.6
	surgeLive        = 1.2
	surgeRollout     = 0.3
	warmUpDuration   = 20 * time.Second
	surgeDuration    = 30 * time.Second
	recoveryDuration = 25 * time.Second
	callerTimeout    = 2 * time.Second
	minRolloutTokens = 300
	maxRolloutTokens = 900
	// liveCapacityShare is the share left when rollout calls take one slot of
	// eight.
	liveCapacityShare = 7.0 / 8
	goodputBound      = 0.95
	retriesBound      = 0.10
	refusalBound      = 50.0
	recoveryBound     = 5.0
	recoveredRatio    = 1.2
	// recoveredSeconds is the number of consecutive seconds that count as
	// recovered. One second is too few: the p99 of its few hundred calls varies
	// by more than a fifth under normal load too.
	recoveredSeconds = 3
	unboundedQueue   = 1 << 20
)

// surgeStats holds the results of one seed.
type surgeStats struct {
	live                  callStats
	retries, hedges, sent int
	refusals              []float64
	withoutRetryAfter     int
	// recovery is the time from the end of the surge until recovery, in
	// seconds.
	recovery float64
}

func (overload) variants() []variant {
	return []variant{
		{name: "no bound, first in, first out", policy: router.PowerOfTwoChoices{}, order: queuer.FIFO{}, queueLimit: unboundedQueue},
		{name: "no bound, plain priority", policy: router.PowerOfTwoChoices{}, order: queuer.StrictPriority{}, queueLimit: unboundedQueue},
		{name: ladderVariant, policy: router.LeastExpectedWait{}, order: queuer.ShortestFirst{EnginePreempts: true}, hedge: true, queueLimit: queueLimit},
	}
}

func (m overload) report(seeds []uint64) summarizer.Report {
	r := summarizer.Report{
		Name: "overload", Title: "Overload",
		Setup: fmt.Sprintf("Live calls at %.0f%% of the capacity, that rise to %.0f%% for %s, beside rollout work at %.0f%%. A caller waits %s at most; one that has waited in vain asks again at once, one that was refused comes back when it was told to, each three times at most. Live work's share is what one slot in eight for rollout work leaves; goodput counts calls answered in time during the surge. Recovery is until the p99 of three seconds in a row is within 1.2 times the highest of the ten seconds before the surge.",
			100*normalLoad, 100*surgeLive, surgeDuration, 100*surgeRollout, callerTimeout),
	}
	for _, d := range simulator.Deployments() {
		share := liveCapacityShare * d.Capacity((minShortTokens+maxShortTokens)/2)
		for _, v := range m.variants() {
			metrics := []string{"goodput of the share", "retries and hedges", "p99 until a refusal", "refusals without when to come back", "recovery"}
			series := make([]summarizer.Series, len(metrics))
			for n, unit := range []string{"", "of calls", "ms", "", "s"} {
				series[n] = summarizer.Series{Deployment: d.Name, Variant: v.name, Metric: metrics[n], Unit: unit}
			}
			for _, o := range runSeeds(seeds, func(seed uint64) *surgeStats { return m.run(d, v, seed) }) {
				for n, value := range []float64{
					float64(o.live.completed) / surgeDuration.Seconds() / share,
					float64(o.retries+o.hedges) / float64(o.sent),
					summarizer.Quantile(o.refusals, 0.99), float64(o.withoutRetryAfter), o.recovery,
				} {
					series[n].Values = append(series[n].Values, value)
				}
			}
			r.Series = append(r.Series, series...)
		}
		median := func(metric string) float64 {
			return summarizer.Quantile(r.MustFind(d.Name, ladderVariant, metric).Values, 0.5)
		}
		r.Goals = append(r.Goals,
			summarizer.Goal{Deployment: d.Name, Description: "goodput of live work over its share", AtLeast: true, Bound: goodputBound, Value: median("goodput of the share")},
			summarizer.Goal{Deployment: d.Name, Description: "retries and hedges of calls", Bound: retriesBound, Value: median("retries and hedges")},
			summarizer.Goal{Deployment: d.Name, Description: "p99 until a refusal, in ms", Bound: refusalBound, Value: median("p99 until a refusal")},
			summarizer.Goal{Deployment: d.Name, Description: "refusals without when to come back", Bound: 0, Value: median("refusals without when to come back")},
			summarizer.Goal{Deployment: d.Name, Description: "recovery, in s", Bound: recoveryBound, Value: median("recovery")},
		)
	}
	return r
}

func (m overload) run(d simulator.Deployment, v variant, seed uint64) *surgeStats {
	cluster := simulator.New(simulator.Options{Deployment: d, Policy: v.policy, Order: v.order, QueueLimit: v.queueLimit, Hedge: v.hedge, Seed: seed})
	o := &surgeStats{}
	start := cluster.Scheduler.Now()
	surgeStart, surgeEnd := start.Add(warmUpDuration), start.Add(warmUpDuration+surgeDuration)
	end := surgeEnd.Add(recoveryDuration)
	latenciesBySecond := make([][]float64, int(end.Sub(start)/time.Second)+1)
	short, long := d.Capacity((minShortTokens+maxShortTokens)/2), d.Capacity((minRolloutTokens+maxRolloutTokens)/2)
	live := func(after time.Duration, load float64, length time.Duration) {
		cluster.Scheduler.After(after, func() {
			atPoissonTimes(cluster, load*short, cluster.Scheduler.Now().Add(length), func() {
				c := &retryingCaller{cluster: cluster, stats: o, surgeStart: surgeStart, surgeEnd: surgeEnd, latenciesBySecond: latenciesBySecond, start: start}
				c.tokens = minShortTokens + cluster.Random.IntN(maxShortTokens-minShortTokens+1)
				c.prompt = cluster.Random.IntN(promptCount)
				c.send()
			})
		})
	}
	live(0, normalLoad, warmUpDuration)
	live(warmUpDuration, surgeLive, surgeDuration)
	live(warmUpDuration+surgeDuration, normalLoad, recoveryDuration)
	k := workload{class: identifier.ClassRollout, perSecond: surgeRollout * long, minTokens: minRolloutTokens, maxTokens: maxRolloutTokens}
	generateCalls(cluster, k, start, end, &callStats{})
	var retries, hedges int
	cluster.Scheduler.After(warmUpDuration, func() { retries, hedges = cluster.Retries, cluster.Hedges })
	cluster.Scheduler.After(warmUpDuration+surgeDuration, func() { o.retries, o.hedges = cluster.Retries-retries, cluster.Hedges-hedges })
	cluster.Scheduler.Run(end.Sub(start))
	o.recovery = recoverySeconds(latenciesBySecond)
	return o
}

// atPoissonTimes calls do at the times of a Poisson process until end.
func atPoissonTimes(cluster *simulator.Cluster, perSecond float64, end time.Time, do func()) {
	cluster.Scheduler.After(time.Duration(cluster.Random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if cluster.Scheduler.Now().After(end) {
			return
		}
		do()
		atPoissonTimes(cluster, perSecond, end, do)
	})
}

// recoverySeconds returns the seconds from the end of the surge until the p99
// is back near its level before the surge. A call that timed out counts with
// the timeout as its latency.
func recoverySeconds(latenciesBySecond [][]float64) float64 {
	before, surgeEnd := int(warmUpDuration/time.Second), int((warmUpDuration+surgeDuration)/time.Second)
	var p99s []float64
	for _, latencies := range latenciesBySecond[before/2 : before] {
		p99s = append(p99s, summarizer.Quantile(latencies, 0.99))
	}
	baseline := summarizer.Quantile(p99s, 1)
	consecutive := 0
	for n := surgeEnd; n < len(latenciesBySecond)-1; n++ {
		consecutive++
		if summarizer.Quantile(latenciesBySecond[n], 0.99) > recoveredRatio*baseline {
			consecutive = 0
		}
		if consecutive == recoveredSeconds {
			return float64(n + 1 - recoveredSeconds - surgeEnd)
		}
	}
	return recoveryDuration.Seconds()
}

// retryingCaller is a client that sends a call again after a refusal or a
// timeout.
type retryingCaller struct {
	cluster              *simulator.Cluster
	stats                *surgeStats
	start                time.Time
	surgeStart, surgeEnd time.Time
	// latenciesBySecond holds the latencies of the calls by the second in which
	// they were sent.
	latenciesBySecond [][]float64
	tokens, prompt    int
	attempts          int
}

const maxCallerAttempts = 4

func (c *retryingCaller) send() {
	c.attempts++
	t := c.cluster.Scheduler
	sent := t.Now()
	duringSurge := sent.After(c.surgeStart) && sent.Before(c.surgeEnd)
	if duringSurge {
		c.stats.sent++
	}
	at := min(len(c.latenciesBySecond)-1, int(sent.Sub(c.start)/time.Second))
	c.cluster.RandomEntry().Send(simulator.Call{
		Class: identifier.ClassLive, Tokens: c.tokens, Expected: identifier.TokenCount(c.tokens), PromptID: c.prompt, Timeout: callerTimeout,
		OnDone: func(r simulator.Result) {
			if r.Completed {
				c.latenciesBySecond[at] = append(c.latenciesBySecond[at], milliseconds(r.Latency))
				if now := t.Now(); now.After(c.surgeStart) && now.Before(c.surgeEnd) {
					c.stats.live.completed++
				}
				return
			}
			c.latenciesBySecond[at] = append(c.latenciesBySecond[at], milliseconds(callerTimeout))
			if r.Refused && duringSurge {
				c.stats.refusals = append(c.stats.refusals, milliseconds(r.Latency))
				if r.RetryAfter <= 0 {
					c.stats.withoutRetryAfter++
				}
			}
			if c.attempts < maxCallerAttempts {
				t.After(r.RetryAfter, c.send)
			}
		},
	})
}
