package verb

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/measurer/scheduler"
	"github.com/lycheeladder/lycheeladder/measurer/simulator"
	"github.com/lycheeladder/lycheeladder/measurer/summarizer"
)

// switching measures how many targets are unavailable while engines switch to
// new weights, and how long the switch of all engines takes.
type switching struct{}

const (
	awayPercent        = 25
	roundCount         = 50
	switchBound        = 7 * time.Second
	typicalSwitch      = 400 * time.Millisecond
	switchSpread       = 0.2
	slowSwitchRate     = 0.02
	slowSwitchFactor   = 2
	loadDuration       = 800 * time.Millisecond
	maxParallelLoads   = 4
	meanLinkDelay      = 5 * time.Millisecond
	announceLossRate   = 0.1
	heartbeatInterval  = time.Second
	appendDuration     = 20 * time.Millisecond
	holderFailureRate  = 0.05
	leaseDuration      = 5 * time.Second
	convergerVariant   = ladderVariant
	leaseHolderVariant = "strict waves by a lease holder"
	allAtOnceVariant   = "all at once"
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
			overTime := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "time over the share", Unit: "ms a round"}
			p50 := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "p50 until all switched", Unit: "s"}
			longest := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "most until all switched", Unit: "s"}
			for _, o := range runSeeds(seeds, func(seed uint64) switchStats { return m.run(d, v, seed) }) {
				away.Values = append(away.Values, 100*float64(o.mostAway)/float64(d.Workers))
				overTime.Values = append(overTime.Values, milliseconds(o.overTime)/roundCount)
				p50.Values = append(p50.Values, summarizer.Quantile(o.durations, 0.5))
				longest.Values = append(longest.Values, summarizer.Quantile(o.durations, 1))
			}
			r.Series = append(r.Series, away, overTime, p50, longest)
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

// switchStats holds the results of all rounds of one seed.
type switchStats struct {
	away, mostAway int
	// overTime is the time during which more than the allowed number of targets
	// were away.
	overTime   time.Duration
	lastChange time.Time
	// durations has the duration of each round in seconds.
	durations []float64
}

// round is one switch of all engines to new weights.
type round struct {
	scheduler *scheduler.Scheduler
	random    *rand.Rand
	maxAway   int
	remaining int
	startedAt time.Time
	result    *switchStats
	// longestSwitch is the switch time that each target has learnt from its own
	// switches.
	longestSwitch []time.Duration
	// activeLoads is the number of loads in progress at the weight store.
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

// longestKnownSwitch returns the longest switch time that the targets have
// reported to the entries.
func (r *round) longestKnownSwitch() (longest time.Duration) {
	for _, d := range r.longestSwitch {
		longest = max(longest, d)
	}
	return longest
}

// announceToAll delivers the new goal to every target after the delay of its
// link, or with the next heartbeat if the announcement is lost.
func (r *round) announceToAll(learn func(n int)) {
	for n := range r.remaining {
		delay := time.Duration(r.random.ExpFloat64() * float64(meanLinkDelay))
		if r.random.Float64() < announceLossRate {
			delay = time.Duration(r.random.Float64() * float64(heartbeatInterval))
		}
		r.scheduler.After(delay, func() { learn(n) })
	}
}

// load loads the weights once fewer than maxParallelLoads loads are in
// progress, then calls done.
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

// switchEngine switches one engine, then calls done, if not nil, with the time
// it took.
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

// switchByConverger loads and switches target n at the times that the converger
// of its sidecar chooses.
func (r *round) switchByConverger(m messenger.Configuration, n int) {
	m.Rank = n
	// The estimated age of a goal is off by the delay of one message.
	since := r.startedAt.Add(time.Duration(r.random.ExpFloat64() * float64(meanLinkDelay)))
	var trySwitch func()
	trySwitch = func() {
		if d := converger.SwitchDelay(m, since, r.scheduler.Now()); d > 0 {
			r.scheduler.After(d, trySwitch)
			return
		}
		r.switchEngine(func(took time.Duration) { r.longestSwitch[n] = converger.UpdateSwitchTime(r.longestSwitch[n], took) })
	}
	r.scheduler.After(converger.LoadDelay(m, since, r.scheduler.Now()), func() { r.load(trySwitch) })
}

// switchByLeaseHolder switches the engines in waves once all have loaded; each
// wave starts after the previous one has ended.
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
		unfinished := size
		for range size {
			r.switchEngine(func(time.Duration) {
				unfinished--
				if unfinished == 0 {
					r.startWave(remaining-size, fails)
				}
			})
		}
	})
}
