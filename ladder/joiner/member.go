package joiner

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// A few members do the work of all: they keep their connections to the targets
// in use, and each sees more of the load that it places. The others stand by.
// While there are members they have the work of one that left, so that a gap may
// wait. Each change of the group moves partitions, and a newcomer shows only when
// the others have joined again: were all who stand by to join, most would leave
// again, and each move breaks work off. So they join one after the other, in the
// order of their names.

// joinOrLeave joins if a member is missing, and leaves if there are too many.
func (g *Joiner) joinOrLeave(ctx context.Context) {
	err := g.readOwners(ctx)
	members, member := g.members()
	if member || err != nil || g.wanted == nil || !g.missing(members) {
		g.gapSince = time.Time{}
	} else if g.gapSince.IsZero() {
		g.gapSince = g.clock.Now()
	}
	switch {
	case g.wanted == nil:
		g.join(ctx)
	case member && err == nil && g.surplus(members):
		klog.InfoS("group left, others do its work", "members", len(members), "wanted", g.wanted())
		g.leave(ctx)
	case member:
		g.join(ctx)
	case err == nil && len(members) == 0 && g.missing(members):
		// Nobody works. All see it at once; the first to come takes all of it.
		select {
		case <-g.clock.After(time.Duration(g.random.IntN(int(g.pace.Interval)))):
		case <-ctx.Done():
			return
		}
		if err := g.readOwners(ctx); err != nil {
			return
		}
		if members, _ := g.members(); len(members) == 0 {
			g.join(ctx)
		}
	case err == nil && g.missing(members) && g.clock.Since(g.gapSince) >= time.Duration(g.rank(members))*g.showTime():
		g.join(ctx)
	}
}

// showTime is how long a newcomer takes to show: the others join again, and are
// then seen.
func (g *Joiner) showTime() time.Duration { return 2 * g.pace.Interval }

// rank is how many others fill a gap before this process does.
func (g *Joiner) rank(members []Member) (count int) {
	if g.peers == nil {
		return 0
	}
	for _, address := range g.peers() {
		if p := Member(address); p < g.self && !slices.Contains(members, p) {
			count++
		}
	}
	return count
}

// members returns those who hold partitions, in order, and whether this process
// is in the group, or its predecessor still is.
func (g *Joiner) members() (list []Member, member bool) {
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

func (g *Joiner) missing(members []Member) bool {
	if g.zeal == JoinAsLastResort {
		return len(members) == 0
	}
	return len(members) < g.wanted()
}

// surplus says whether this process is one of those that should leave. All
// members put themselves in the same order.
func (g *Joiner) surplus(members []Member) bool {
	if g.zeal == JoinAsLastResort {
		return len(members) > 1
	}
	return slices.Index(members, g.self) >= g.wanted()
}

// OwnerOf returns who works on a partition, as far as is known. A list that has
// aged is read anew in the background.
func (g *Joiner) OwnerOf(n identifier.PartitionNumber) (Member, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.clock.Since(g.ownersAt) > ownersAge && !g.asking {
		g.asking = true
		go func() {
			_ = recoverer.CatchPanic("list of owners", func() { _ = g.readOwners(context.Background()) }) // it is logged there
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.asking = false
		}()
	}
	o, ok := g.owners[n]
	return o, ok
}

func (g *Joiner) readOwners(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := g.group.Owners(bounded)
	if err != nil {
		klog.V(1).InfoS("owners of batch jobs not read", "err", err)
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for n, o := range g.owners {
		if now, ok := owners[n]; o != g.self && (!ok || now != o) {
			g.formerOwners[n] = o
		}
	}
	g.owners, g.ownersAt = owners, g.clock.Now()
	return nil
}

// FormerOwnerOf returns who else worked on a partition last, if that is known.
func (g *Joiner) FormerOwnerOf(n identifier.PartitionNumber) (Member, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	o, ok := g.formerOwners[n]
	return o, ok
}

// PeerAddresses returns where the other members are reached that hold a partition.
func (g *Joiner) PeerAddresses() (list []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, o := range g.owners {
		if o != g.self && !slices.Contains(list, string(o)) {
			list = append(list, string(o))
		}
	}
	return list
}
