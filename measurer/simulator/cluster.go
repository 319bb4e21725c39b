// Package simulator drives the real router, queuer and limiter with calls, over
// small fake engines and a network that only has latencies.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/measurer/engine"
	"github.com/lycheeladder/lycheeladder/measurer/scheduler"
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

// Cluster is the entries and workers of one service.
type Cluster struct {
	Scheduler   *scheduler.Scheduler
	Random  *rand.Rand
	Workers []*Worker
	Entries []*Entry
	options Options
	// Retries and Hedges count the attempts after a call's first.
	Retries int
	Hedges  int
}

// New returns an idle system, with one entry per zone.
func New(options Options) *Cluster {
	s := &Cluster{Scheduler: scheduler.New(), Random: router.NewRandom(options.Seed), options: options}
	zones := options.Deployment.Zones
	for n := range options.Deployment.Workers {
		s.Workers = append(s.Workers, s.newWorker(n, zones[n%len(zones)]))
	}
	for n, z := range zones {
		s.Entries = append(s.Entries, s.newEntry(z, options.Seed*uint64(len(zones))+uint64(n)))
	}
	s.Scheduler.Every(reportInterval, s.reportLoads)
	return s
}

// reportLoads lets every worker reportLoads its load; the entries hear of it later.
func (s *Cluster) reportLoads() {
	for _, w := range s.Workers {
		load := w.currentLoad()
		s.Scheduler.After(reportLag, func() { w.reportedLoad, w.reportedAt = load, s.Scheduler.Now() })
	}
}

// meanNetworkJitter is the mean share that queues in the network add.
const meanNetworkJitter = 0.2

// latency is the one-way time between two zones, for one message. A message
// may overtake another.
func (s *Cluster) latency(a, b identifier.ZoneName) time.Duration {
	d := float64(s.options.Deployment.ZoneLatency)
	if a == b {
		d /= 3
	}
	return time.Duration(d * (1 + meanNetworkJitter*s.Random.ExpFloat64()))
}

// RandomEntry is what the platform's balancer does: it spreads calls evenly.
func (s *Cluster) RandomEntry() *Entry { return s.Entries[s.Random.IntN(len(s.Entries))] }

func (s *Cluster) newWorker(n int, zone identifier.ZoneName) *Worker {
	return &Worker{
		cluster: s, Name: identifier.TargetName(fmt.Sprintf("worker-%02d", n)), Zone: zone,
		Engine: engine.New(s.Scheduler, s.Random, s.options.Deployment.Engine),
		queue:  queuer.New(s.Scheduler.Clock(), s.options.Order, s.options.Deployment.Engine.Slots, s.options.QueueLimit),
		attempts:   make(map[attemptKey]*queuedAttempt),
	}
}
