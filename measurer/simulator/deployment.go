package simulator

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/measurer/engine"
)

// Deployment is the size and the network of one user's installation.
type Deployment struct {
	Name    string
	Zones   []identifier.ZoneName
	Workers int
	// ZoneLatency and ClientLatency are one-way latencies between availability
	// zones and between a client and its entry.
	ZoneLatency   time.Duration
	ClientLatency time.Duration
	Engine        engine.Options
}

// reportInterval is the interval between two load reports, and reportLag the
// age of a report when it arrives.
const (
	reportInterval = time.Second
	reportLag      = 500 * time.Millisecond
)

func engineOptions() engine.Options {
	return engine.Options{TickTime: 5 * time.Millisecond, FullBatchSlowdown: 0.5, Slots: 8, PrefillTicks: 4, PrefixCacheSize: 32, Jitter: 0.3}
}

// Deployments returns the current deployments of both users: Prakai's
// advice-models and Pindan's clause-model.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "bkk", Zones: []identifier.ZoneName{"bkk-a", "bkk-b", "bkk-c"}, Workers: 10,
			ZoneLatency: 1500 * time.Microsecond, ClientLatency: time.Millisecond, Engine: engineOptions(),
		},
		{
			Name: "pilbara", Zones: []identifier.ZoneName{"pilbara-a", "pilbara-b", "pilbara-c"}, Workers: 8,
			ZoneLatency: 500 * time.Microsecond, ClientLatency: 3 * time.Millisecond, Engine: engineOptions(),
		},
	}
}

// Capacity returns the calls per second that full batches complete if no prompt
// is cached.
func (d Deployment) Capacity(meanTokens float64) float64 {
	tick := d.Engine.TickTime.Seconds() * (1 + d.Engine.FullBatchSlowdown)
	return float64(d.Workers*d.Engine.Slots) / (tick * (meanTokens + float64(d.Engine.PrefillTicks)))
}
