package faker

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/joiner"
)

// Group is the platform's group over some partitions. It deals them out evenly
// and moves as few as it can; one that a member gives up is free when that member
// has joined again.
type Group struct {
	clock      clockwork.Clock
	partitions int

	mutex      sync.Mutex
	generation joiner.Generation
	members    map[joiner.Member]time.Time
	// planned says who is to have each partition, and held who has it.
	planned, held map[identifier.PartitionNumber]joiner.Member
	down          bool
}

// NewGroup returns a Group without members.
func NewGroup(clock clockwork.Clock, partitions int) *Group {
	return &Group{
		clock: clock, partitions: partitions, members: make(map[joiner.Member]time.Time),
		planned: make(map[identifier.PartitionNumber]joiner.Member), held: make(map[identifier.PartitionNumber]joiner.Member),
	}
}

// SetDown begins or ends an outage.
func (g *Group) SetDown(down bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.down = down
}

// Rebalance deals all partitions anew at once, to other members where there are
// any, without waiting for those that have them.
func (g *Group) Rebalance() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.generation++
	clear(g.held)
	ids := g.living()
	for n := range g.planned {
		next := (slices.Index(ids, g.planned[n]) + 1) % len(ids)
		g.planned[n] = ids[next]
	}
}

// Member returns the group as one member sees it.
func (g *Group) Member(id joiner.Member) joiner.Group { return member{g, id} }

// Members returns the living members in order.
func (g *Group) Members() []joiner.Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.living()
}

// living drops members whose time is over. The caller holds the mutex.
func (g *Group) living() (list []joiner.Member) {
	for id, until := range g.members {
		if until.Before(g.clock.Now()) {
			g.remove(id)
			continue
		}
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (g *Group) remove(id joiner.Member) {
	delete(g.members, id)
	for n, holder := range g.held {
		if holder == id {
			delete(g.held, n)
		}
	}
	g.generation++
	g.plan()
}

// plan shares the partitions out anew. The caller holds the mutex.
func (g *Group) plan() {
	counts := make(map[joiner.Member]int, len(g.members))
	most := 0
	if len(g.members) > 0 {
		most = (g.partitions + len(g.members) - 1) / len(g.members)
	}
	var free []identifier.PartitionNumber
	for n := range identifier.PartitionNumber(g.partitions) {
		id := g.planned[n]
		if _, lives := g.members[id]; !lives || counts[id] == most {
			delete(g.planned, n)
			free = append(free, n)
			continue
		}
		counts[id]++
	}
	ids := slices.Sorted(maps.Keys(g.members))
	for _, n := range free {
		if len(ids) == 0 {
			return
		}
		g.planned[n] = slices.MinFunc(ids, func(a, b joiner.Member) int { return cmp.Compare(counts[a], counts[b]) })
		counts[g.planned[n]]++
	}
}

type member struct {
	group *Group
	id    joiner.Member
}

// Join implements joiner.Group.
func (m member) Join(_ context.Context, ttl time.Duration, _ joiner.Generation) (joiner.Membership, error) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.down {
		return joiner.Membership{}, appender.ErrUnavailable
	}
	g.living()
	_, known := g.members[m.id]
	g.members[m.id] = g.clock.Now().Add(ttl)
	if !known {
		g.generation++
		g.plan()
	}
	joined := joiner.Membership{Generation: g.generation}
	for n := range identifier.PartitionNumber(g.partitions) {
		holder, taken := g.held[n]
		switch {
		case g.planned[n] == m.id && (!taken || holder == m.id):
			g.held[n] = m.id
			joined.Partitions = append(joined.Partitions, n)
		case holder == m.id:
			delete(g.held, n)
		}
	}
	return joined, nil
}

// Leave implements joiner.Group.
func (m member) Leave(context.Context) error {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.down {
		return appender.ErrUnavailable
	}
	g.remove(m.id)
	return nil
}

// Owners implements joiner.Group.
func (m member) Owners(context.Context) (map[identifier.PartitionNumber]joiner.Member, error) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.down {
		return nil, appender.ErrUnavailable
	}
	g.living()
	return maps.Clone(g.held), nil
}
