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
	switchRounds   = 50
	switchBound    = 7 * time.Second
	usualSwitch    = 400 * time.Millisecond
	switchSpread   = 0.2
	slowSwitches   = 0.02
	slowSwitch     = 2
	loadTime       = 800 * time.Millisecond
	storeAtOnce    = 4
	linkDelay      = 5 * time.Millisecond
	lostAnnounce   = 0.1
	heartbeat      = time.Second
	appendTime     = 20 * time.Millisecond
	holderFails    = 0.05
	leaseTime      = 5 * time.Second
	leaderless     = ours
	leaseHolder    = "strict waves by a lease holder"
	everyoneAtOnce = "all at once"
)

func (m switching) report(seeds []uint64) summarizer.Report {
	r := summarizer.Report{
		Name: "switching", Title: "Capacity away during a weight switch",
		Setup: fmt.Sprintf("%d rounds of new weights. %d engines at a time load from the store in %s; a switch takes %s, give or take a fifth, and 1 in 50 twice that. 1 announcement in 10 is lost and learnt by the next heartbeat. The lease holder appends each wave to the log, waits for all of it, and in 1 round of 20 dies; its lease lasts %s. The share configured is %d%%.",
			switchRounds, storeAtOnce, loadTime, usualSwitch, leaseTime, awayPercent),
	}
	for _, d := range simulator.Deployments() {
		for _, v := range []string{everyoneAtOnce, leaseHolder, leaderless} {
			away := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "most away", Unit: "% of targets"}
			over := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "time over the share", Unit: "ms a round"}
			p50 := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "p50 until all switched", Unit: "s"}
			most := summarizer.Series{Deployment: d.Name, Variant: v, Metric: "most until all switched", Unit: "s"}
			for _, o := range overSeeds(seeds, func(seed uint64) switched { return m.run(d, v, seed) }) {
				away.Values = append(away.Values, 100*float64(o.mostAway)/float64(d.Workers))
				over.Values = append(over.Values, milliseconds(o.over)/switchRounds)
				p50.Values = append(p50.Values, summarizer.Quantile(o.took, 0.5))
				most.Values = append(most.Values, summarizer.Quantile(o.took, 1))
			}
			r.Series = append(r.Series, away, over, p50, most)
		}
		r.Goals = append(r.Goals, summarizer.Goal{
			Deployment: d.Name, Description: "most of the service away, in % (worst of all seeds and rounds)", Bound: awayPercent,
			Value: summarizer.Quantile(r.MustFind(d.Name, leaderless, "most away").Values, 1),
		}, summarizer.Goal{
			Deployment: d.Name, Description: "until all switched, in s (worst of all seeds and rounds)", Bound: switchBound.Seconds(),
			Value: summarizer.Quantile(r.MustFind(d.Name, leaderless, "most until all switched").Values, 1),
		})
	}
	return r
}

// switched is what the rounds of one seed gave.
type switched struct {
	away, mostAway int
	// over is the time in which more than the share was away.
	over    time.Duration
	changed time.Time
	// took is in seconds, one per round.
	took []float64
}

// round is one round of new weights.
type round struct {
	timer  *scheduler.Scheduler
	random *rand.Rand
	share  int
	left   int
	began  time.Time
	result *switched
	// longest is what each target has learnt of its switches.
	longest []time.Duration
	// loading counts the loads at the store.
	loading int
}

func (switching) run(d simulator.Deployment, variant string, seed uint64) switched {
	t := scheduler.New()
	o := switched{changed: t.Now()}
	r := &round{
		timer: t, random: router.NewRandom(seed), result: &o,
		share: max(1, d.Workers*awayPercent/100), longest: make([]time.Duration, d.Workers),
	}
	for range switchRounds {
		r.began, r.left = t.Now(), d.Workers
		switch variant {
		case everyoneAtOnce:
			r.each(func(int) { r.load(func() { r.away(nil) }) })
		case leaseHolder:
			r.holder(d.Workers)
		case leaderless:
			m := messenger.Configuration{AwayPercent: awayPercent, Peers: d.Workers, SwitchTime: r.known()}
			r.each(func(n int) { r.own(m, n) })
		}
		t.Run(2 * time.Minute)
	}
	return o
}

// known is the longest switch that the entries have heard of.
func (r *round) known() (longest time.Duration) {
	for _, d := range r.longest {
		longest = max(longest, d)
	}
	return longest
}

// each lets every target learn the goal over its links.
func (r *round) each(learn func(n int)) {
	for n := range r.left {
		delay := time.Duration(r.random.ExpFloat64() * float64(linkDelay))
		if r.random.Float64() < lostAnnounce {
			delay = time.Duration(r.random.Float64() * float64(heartbeat))
		}
		r.timer.After(delay, func() { learn(n) })
	}
}

// load waits for a place at the weight store, then loads.
func (r *round) load(done func()) {
	if r.loading >= storeAtOnce {
		r.timer.After(loadTime/8, func() { r.load(done) })
		return
	}
	r.loading++
	r.timer.After(loadTime, func() {
		r.loading--
		done()
	})
}

// away switches one engine, then calls done, if set, with the time it took.
func (r *round) away(done func(time.Duration)) {
	d := float64(usualSwitch) * (1 + switchSpread*(2*r.random.Float64()-1))
	if r.random.Float64() < slowSwitches {
		d *= slowSwitch
	}
	r.count(1)
	r.timer.After(time.Duration(d), func() {
		r.count(-1)
		r.left--
		if r.left == 0 {
			r.result.took = append(r.result.took, r.timer.Now().Sub(r.began).Seconds())
		}
		if done != nil {
			done(time.Duration(d))
		}
	})
}

func (r *round) count(change int) {
	o := r.result
	if o.away > r.share {
		o.over += r.timer.Now().Sub(o.changed)
	}
	o.changed = r.timer.Now()
	o.away += change
	o.mostAway = max(o.mostAway, o.away)
}

// own is one sidecar: the converger's rule.
func (r *round) own(m messenger.Configuration, n int) {
	m.Rank = n
	// The age of a goal is off by the time of one message.
	since := r.began.Add(time.Duration(r.random.ExpFloat64() * float64(linkDelay)))
	var turn func()
	turn = func() {
		if d := converger.SwitchDelay(m, since, r.timer.Now()); d > 0 {
			r.timer.After(d, turn)
			return
		}
		r.away(func(took time.Duration) { r.longest[n] = converger.UpdateSwitchTime(r.longest[n], took) })
	}
	r.timer.After(converger.LoadDelay(m, since, r.timer.Now()), func() { r.load(turn) })
}

// holder orders waves once all have loaded, each after the last has ended.
func (r *round) holder(workers int) {
	loaded := 0
	r.each(func(int) {
		r.load(func() {
			loaded++
			if loaded == workers {
				r.wave(workers, r.random.Float64() < holderFails)
			}
		})
	})
}

func (r *round) wave(remaining int, fails bool) {
	if remaining == 0 {
		return
	}
	delay := appendTime + 2*linkDelay
	if fails && r.random.IntN(2) == 0 {
		fails = false
		delay += leaseTime
	}
	r.timer.After(delay, func() {
		size := min(r.share, remaining)
		open := size
		for range size {
			r.away(func(time.Duration) {
				open--
				if open == 0 {
					r.wave(remaining-size, fails)
				}
			})
		}
	})
}
