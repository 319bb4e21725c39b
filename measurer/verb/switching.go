package verb

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/measurer/simulator"
	"github.com/lycheeladder/lycheeladder/measurer/summarizer"
	"github.com/lycheeladder/lycheeladder/measurer/scheduler"
)

// switching measures how much of a service is away while its engines go to new
// weights, and how long the whole takes.
type switching struct{}

const (
	awayPercent    = 25
	roundCount   = 50
	switchBound    = 7 * time.Second
	typicalSwitch    = 400 * time.Millisecond
	switchSpread   = 0.2
	slowSwitchRate   = 0.02
	slowSwitchFactor     = 2
	loadDuration       = 800 * time.Millisecond
	maxParallelLoads    = 4
	meanLinkDelay      = 5 * time.Millisecond
	announceLossRate   = 0.1
	heartbeatInterval      = time.Second
	appendDuration     = 20 * time.Millisecond
	holderFailureRate    = 0.05
	leaseDuration      = 5 * time.Second
	convergerVariant     = ladderVariant
	leaseHolderVariant    = "strict waves by a lease holder"
	allAtOnceVariant = "all at once"
)

func (m switching) report(seeds []uint64) summarizer.Report {
	r := summarizer.Report{
		Name: "switching", Title: "Capacity away during a weight switch",
		Setup: fmt.Sprintf("%d rounds of new weights. %d engines at a time load from the store in %s; a switch takes %s, give or take a fifth, and 1 in 50 twice that. 1 announcement in 10 is lost and learnt by the next heartbeat. The lease holder appends each wave to the log, waits for all of it, and in 1 round of 20 dies; its lease lasts %s. The share configured is %d%%.",
			roundCount, maxParallelLoads, loadDuration, typicalSwitch, leaseDuration, awayPercent),
	}
	for _, d := range simulator.Deployments() {
		for _, v := range []string{allAtOnceVariant, leaseHolderVariant, convergerVariant} {
			away := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "most away", Unit: "% of targets"}
			over := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "time over the share", Unit: "ms a round"}
			p50 := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "p50 until all switched", Unit: "s"}
			most := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "most until all switched", Unit: "s"}
			for _, o := range runSeeds(seeds, func(seed uint64) switchStats { return m.run(d, v, seed) }) {
				away.Values = append(away.Values, 100*float64(o.mostAway)/float64(d.Workers))
				over.Values = append(over.Values, milliseconds(o.overTime)/roundCount)
				p50.Values = append(p50.Values, summarizer.Quantile(o.durations, 0.5))
				most.Values = append(most.Values, summarizer.Quantile(o.durations, 1))
			}
			r.Series = append(r.Series, away, over, p50, most)
		}
		r.Goals = append(r.Goals, summarizer.Goal{
			Deployment: d.Name, Description: "most of the service away, in % (worst of all seeds and rounds)", Bound: awayPercent,
			Value: summarizer.Quantile(r.MustFind(d.Name, convergerVariant, "most away").Values, 1),
		}, summarizer.Goal{
			Deployment: d.Name, Description: "until all switched, in s (worst of all seeds and rounds)", Bound: switchBound.Seconds(),
			Value: summarizer.Quantile(r.MustFind(d.Name, convergerVariant, "most until all switched").Values, 1),
		})
	}
	return r
}

// switchStats is what the rounds of one seed gave.
type switchStats struct {
	away, mostAway int
	// overTime is the time in which more than the share was away.
	overTime    time.Duration
	lastChange time.Time
	// durations is in seconds, one per round.
	durations []float64
}

// round is one round of new weights.
type round struct {
	scheduler  *scheduler.Scheduler
	random *rand.Rand
	maxAway  int
	remaining   int
	startedAt  time.Time
	result *switchStats
	// longestSwitch is what each target has learnt of its switches.
	longestSwitch []time.Duration
	// activeLoads counts the loads at the store.
	activeLoads int
}

