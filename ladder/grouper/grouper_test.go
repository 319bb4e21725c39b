package grouper_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/grouper"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// host is one process that may be in the group.
type host struct {
	*grouper.Grouper
	stop func()
}

func newHost(group *faker.Group, n int, zeal grouper.Zeal) *host {
	id := grouper.Member(fmt.Sprintf("host-%d", n))
	h := &host{Grouper: grouper.New(clockwork.NewRealClock(), group.Member(id), grouper.Options{
		Self: id, Zeal: zeal, Wanted: func() int { return 2 }, Random: router.NewRandom(uint64(n)), Pace: grouper.WorkPace,
	}, func() {})}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { h.Run(ctx) })
	h.stop = func() { cancel(); tasks.Wait() }
	return h
}

// inBubble runs f with hosts, the first ones reluctant.
func inBubble(t *testing.T, reluctant, eager int, f func(group *faker.Group, hosts []*host)) {
	synctest.Test(t, func(*testing.T) {
		group := faker.NewGroup(clockwork.NewRealClock(), 12)
		var hosts []*host
		for n := range reluctant + eager {
			hosts = append(hosts, newHost(group, n, grouper.Zeal(n >= reluctant)))
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
			t.Errorf("%d partitions are worked on, want 12", n)
		}
		if n := ownedBy(hosts[:3]); n != 0 {
			t.Errorf("weak hosts work on %d partitions", n)
		}
	})
}

func TestRun_WeakHostsWorkWhereNobodyElseDoes(t *testing.T) {
	inBubble(t, 3, 0, func(_ *faker.Group, hosts []*host) {
		time.Sleep(15 * time.Second)
		if n := ownedBy(hosts); n != 12 {
			t.Errorf("%d partitions are worked on, want 12", n)
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
			t.Errorf("%d partitions are worked on, want 12", n)
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
			group.SetDown(true) // killed: it can't leave
			h.stop()
			group.SetDown(false)
			hosts[n] = newHost(group, n, grouper.Eager)
			time.Sleep(100 * time.Millisecond)
			if len(hosts[n].Owned()) == 0 {
				t.Errorf("host %d waits until the store has forgotten its predecessor", n)
			}
		}
	})
}
