package announcer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// tickDecoder decodes nothing.
type tickDecoder struct{}

func (tickDecoder) Published(string, []byte) (cataloger.PublishedRecord, error) { return nil, nil }
func (tickDecoder) Target(key string, _ []byte) (cataloger.Target, error) {
	return cataloger.Target{Name: identifier.TargetName(key), StartID: 1, Service: "s", State: cataloger.StateReady}, nil
}

// fleet is a number of hosts, of which the store lists the first ones.
type fleet struct {
	clock clockwork.Clock
	tasks conc.WaitGroup
	ctx   context.Context
	end   context.CancelFunc

	mutex  sync.Mutex
	hosts  []*fleetHost
	listed []string
	// unreachable hosts reach no others and are reached by none.
	unreachable map[string]bool
	traffic     traffic
}

// traffic counts the messages between hosts.
type traffic struct {
	messages, bytes int
	// most is the number of bytes that the busiest host received, received that of each.
	most     int
	received map[string]int
}

type fleetHost struct {
	*Announcer
	name    string
	catalog *cataloger.Cataloger
}

func newFleet(hosts, listed int) *fleet {
	f := &fleet{clock: clockwork.NewRealClock(), unreachable: make(map[string]bool)}
	f.takeTraffic()
	f.ctx, f.end = context.WithCancel(context.Background())
	for n := range listed {
		f.listed = append(f.listed, hostName(n))
	}
	for n := range hosts {
		f.start(hostName(n))
	}
	return f
}

// takeTraffic returns what was counted since the last call.
func (f *fleet) takeTraffic() traffic {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	counted := f.traffic
	f.traffic = traffic{received: make(map[string]int)}
	return counted
}

// setReachable cuts hosts off from all others or ends that.
func (f *fleet) setReachable(reachable bool, names ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, name := range names {
		f.unreachable[name] = !reachable
	}
}

func hostName(n int) string { return fmt.Sprintf("10.0.%d.%d:7080", n/250, n%250) }

func (f *fleet) start(name string) *fleetHost {
	h := &fleetHost{name: name, catalog: cataloger.New(f.clock, tickDecoder{})}
	h.catalog.TargetSink().Reset([]storer.Record{{Key: "t-1", Value: []byte("x")}, {Key: "t-2", Value: []byte("x")}})
	h.Announcer = New(f.clock, h.catalog, Options{Self: name, Members: func() []string { return f.listed }, Peers: hostPeers{f, name}, IntN: rand.IntN})
	f.mutex.Lock()
	f.hosts = append(f.hosts, h)
	f.mutex.Unlock()
	f.tasks.Go(func() { h.Run(f.ctx) })
	return h
}

func (f *fleet) stop() { f.end(); f.tasks.Wait() }

// storeAway makes all hosts notice that the store doesn't answer, each second for d.
func (f *fleet) storeAway(d time.Duration) {
	for range int(d / time.Second) {
		for _, h := range f.hosts {
			h.catalog.StoreFailed()
		}
		time.Sleep(time.Second)
	}
}

// knowing counts the hosts that don't use the target any more.
func (f *fleet) knowing(name identifier.TargetName) (count int) {
	for _, h := range f.hosts {
		if !h.MayReceive(cataloger.Target{Name: name, StartID: 1}) {
			count++
		}
	}
	return count
}

// hostPeers asks the other hosts for one host.
type hostPeers struct {
	fleet *fleet
	from  string
}

// Ask implements querier.Peers.
func (p hostPeers) Ask(ctx context.Context, address string, q messenger.Question) (r messenger.Reply, err error) {
	f := p.fleet
	size, err := cbor.Marshal(q)
	if err != nil {
		return r, err
	}
	time.Sleep(time.Millisecond)
	f.mutex.Lock()
	f.traffic.messages++
	f.traffic.bytes += len(size)
	f.traffic.received[address] += len(size)
	f.traffic.most = max(f.traffic.most, f.traffic.received[address])
	unreachable := f.unreachable[address] || f.unreachable[p.from]
	var host *fleetHost
	for _, h := range f.hosts {
		if h.name == address {
			host = h
		}
	}
	f.mutex.Unlock()
	if unreachable {
		<-ctx.Done()
		return r, errors.New("no answer")
	}
	if q.Announcement != nil {
		host.Hear(*q.Announcement)
	}
	if q.Departures > 0 {
		r.Departures = host.Departures(q.Departures)
	}
	return r, nil
}