func (switching) run(d simulator.Deployment, variant string, seed uint64) switchStats {
	t := scheduler.New()
	o := switchStats{lastChange: t.Now()}
	r := &round{
		scheduler: t, random: router.NewRandom(seed), result: &o,
		maxAway: max(1, d.Workers*awayPercent/100), longestSwitch: make([]time.Duration, d.Workers),
	}
	for range roundCount {
		r.startedAt, r.remaining = t.Now(), d.Workers
		switch variant {
		case allAtOnceVariant:
			r.announceToAll(func(int) { r.load(func() { r.switchEngine(nil) }) })
		case leaseHolderVariant:
			r.switchByLeaseHolder(d.Workers)
		case convergerVariant:
			m := messenger.Configuration{AwayPercent: awayPercent, Peers: d.Workers, SwitchTime: r.longestKnownSwitch()}
			r.announceToAll(func(n int) { r.switchByConverger(m, n) })
		}
		t.Run(2 * time.Minute)
	}
	return o
}

// longestKnownSwitch is the longest switch that the entries have heard of.
func (r *round) longestKnownSwitch() (longest time.Duration) {
	for _, d := range r.longestSwitch {
		longest = max(longest, d)
	}
	return longest
}

// announceToAll lets every target learn the goal over its links.
func (r *round) announceToAll(learn func(n int)) {
	for n := range r.remaining {
		delay := time.Duration(r.random.ExpFloat64() * float64(meanLinkDelay))
		if r.random.Float64() < announceLossRate {
			delay = time.Duration(r.random.Float64() * float64(heartbeatInterval))
		}
		r.scheduler.After(delay, func() { learn(n) })
	}
}

// load waits for a place at the weight store, then loads.
func (r *round) load(done func()) {
	if r.activeLoads >= maxParallelLoads {
		r.scheduler.After(loadDuration/8, func() { r.load(done) })
		return
	}
	r.activeLoads++
	r.scheduler.After(loadDuration, func() {
		r.activeLoads--
		done()
	})
}

// switchEngine switches one engine, then calls done, if set, with the time it took.
func (r *round) switchEngine(done func(time.Duration)) {
	d := float64(typicalSwitch) * (1 + switchSpread*(2*r.random.Float64()-1))
	if r.random.Float64() < slowSwitchRate {
		d *= slowSwitchFactor
	}
	r.countAway(1)
	r.scheduler.After(time.Duration(d), func() {
		r.countAway(-1)
		r.remaining--
		if r.remaining == 0 {
			r.result.durations = append(r.result.durations, r.scheduler.Now().Sub(r.startedAt).Seconds())
		}
		if done != nil {
			done(time.Duration(d))
		}
	})
}

func (r *round) countAway(change int) {
	o := r.result
	if o.away > r.maxAway {
		o.overTime += r.scheduler.Now().Sub(o.lastChange)
	}
	o.lastChange = r.scheduler.Now()
	o.away += change
	o.mostAway = max(o.mostAway, o.away)
}

// switchByConverger is one sidecar: the converger's rule.
func (r *round) switchByConverger(m messenger.Configuration, n int) {
	m.Rank = n
	// The age of a goal is off by the time of one message.
	since := r.startedAt.Add(time.Duration(r.random.ExpFloat64() * float64(meanLinkDelay)))
	var turn func()
	turn = func() {
		if d := converger.SwitchDelay(m, since, r.scheduler.Now()); d > 0 {
			r.scheduler.After(d, turn)
			return
		}
		r.switchEngine(func(took time.Duration) { r.longestSwitch[n] = converger.UpdateSwitchTime(r.longestSwitch[n], took) })
	}
	r.scheduler.After(converger.LoadDelay(m, since, r.scheduler.Now()), func() { r.load(turn) })
}

// switchByLeaseHolder orders waves once all have loaded, each after the last has ended.
func (r *round) switchByLeaseHolder(workers int) {
	loaded := 0
	r.announceToAll(func(int) {
		r.load(func() {
			loaded++
			if loaded == workers {
				r.startWave(workers, r.random.Float64() < holderFailureRate)
			}
		})
	})
}

func (r *round) startWave(remaining int, fails bool) {
	if remaining == 0 {
		return
	}
	delay := appendDuration + 2*meanLinkDelay
	if fails && r.random.IntN(2) == 0 {
		fails = false
		delay += leaseDuration
	}
	r.scheduler.After(delay, func() {
		size := min(r.maxAway, remaining)
		open := size
		for range size {
			r.switchEngine(func(time.Duration) {
				open--
				if open == 0 {
					r.startWave(remaining-size, fails)
				}
			})
		}
	})
}
