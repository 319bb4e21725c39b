package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// The time at which a sidecar switches weights depends on its rank among the
// targets of its service, so every target that joins or leaves changes the
// configuration of the others. When an entry starts, all targets link within a
// second. Updates are therefore delayed for a moment, and the ranks are
// computed once per service.

// serviceTargets holds values derived from all targets of a service.
type serviceTargets struct {
	// targets are sorted by name; the index of a target is its rank.
	targets []identifier.TargetName
	// maxSwitchTime is the longest weight switch that any of the targets
	// reports.
	maxSwitchTime time.Duration
}

// reconfigureDelay is how long changes to the targets of a service are
// collected before the sidecars are reconfigured.
const reconfigureDelay = 100 * time.Millisecond

// Configure sends every sidecar its part of the accepted document. Most changes
// leave a sidecar's part unchanged; then the revision in the next heartbeat
// confirms it and no Configuration is sent.
func (d *Dispatcher) Configure(ctx context.Context) { d.configureService(ctx, "") }

// configureService configures the sidecars of one service, or all sidecars if
// service is empty.
func (d *Dispatcher) configureService(ctx context.Context, service identifier.ServiceName) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range d.linkedPeers(service) {
		tasks.Go(func() { d.configure(ctx, p) })
	}
}

func (d *Dispatcher) configure(ctx context.Context, p *peer) {
	d.mutex.Lock()
	m, ok := d.configurationOf(p)
	d.quarantine.SetCrashRetention(m.CrashQuarantine)
	withSentRevision := m
	withSentRevision.Revision = p.sentConfiguration.Revision
	if !ok || withSentRevision == p.sentConfiguration {
		p.sentConfiguration.Revision = max(p.sentConfiguration.Revision, m.Revision)
		d.mutex.Unlock()
		return
	}
	l := p.link
	d.mutex.Unlock()
	if l == nil || d.heartbeats.SendWithDeadline(ctx, l, m) != nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p.link == l && m.Revision >= p.sentConfiguration.Revision {
		p.sentConfiguration = m
	}
}

// scheduleReconfigure invalidates the target list of a service after a target
// has joined, left or reported another switch time, and reconfigures the
// service's sidecars after reconfigureDelay. The caller holds the mutex.
func (d *Dispatcher) scheduleReconfigure(service identifier.ServiceName) {
	delete(d.targetsByService, service)
	if d.reconfigurePending[service] {
		return
	}
	d.reconfigurePending[service] = true
	d.clock.AfterFunc(reconfigureDelay, func() {
		d.mutex.Lock()
		delete(d.reconfigurePending, service)
		d.mutex.Unlock()
		d.configureService(context.Background(), service)
	})
}

// configurationOf returns the configuration for a peer, false while none is
// accepted. The caller holds the mutex.
func (d *Dispatcher) configurationOf(p *peer) (messenger.Configuration, bool) {
	targets := d.targetsOf(p.service)
	rank, _ := slices.BinarySearch(targets.targets, p.target)
	m, ok := d.configurations.For(p.service, rank, len(targets.targets))
	m.SwitchTime = targets.maxSwitchTime
	return m, ok
}

// targetsOf returns the targets of the service. The caller holds the mutex.
func (d *Dispatcher) targetsOf(service identifier.ServiceName) serviceTargets {
	targets, ok := d.targetsByService[service]
	if ok {
		return targets
	}
	for _, p := range d.peers {
		if p.service == service {
			targets.targets = append(targets.targets, p.target)
			targets.maxSwitchTime = max(targets.maxSwitchTime, p.load.SwitchTime)
		}
	}
	slices.Sort(targets.targets)
	d.targetsByService[service] = targets
	return targets
}
