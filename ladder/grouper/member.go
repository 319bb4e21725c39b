package grouper

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A few members do the work of all: they keep their connections to the targets
// in use, and each sees more of the load that it places. The others stand by.

// joinOrLeave joins if a member is missing, and leaves if there are too many.
func (g *Grouper) joinOrLeave(ctx context.Context) {
	err := g.readOwners(ctx)
	members, member := g.members()
	switch {
	case g.wanted == nil:
		g.join(ctx)
	case member && err == nil && g.surplus(members):
		klog.InfoS("group left, others do its work", "members", len(members), "wanted", g.wanted())
		g.leave(ctx)
	case member:
		g.join(ctx)
	case err == nil && g.missing(members):
		// All who stand by see the gap at once; the first to come fills it.
		select {
		case <-g.clock.After(time.Duration(g.random.IntN(int(g.joinSpread(members))))):
		case <-ctx.Done():
			return
		}
		if err := g.readOwners(ctx); err != nil {
			return
		}
		if members, _ := g.members(); g.missing(members) {
			g.join(ctx)
		}
	}
}

// joinSpread is the time over which those who stand by spread their joins. While
// somebody works on everything it is as long as the store takes to show a new
// member to the others, twice over.
func (g *Grouper) joinSpread(members []Member) time.Duration {
	if len(members) == 0 {
		return g.pace.Pause
	}
	return 4 * g.pace.Pause
}

// members returns those who hold partitions, in order, and whether this process
// is in the group, or its predecessor still is.
func (g *Grouper) members() (list []Member, member bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, o := range g.owners {
		if !slices.Contains(list, o) {
			list = append(list, o)
		}
	}
	slices.Sort(list)
	return list, !g.answered.IsZero() || slices.Contains(list, g.self)
}

func (g *Grouper) missing(members []Member) bool {
	if g.zeal == Reluctant {
		return len(members) == 0
	}
	return len(members) < g.wanted()
}

// surplus says whether this process is one of those that should leave. All
// members put themselves in the same order.
func (g *Grouper) surplus(members []Member) bool {
	if g.zeal == Reluctant {
		return len(members) > 1
	}
	return slices.Index(members, g.self) >= g.wanted()
}

// OwnerOf returns who works on a partition, as far as is known. A list that has
// aged is read anew in the background.
func (g *Grouper) OwnerOf(n identifier.PartitionNumber) (Member, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.clock.Since(g.ownersAt) > ownersAge && !g.asking {
		g.asking = true
		go func() {
			_ = g.readOwners(context.Background()) // it is logged there
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.asking = false
		}()
	}
	o, ok := g.owners[n]
	return o, ok
}

func (g *Grouper) readOwners(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := g.group.Owners(bounded)
	if err != nil {
		klog.V(1).InfoS("owners of batch jobs not read", "err", err)
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.owners, g.ownersAt = owners, g.clock.Now()
	return nil
}

// Addresses returns where the other members are reached that hold a partition.
func (g *Grouper) Addresses() (list []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, o := range g.owners {
		if o != g.self && !slices.Contains(list, string(o)) {
			list = append(list, string(o))
		}
	}
	return list
}
