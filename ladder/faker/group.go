package faker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/grouper"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Group is the platform's group over some partitions.
type Group struct {
	clock      clockwork.Clock
	partitions int

	mutex      sync.Mutex
	generation grouper.Generation
	members    map[grouper.Member]time.Time
	down       bool
}

// NewGroup returns a Group without members.
func NewGroup(clock clockwork.Clock, partitions int) *Group {
	return &Group{clock: clock, partitions: partitions, members: make(map[grouper.Member]time.Time)}
}

// SetDown begins or ends an outage.
func (g *Group) SetDown(down bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.down = down
}

// Member returns the group as one member sees it.
func (g *Group) Member(id grouper.Member) grouper.Group { return member{g, id} }

// Members returns the living members in order.
func (g *Group) Members() []grouper.Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.living()
}

func (g *Group) living() (list []grouper.Member) {
	for id, until := range g.members {
		if until.Before(g.clock.Now()) {
			delete(g.members, id)
			g.generation++
			continue
		}
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

type member struct {
	group *Group
	id    grouper.Member
}

// Join implements grouper.Group.
func (m member) Join(_ context.Context, ttl time.Duration, _ grouper.Generation) (grouper.Membership, error) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.down {
		return grouper.Membership{}, appender.ErrUnavailable
	}
	if _, known := g.members[m.id]; !known {
		g.generation++
	}
	g.members[m.id] = g.clock.Now().Add(ttl)
	living := g.living()
	joined := grouper.Membership{Generation: g.generation}
	for n := slices.Index(living, m.id); n < g.partitions; n += len(living) {
		joined.Partitions = append(joined.Partitions, identifier.PartitionNumber(n))
	}
	return joined, nil
}

// Leave implements grouper.Group.
func (m member) Leave(context.Context) error {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.down {
		return appender.ErrUnavailable
	}
	delete(g.members, m.id)
	g.generation++
	return nil
}

// Owners implements grouper.Group.
func (m member) Owners(context.Context) (map[identifier.PartitionNumber]grouper.Member, error) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.down {
		return nil, appender.ErrUnavailable
	}
	owners := make(map[identifier.PartitionNumber]grouper.Member)
	living := g.living()
	for n := 0; len(living) > 0 && n < g.partitions; n++ {
		owners[identifier.PartitionNumber(n)] = living[n%len(living)]
	}
	return owners, nil
}
