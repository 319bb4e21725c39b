// Package simulator sends calls through the production router, queuer and
// limiter to simulated engines, over a network that only adds latency.
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

// Failures, links, membership and configuration are not simulated. Failures are
// tested in the packages that handle them.

// Options select the deployment and the policies to simulate.
type Options struct {
	Deployment Deployment
	Policy     router.Policy
	Order      queuer.Policy
	// QueueLimit is the largest number of queued attempts per worker.
	QueueLimit int
	// Hedge lets an entry send a second attempt of a slow call.
	Hedge bool
	Seed  uint64
}

// Cluster is the entries and workers of one service.
type Cluster struct {
	Scheduler *scheduler.Scheduler
	Random    *rand.Rand
	Workers   []*Worker
	Entries   []*Entry
	options   Options
	// Retries and Hedges count the attempts after the first attempt of each
	// call.
	Retries int
	Hedges  int
}

// New returns an idle cluster with one entry per availability zone.
func New(options Options) *Cluster {
	c := &Cluster{Scheduler: scheduler.New(), Random: router.NewRandom(options.Seed), options: options}
	zones := options.Deployment.Zones
	for n := range options.Deployment.Workers {
		c.Workers = append(c.Workers, c.newWorker(n, zones[n%len(zones)]))
	}
	for n, z := range zones {
		c.Entries = append(c.Entries, c.newEntry(z, options.Seed*uint64(len(zones))+uint64(n)))
	}
	c.Scheduler.Every(reportInterval, c.reportLoads)
	return c
}

// reportLoads samples the load of every worker; the entries see it after
// reportLag.
func (c *Cluster) reportLoads() {
	for _, w := range c.Workers {
		load := w.currentLoad()
		c.Scheduler.After(reportLag, func() { w.reportedLoad, w.reportedAt = load, c.Scheduler.Now() })
	}
}

// meanNetworkJitter is the mean queueing delay in the network, as a fraction of
// the latency.
const meanNetworkJitter = 0.2

// latency returns the one-way latency of one message between two availability
// zones. It is drawn per message, so messages may be reordered.
func (c *Cluster) latency(a, b identifier.ZoneName) time.Duration {
	d := float64(c.options.Deployment.ZoneLatency)
	if a == b {
		d /= 3
	}
	return time.Duration(d * (1 + meanNetworkJitter*c.Random.ExpFloat64()))
}

// RandomEntry returns an entry drawn uniformly, like a load balancer that
// spreads calls evenly.
func (c *Cluster) RandomEntry() *Entry { return c.Entries[c.Random.IntN(len(c.Entries))] }

func (c *Cluster) newWorker(n int, zone identifier.ZoneName) *Worker {
	return &Worker{
		cluster: c, Name: identifier.TargetName(fmt.Sprintf("worker-%02d", n)), Zone: zone,
		Engine:   engine.New(c.Scheduler, c.Random, c.options.Deployment.Engine),
		queue:    queuer.New(c.Scheduler.Clock(), c.options.Order, c.options.Deployment.Engine.Slots, c.options.QueueLimit),
		attempts: make(map[attemptKey]*queuedAttempt),
	}
}
