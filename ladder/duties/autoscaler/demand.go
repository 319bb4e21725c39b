package autoscaler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/scheduler"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// The store lists only some of the hosts of a large fleet, so that the holder can't ask the
// others. These tell their demand to one of the listed hosts while they have any.

const (
	// surveyInterval is the interval at which demand is told and asked for. Targets take
	// seconds to boot.
	surveyInterval = time.Second
	// keptFor is how long the demand of another host counts: two lost messages, and the time
	// until it is asked for.
	keptFor = 3*surveyInterval + peerTimeout
	// peerTimeout bounds the wait for one host.
	peerTimeout = 500 * time.Millisecond
	// maxKept bounds the hosts whose demand is kept.
	maxKept = 1_000
)

// Items knows the items of batch jobs; *scheduler.Scheduler implements it.
type Items interface {
	WaitingItems() map[identifier.ServiceName]scheduler.WaitingItems
	InFlight(t identifier.TargetName) int
}

// Calls knows the live calls; *forwarder.Forwarder implements it.
type Calls interface {
	InFlight(t identifier.TargetName) int
}

// DemandOptions are the settings of a Demand.
type DemandOptions struct {
	Incarnation identifier.Incarnation
	// Self is this host's address as a peer.
	Self string
	// Members returns the addresses of the hosts that the store lists.
	Members func() []string
	Peers   querier.Peers
}

// Demand knows the demand of places of this host and of those that have told it theirs.
type Demand struct {
	clock   clockwork.Clock
	catalog *cataloger.Cataloger
	items   Items
	calls   Calls
	options DemandOptions

	mutex sync.Mutex
	kept  map[identifier.Incarnation]keptDemand
}

type keptDemand struct {
	demand messenger.HostDemand
	at     time.Time
}

// NewDemand returns a Demand that knows of no other host.
func NewDemand(clock clockwork.Clock, c *cataloger.Cataloger, i Items, calls Calls, o DemandOptions) *Demand {
	return &Demand{clock: clock, catalog: c, items: i, calls: calls, options: o, kept: make(map[identifier.Incarnation]keptDemand)}
}

// scaledServices returns the services whose number of targets may change, in order.
func scaledServices(c *cataloger.Configuration) (list []cataloger.Service) {
	if c == nil {
		return nil
	}
	for _, s := range c.Services {
		if s.Scaling != nil {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b cataloger.Service) int { return compareNames(a.Name, b.Name) })
	return list
}

// own returns this host's demand.
func (d *Demand) own() messenger.HostDemand {
	demand := messenger.HostDemand{Incarnation: d.options.Incarnation, Own: true}
	services := scaledServices(d.catalog.Configuration())
	if len(services) == 0 {
		return demand
	}
	waiting := d.items.WaitingItems()
	for _, s := range services {
		w := waiting[s.Name]
		service := messenger.ServiceDemand{Service: s.Name, Waiting: w.Count, LongestWait: w.Longest, WaitingWork: w.Work}
		uses := make(map[identifier.ZoneName]messenger.ZoneUse)
		for _, t := range slices.Concat(d.catalog.ReadyTargets(s.Name), d.catalog.LeavingTargets(s.Name)) {
			u := uses[t.Zone]
			u.Zone, u.Items, u.Calls = t.Zone, u.Items+d.items.InFlight(t.Name), u.Calls+d.calls.InFlight(t.Name)
			uses[t.Zone] = u
		}
		for _, u := range uses {
			if u.Items+u.Calls > 0 {
				service.Zones = append(service.Zones, u)
			}
		}
		if len(service.Zones) > 0 || service.Waiting > 0 {
			demand.Services = append(demand.Services, service)
		}
	}
	return demand
}

// Answer returns the demand of this host and of those that have told it theirs.
func (d *Demand) Answer() []messenger.HostDemand {
	list := []messenger.HostDemand{d.own()}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i, k := range d.kept {
		if d.clock.Since(k.at) > keptFor {
			delete(d.kept, i)
			continue
		}
		list = append(list, k.demand)
	}
	return list
}

// Keep keeps the demand of another host.
func (d *Demand) Keep(demand messenger.HostDemand) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, ok := d.kept[demand.Incarnation]; !ok && len(d.kept) >= maxKept {
		return false
	}
	demand.Own = false
	d.kept[demand.Incarnation] = keptDemand{demand, d.clock.Now()}
	return true
}

// Run tells this host's demand to a listed host while this host isn't listed, until ctx ends.
func (d *Demand) Run(ctx context.Context) {
	told := false
	for {
		members := d.options.Members()
		if own := d.own(); len(members) > 0 && !slices.Contains(members, d.options.Self) && (told || len(own.Services) > 0) {
			// An empty demand replaces the last one once.
			told = d.tell(ctx, members, own) && len(own.Services) > 0
		}
		select {
		case <-d.clock.After(surveyInterval):
		case <-ctx.Done():
			return
		}
	}
}

// tell tells this host's demand to a listed host that can be reached.
func (d *Demand) tell(ctx context.Context, members []string, own messenger.HostDemand) bool {
	keepers := subsetter.Rank(string(d.options.Incarnation), members)
	for _, address := range keepers[:min(2, len(keepers))] {
		if r, ok := querier.AskBriefly(ctx, d.clock, d.options.Peers, address, messenger.Question{PlacesCopy: &own}, peerTimeout); ok && r.Kept {
			return true
		}
	}
	return false
}

// survey returns the demand of all hosts, and whether most members have answered.
func (d *Demand) survey(ctx context.Context) (demands map[identifier.Incarnation]messenger.HostDemand, complete bool) {
	members := slices.DeleteFunc(slices.Clone(d.options.Members()), func(m string) bool { return m == d.options.Self })
	answers := make(chan []messenger.HostDemand, len(members))
	for _, address := range members {
		go func() {
			var r messenger.Reply
			_ = recoverer.CatchPanic("question about places", func() { // already logged
				r, _ = querier.AskBriefly(ctx, d.clock, d.options.Peers, address, messenger.Question{Places: true}, peerTimeout)
			})
			answers <- r.Places
		}()
	}
	demands = make(map[identifier.Incarnation]messenger.HostDemand)
	answered := 0
	add := func(list []messenger.HostDemand) {
		for _, h := range list {
			if _, known := demands[h.Incarnation]; !known || h.Own {
				demands[h.Incarnation] = h
			}
		}
	}
	add(d.Answer())
	for range members {
		list := <-answers
		if len(list) > 0 {
			answered++
		}
		add(list)
	}
	return demands, 2*(answered+1) > len(members)
}
