package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A sidecar's turn to switch weights follows from its rank in its service, so
// each target that comes or goes changes what the others are told. When an entry
// starts, all of them come within a second; so what is told waits for a moment,
// and a service's ranks are worked out once for all its targets.

// roster is what follows from all of a service's targets.
type roster struct {
	// targets are in the order of their names: a target's place is its rank.
	targets []identifier.TargetName
	// longest is the longest switch of weights that any of them reports.
	longest time.Duration
}

// tellDelay is how long news of a service's targets gathers.
const tellDelay = 100 * time.Millisecond

// Configure sends every sidecar its part of the accepted document. Most changes
// leave a sidecar's part as it was: then the next heartbeat's revision says so,
// and nothing else is sent.
func (d *Dispatcher) Configure(ctx context.Context) { d.configureService(ctx, "") }

// configureService does so for one service, or for all.
func (d *Dispatcher) configureService(ctx context.Context, service identifier.ServiceName) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range d.linked(service) {
		tasks.Go(func() { d.configure(ctx, p) })
	}
}

func (d *Dispatcher) configure(ctx context.Context, p *peer) {
	d.mutex.Lock()
	m, ok := d.configurationOf(p)
	d.quarantine.SetCrashRetention(m.CrashQuarantine)
	unchanged := m
	unchanged.Revision = p.configured.Revision
	if !ok || unchanged == p.configured {
		p.configured.Revision = max(p.configured.Revision, m.Revision)
		d.mutex.Unlock()
		return
	}
	l := p.link
	d.mutex.Unlock()
	if l == nil || d.beats.SendWithDeadline(ctx, l, m) != nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p.link == l && m.Revision >= p.configured.Revision {
		p.configured = m
	}
}

// changed notes that a target of the service has come or gone, or reports
// another time of a switch; the others are told in a moment. The caller holds
// the mutex.
func (d *Dispatcher) changed(service identifier.ServiceName) {
	delete(d.rosters, service)
	if d.due[service] {
		return
	}
	d.due[service] = true
	d.clock.AfterFunc(tellDelay, func() {
		d.mutex.Lock()
		delete(d.due, service)
		d.mutex.Unlock()
		d.configureService(context.Background(), service)
	})
}

// configurationOf returns a peer's part. The caller holds the mutex.
func (d *Dispatcher) configurationOf(p *peer) (messenger.Configuration, bool) {
	r := d.rosterOf(p.service)
	rank, _ := slices.BinarySearch(r.targets, p.target)
	m, ok := d.configurations.For(p.service, rank, len(r.targets))
	m.SwitchTime = r.longest
	return m, ok
}

// rosterOf returns the service's roster. The caller holds the mutex.
func (d *Dispatcher) rosterOf(service identifier.ServiceName) roster {
	r, ok := d.rosters[service]
	if ok {
		return r
	}
	for _, p := range d.peers {
		if p.service == service {
			r.targets = append(r.targets, p.target)
			r.longest = max(r.longest, p.load.SwitchTime)
		}
	}
	slices.Sort(r.targets)
	d.rosters[service] = r
	return r
}
