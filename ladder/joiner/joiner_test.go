package joiner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/joiner"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// host is one process that may join the group.
type host struct {
	*joiner.Joiner
	// changes counts the changes of its owned partitions.
	changes atomic.Int32
	stop    func()
}

func newHost(group *faker.Group, n int, policy joiner.JoinPolicy) *host {
	return newHostOf(group, n, policy, 2, 8)
}

// newHostOf starts one of several peers, of which some are wanted as members.
func newHostOf(group *faker.Group, n int, policy joiner.JoinPolicy, wanted, peers int) *host {
	id := joiner.Member(fmt.Sprintf("host-%d", n))
	h := &host{}
	var names []string
	for n := range peers {
		names = append(names, fmt.Sprintf("host-%d", n))
	}
	h.Joiner = joiner.New(clockwork.NewRealClock(), group.Member(id), joiner.Options{
		Self: id, JoinPolicy: policy, WantedMembers: func() int { return wanted }, Peers: func() []string { return names[:peers] },
		Random: router.NewRandom(uint64(n)), Renewal: joiner.WorkRenewal,
	}, func() { h.changes.Add(1) })
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { h.Run(ctx) })
	h.stop = func() { cancel(); tasks.Wait() }
	return h
}

// inBubble runs f with hosts, the first of which join only as a last resort.
func inBubble(t *testing.T, lastResort, regular int, f func(group *faker.Group, hosts []*host)) {
	synctest.Test(t, func(*testing.T) {
		group := faker.NewGroup(clockwork.NewRealClock(), 12)
		var hosts []*host
		for n := range lastResort + regular {
			hosts = append(hosts, newHost(group, n, joiner.JoinPolicy(n >= lastResort)))
		}
		f(group, hosts)
		for _, h := range hosts {
			h.stop()
		}
	})
}

func ownedBy(hosts []*host) (total int) {
	for _, h := range hosts {
		total += len(h.Owned())
	}
	return total
}

func TestRun_SettlesOnAsManyAsAreWanted(t *testing.T) {
	inBubble(t, 3, 5, func(group *faker.Group, hosts []*host) {
		time.Sleep(15 * time.Second)
		if n := len(group.Members()); n != 2 {
			t.Errorf("%d members", n)
		}
		if n := ownedBy(hosts); n != 12 {
			t.Errorf("%d partitions are owned, want 12", n)
		}
		if n := ownedBy(hosts[:3]); n != 0 {
			t.Errorf("weak hosts own %d partitions", n)
		}
	})
}

func TestRun_WeakHostsWorkWhereNobodyElseDoes(t *testing.T) {
	inBubble(t, 3, 0, func(_ *faker.Group, hosts []*host) {
		time.Sleep(15 * time.Second)
		if n := ownedBy(hosts); n != 12 {
			t.Errorf("%d partitions are owned, want 12", n)
		}
	})
}

func TestRun_OthersTakeOverFromAHostThatStops(t *testing.T) {
	inBubble(t, 0, 4, func(group *faker.Group, hosts []*host) {
		time.Sleep(10 * time.Second)
		for _, h := range hosts {
			if len(h.Owned()) > 0 {
				h.stop()
				break
			}
		}
		time.Sleep(5 * time.Second)
		if n := ownedBy(hosts); n != 12 {
			t.Errorf("%d partitions are owned, want 12", n)
		}
		if n := len(group.Members()); n != 2 {
			t.Errorf("%d members", n)
		}
	})
}

func TestOwned_KeptThroughAnOutageAndNotForEver(t *testing.T) {
	inBubble(t, 0, 1, func(group *faker.Group, hosts []*host) {
		time.Sleep(5 * time.Second)
		group.SetDown(true)
		time.Sleep(6 * time.Second)
		if n := ownedBy(hosts); n != 12 {
			t.Errorf("after 6 s without the store %d partitions", n)
		}
		time.Sleep(6 * time.Second)
		if diff := cmp.Diff([]identifier.PartitionNumber(nil), hosts[0].Owned()); diff != "" {
			t.Error("after 12 s: " + diff)
		}
	})
}

