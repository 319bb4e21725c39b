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
	// surveyInterval is the interval at which demand is reported and queried. Targets take
	// seconds to boot.
	surveyInterval = time.Second
	// keptFor is how long the demand of another host counts: two lost messages, and the time
	// until it is asked for.
	keptFor = 3*surveyInterval + peerTimeout
	// peerTimeout bounds the wait for one host.
	peerTimeout = 500 * time.Millisecond
	// maxKept bounds the hosts whose demand is kept, and maxDemands the services and zones of
	// one of them.
	maxKept, maxDemands = 1_000, 100
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

// Demand knows the demand for places of this host and of those that have reported theirs.
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
	demands []messenger.PlaceDemand
	at      time.Time
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
func (d *Demand) own() (demands []messenger.PlaceDemand) {
	services := scaledServices(d.catalog.Configuration())
	if len(services) == 0 {
		return nil
	}
	waiting := d.items.WaitingItems()
	for _, s := range services {
		if w := waiting[s.Name]; w.Count > 0 {
			demands = append(demands, messenger.PlaceDemand{Service: s.Name, Waiting: w.Count, LongestWait: w.Longest, WaitingWork: w.Work})
		}
		uses := make(map[identifier.ZoneName]messenger.PlaceDemand)
		for _, t := range slices.Concat(d.catalog.ReadyTargets(s.Name), d.catalog.LeavingTargets(s.Name)) {
			u := uses[t.Zone]
			uses[t.Zone] = messenger.PlaceDemand{
				Service: s.Name, Zone: t.Zone, Items: u.Items + d.items.InFlight(t.Name), Calls: u.Calls + d.calls.InFlight(t.Name),
			}
		}
		for _, u := range uses {
			if u.Items+u.Calls > 0 {
				demands = append(demands, u)
			}
		}
	}
	return demands
}

// Answer returns the demand of this host and of those that have reported theirs.
func (d *Demand) Answer() *messenger.PlacesAnswer {
	answer := &messenger.PlacesAnswer{Hosts: []identifier.Incarnation{d.options.Incarnation}, Demands: d.own()}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i, k := range d.kept {
		if d.clock.Since(k.at) > keptFor {
			delete(d.kept, i)
			continue
		}
		for _, p := range k.demands {
			p.Host = len(answer.Hosts)
			answer.Demands = append(answer.Demands, p)
		}
		answer.Hosts = append(answer.Hosts, i)
	}
	return answer
}

// Keep keeps the demand of another host.
func (d *Demand) Keep(c messenger.PlacesCopy) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, ok := d.kept[c.Host]; !ok && len(d.kept) >= maxKept || len(c.Demands) > maxDemands {
		return false
	}
	d.kept[c.Host] = keptDemand{c.Demands, d.clock.Now()}
	return true
}

// Run tells this host's demand to a listed host while this host isn't listed, until ctx ends.
func (d *Demand) Run(ctx context.Context) {
	told := false
	for {
		members := d.options.Members()
		if own := d.own(); len(members) > 0 && !slices.Contains(members, d.options.Self) && (told || len(own) > 0) {
			// An empty demand replaces the last one once.
			told = d.tell(ctx, members, own) && len(own) > 0
		}
		select {
		case <-d.clock.After(surveyInterval):
		case <-ctx.Done():
			return
		}
	}
}

// tell tells this host's demand to a listed host that can be reached.
func (d *Demand) tell(ctx context.Context, members []string, own []messenger.PlaceDemand) bool {
	c := messenger.PlacesCopy{Host: d.options.Incarnation, Demands: own}
	keepers := subsetter.Rank(string(d.options.Incarnation), members)
	for _, address := range keepers[:min(2, len(keepers))] {
		if r, ok := querier.AskBriefly(ctx, d.clock, d.options.Peers, address, messenger.Question{PlacesCopy: &c}, peerTimeout); ok && r.Kept {
			return true
		}
	}
	return false
}

// survey returns the demand of all hosts, and whether most members have answered.
func (d *Demand) survey(ctx context.Context) (demands map[identifier.Incarnation][]messenger.PlaceDemand, complete bool) {
	members := slices.DeleteFunc(slices.Clone(d.options.Members()), func(m string) bool { return m == d.options.Self })
	answers := make(chan *messenger.PlacesAnswer, len(members))
	for _, address := range members {
		go func() {
			var r messenger.Reply
			_ = recoverer.CatchPanic("question about places", func() { // already logged
				r, _ = querier.AskBriefly(ctx, d.clock, d.options.Peers, address, messenger.Question{Places: true}, peerTimeout)
			})
			answers <- r.Places
		}()
	}
	list := []*messenger.PlacesAnswer{d.Answer()}
	for range members {
		if a := <-answers; a != nil {
			list = append(list, a)
		}
	}
	return joinDemands(list), 2*len(list) > len(members)
}

// joinDemands returns the demand of each host once: by its own answer, if there is one.
func joinDemands(answers []*messenger.PlacesAnswer) map[identifier.Incarnation][]messenger.PlaceDemand {
	demands := make(map[identifier.Incarnation][]messenger.PlaceDemand)
	for _, a := range answers {
		byHost := make([][]messenger.PlaceDemand, len(a.Hosts))
		for _, p := range a.Demands {
			if p.Host >= 0 && p.Host < len(byHost) {
				byHost[p.Host] = append(byHost[p.Host], p)
			}
		}
		for n, i := range a.Hosts {
			if _, known := demands[i]; !known || n == 0 {
				demands[i] = byHost[n]
			}
		}
	}
	return demands
}