func target(name identifier.TargetName) cataloger.Target {
	return cataloger.Target{Name: name, StartID: 1, Service: "s"}
}

// Guards against hosts that send to a target although others know that it leaves.
func TestRecordLeaving_TellsAFleetOfAnySize(t *testing.T) {
	for _, c := range []struct{ hosts, listed int }{{1, 1}, {7, 7}, {133, 24}, {330, 24}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(c.hosts, c.listed)
			defer f.stop()
			time.Sleep(3 * time.Second)
			f.takeTraffic()
			f.hosts[c.hosts-1].RecordLeaving(target("t-1"))
			time.Sleep(50 * time.Millisecond)
			if n := f.knowing("t-1"); n < min(c.hosts, c.listed) {
				t.Errorf("%d of %d hosts know it, %d are listed", n, c.hosts, c.listed)
			}
			one := f.takeTraffic()
			for _, h := range f.hosts {
				h.RecordLeaving(target("t-2"))
			}
			time.Sleep(50 * time.Millisecond)
			all := f.takeTraffic()
			if all.messages > c.hosts+c.listed {
				t.Errorf("%d hosts that hear at the same moment send %d messages", c.hosts, all.messages)
			}
			t.Logf("%d hosts: one hears: %d messages, %d bytes; all hear at once: %d messages, %d bytes, %d of them at one host", c.hosts, one.messages, one.bytes, all.messages, all.bytes, all.most)
			f.storeAway(3 * time.Second)
			if n := f.knowing("t-1"); n != c.hosts {
				t.Errorf("%d of %d hosts know it after the store was away for 3 s", n, c.hosts)
			}
		})
	}
}

// Guards against a host that starts, or was cut off, and never hears of a leaving target.
func TestRun_AsksForWhatWasMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(40, 12)
		defer f.stop()
		time.Sleep(3 * time.Second)
		f.setReachable(false, hostName(3))
		f.hosts[30].RecordLeaving(target("t-1"))
		time.Sleep(time.Second)
		f.setReachable(true, hostName(3))
		f.storeAway(4 * time.Second)
		if n := f.knowing("t-1"); n != 40 {
			t.Errorf("%d of 40 hosts know it", n)
		}
		time.Sleep(time.Minute)
		started := f.start(hostName(40))
		time.Sleep(2 * time.Second)
		if started.MayReceive(target("t-1")) {
			t.Error("a host that started a minute later doesn't know it")
		}
	})
}

// Guards against news that are lost with the host that is to pass them on.
func TestRecordLeaving_WhileListedHostsAreAway(t *testing.T) {
	for away := range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(12, 12)
			defer f.stop()
			time.Sleep(3 * time.Second)
			for n := range 12 {
				name := identifier.TargetName(fmt.Sprint("x-", n))
				var hosts []string
				for k := range away {
					hosts = append(hosts, hostName((n+k)%12))
				}
				f.setReachable(false, hosts...)
				f.hosts[(n+away)%12].RecordLeaving(target(name))
				time.Sleep(4 * time.Second)
				if got := f.knowing(name); got != 12-away {
					t.Errorf("%d hosts away: %d of 12 know that %s leaves", away, got, name)
				}
				f.setReachable(true, hosts...)
			}
		})
	}
}

func TestHear_WhatAPeerSaysHasBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 2)
		defer f.stop()
		f.hosts[0].Hear(messenger.Announcement{Departures: []messenger.Departure{{Target: "t-1", StartID: 1, Age: -time.Hour}, {Target: "t-2", StartID: 2}}})
		if f.hosts[0].MayReceive(target("t-1")) {
			t.Error("news from the future aren't taken")
		}
		if !f.hosts[0].MayReceive(target("t-2")) {
			t.Error("another incarnation counts as leaving")
		}
	})
}