func TestRun_ARestartedHostGoesOnWithItsPartitionsAtOnce(t *testing.T) {
	inBubble(t, 0, 4, func(group *faker.Group, hosts []*host) {
		time.Sleep(10 * time.Second)
		for n, h := range hosts {
			if len(h.Owned()) == 0 {
				continue
			}
			group.SetDown(true) // killed, so it cannot leave the group
			h.stop()
			group.SetDown(false)
			hosts[n] = newHost(group, n, joiner.JoinWhenNeeded)
			time.Sleep(100 * time.Millisecond)
			if len(hosts[n].Owned()) == 0 {
				t.Errorf("host %d does not take over the partitions of its predecessor", n)
			}
		}
	})
}

// Five of thirty hosts are members, and each of them stops and restarts in turn. Only
// the partitions of the stopped host and those assigned to its successor may move.
func TestRun_AStopMovesFewPartitions(t *testing.T) {
	const wanted, all = 5, 30
	synctest.Test(t, func(*testing.T) {
		group := faker.NewGroup(clockwork.NewRealClock(), 24)
		var hosts []*host
		for n := range all {
			hosts = append(hosts, newHostOf(group, n, joiner.JoinWhenNeeded, wanted, all))
		}
		time.Sleep(20 * time.Second)
		for n := range hosts {
			if len(hosts[n].Owned()) == 0 {
				continue
			}
			before := changesOf(hosts)
			hosts[n].stop()
			stopped := len(hosts[n].Owned())
			time.Sleep(8 * time.Second)
			// One change for the stopped host, four for those that take over its
			// partitions, one for the successor, four for those that hand partitions
			// over to it; twice that, as a second host may join too.
			if changed := changesOf(hosts) - before; changed > 2*(2+2*(wanted-1)) {
				t.Errorf("host %d stopped: %d changes of owned partitions", n, changed)
			}
			if total := ownedBy(hosts); total != 24 || stopped != 0 {
				t.Errorf("host %d stopped: %d partitions are owned, %d by it", n, total, stopped)
			}
			if members := len(group.Members()); members != wanted {
				t.Errorf("host %d stopped: %d members 8 s later", n, members)
			}
			hosts[n] = newHostOf(group, n, joiner.JoinWhenNeeded, wanted, all)
		}
		for _, h := range hosts {
			h.stop()
		}
	})
}

func changesOf(hosts []*host) (total int) {
	for _, h := range hosts {
		total += int(h.changes.Load())
	}
	return total
}

// refusingGroup refuses and counts all calls.
type refusingGroup struct {
	joiner.Group
	reads atomic.Int32
}

func (g *refusingGroup) Owners(context.Context) (map[identifier.PartitionNumber]joiner.Member, error) {
	g.reads.Add(1)
	return nil, appender.ErrUnavailable
}

// Guards against one read of the store for each request while the store refuses reads.
func TestOwnerOf_PausesWhileTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &refusingGroup{}
		j := joiner.New(clockwork.NewRealClock(), group, joiner.Options{Self: "a"}, func() {})
		for range 2000 {
			j.OwnerOf(1)
			time.Sleep(time.Millisecond)
		}
		if n := group.reads.Load(); n < 2 || n > 10 {
			t.Errorf("%d reads in 2 s, want 2 to 10", n)
		}
	})
}

func TestFormerOwnerOf_WhoeverStopped(t *testing.T) {
	inBubble(t, 0, 4, func(group *faker.Group, hosts []*host) {
		time.Sleep(10 * time.Second)
		var stopped joiner.Member
		var partition identifier.PartitionNumber
		for n, h := range hosts {
			if owned := h.Owned(); len(owned) > 0 {
				stopped, partition = joiner.Member(fmt.Sprintf("host-%d", n)), owned[0]
				h.stop()
				break
			}
		}
		time.Sleep(500 * time.Millisecond) // by now the other member has joined again
		for _, h := range hosts {
			if !h.Owns(partition) {
				continue
			}
			if former, ok := h.FormerOwnerOf(partition); !ok || former != stopped {
				t.Errorf("former owner %q, want %q", former, stopped)
			}
		}
	})
}
