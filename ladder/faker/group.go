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

// Group is the platform's membership group. It assigns partitions evenly to its
// members and moves as few as possible. A partition that is taken from a member
// becomes free when that member has joined again.
type Group struct {
	clock      clockwork.Clock
	partitions int

	mutex      sync.Mutex
	generation joiner.Generation
	members    map[joiner.Member]time.Time
	// assigned has the member that each partition is assigned to, and held the
	// member that currently holds it.
	assigned, held map[identifier.PartitionNumber]joiner.Member
	down           bool
}

// NewGroup returns a Group without members.
func NewGroup(clock clockwork.Clock, partitions int) *Group {
	return &Group{
		clock: clock, partitions: partitions, members: make(map[joiner.Member]time.Time),
		assigned: make(map[identifier.PartitionNumber]joiner.Member), held: make(map[identifier.PartitionNumber]joiner.Member),
	}
}

// SetDown starts or ends an outage.
func (g *Group) SetDown(down bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.down = down
}

// Rebalance reassigns every partition at once, to another member if there is one,
// without waiting for the current holders to give them up.
func (g *Group) Rebalance() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.generation++
	clear(g.held)
	ids := g.liveMembers()
	for n := range g.assigned {
		next := (slices.Index(ids, g.assigned[n]) + 1) % len(ids)
		g.assigned[n] = ids[next]
	}
}

// Member returns the client of one member.
func (g *Group) Member(id joiner.Member) joiner.Group { return member{g, id} }

// Members returns the members whose membership has not expired, sorted.
func (g *Group) Members() []joiner.Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.liveMembers()
}

// liveMembers removes the expired members and returns the others, sorted. The
// caller holds the mutex.
func (g *Group) liveMembers() (list []joiner.Member) {
	for id, expires := range g.members {
		if expires.Before(g.clock.Now()) {
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
	g.assign()
}

// assign recomputes the assignment of partitions. The caller holds the mutex.
func (g *Group) assign() {
	counts := make(map[joiner.Member]int, len(g.members))
	limit := 0
	if len(g.members) > 0 {
		limit = (g.partitions + len(g.members) - 1) / len(g.members)
	}
	var free []identifier.PartitionNumber
	for n := range identifier.PartitionNumber(g.partitions) {
		id := g.assigned[n]
		if _, live := g.members[id]; !live || counts[id] == limit {
			delete(g.assigned, n)
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
		g.assigned[n] = slices.MinFunc(ids, func(a, b joiner.Member) int { return cmp.Compare(counts[a], counts[b]) })
		counts[g.assigned[n]]++
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
	g.liveMembers()
	_, known := g.members[m.id]
	g.members[m.id] = g.clock.Now().Add(ttl)
	if !known {
		g.generation++
		g.assign()
	}
	joined := joiner.Membership{Generation: g.generation}
	for n := range identifier.PartitionNumber(g.partitions) {
		holder, taken := g.held[n]
		switch {
		case g.assigned[n] == m.id && (!taken || holder == m.id):
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
	g.liveMembers()
	return maps.Clone(g.held), nil
}
