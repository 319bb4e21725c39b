// Package driver drives the real router, queuer and limiter with calls, over
// small fake engines and a network that only has latencies.
package driver

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/measurer/engine"
	"github.com/lycheeladder/lycheeladder/measurer/timer"
)

// It is no simulator of clusters: nothing fails here, and links, membership
// and configuration aren't there. Failures are tested where they are handled.

// Options choose what is measured.
type Options struct {
	Deployment Deployment
	Policy     router.Policy
	Order      queuer.Policy
	// QueueLimit bounds the waiting work of a worker.
	QueueLimit int
	// Hedge lets an entry send a call a second time.
	Hedge bool
	Seed  uint64
}

// System is the entries and workers of one service.
type System struct {
	Timer   *timer.Timer
	Random  *rand.Rand
	Workers []*Worker
	Entries []*Entry
	options Options
	// Retries and Hedges count the attempts after a call's first.
	Retries int
	Hedges  int
}

// New returns an idle system, with one entry per zone.
func New(options Options) *System {
	s := &System{Timer: timer.New(), Random: router.NewRandom(options.Seed), options: options}
	zones := options.Deployment.Zones
	for n := range options.Deployment.Workers {
		s.Workers = append(s.Workers, s.newWorker(n, zones[n%len(zones)]))
	}
	for n, z := range zones {
		s.Entries = append(s.Entries, s.newEntry(z, options.Seed*uint64(len(zones))+uint64(n)))
	}
	s.Timer.Every(reportInterval, s.report)
	return s
}

// report lets every worker report its load; the entries hear of it later.
func (s *System) report() {
	for _, w := range s.Workers {
		load := w.load()
		s.Timer.After(reportLag, func() { w.reported, w.reportedAt = load, s.Timer.Now() })
	}
}

// networkJitter is the mean share that queues in the network add.
const networkJitter = 0.2

// latency is the one-way time between two zones, for one message. A message
// may overtake another.
func (s *System) latency(a, b identifier.ZoneName) time.Duration {
	d := float64(s.options.Deployment.BetweenZones)
	if a == b {
		d /= 3
	}
	return time.Duration(d * (1 + networkJitter*s.Random.ExpFloat64()))
}

// AnyEntry is what the platform's balancer does: it spreads calls evenly.
func (s *System) AnyEntry() *Entry { return s.Entries[s.Random.IntN(len(s.Entries))] }

func (s *System) newWorker(n int, zone identifier.ZoneName) *Worker {
	return &Worker{
		system: s, Name: identifier.TargetName(fmt.Sprintf("worker-%02d", n)), Zone: zone,
		Engine: engine.New(s.Timer, s.Random, s.options.Deployment.Engine),
		queue:  queuer.New(s.Timer.Clock(), s.options.Order, s.options.Deployment.Engine.Slots, s.options.QueueLimit),
		jobs:   make(map[jobKey]*job),
	}
}
