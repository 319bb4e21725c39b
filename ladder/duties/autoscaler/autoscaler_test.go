package autoscaler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/duties/pacer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/scheduler"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// demandsOf returns the demands of two hosts with waiting items.
func demandsOf(first, second int) map[identifier.Incarnation][]messenger.PlaceDemand {
	of := func(waiting int, uses ...messenger.PlaceDemand) []messenger.PlaceDemand {
		return append(uses, messenger.PlaceDemand{Service: "other", Waiting: 100}, messenger.PlaceDemand{
			Service: "s", Waiting: waiting, WaitingWork: time.Duration(waiting) * 2 * time.Second, LongestWait: time.Second,
		})
	}
	return map[identifier.Incarnation][]messenger.PlaceDemand{
		"x": of(first, messenger.PlaceDemand{Service: "s", Zone: "a", Items: 3}, messenger.PlaceDemand{Service: "s", Zone: "gone", Items: 50}),
		"y": of(second, messenger.PlaceDemand{Service: "s", Zone: "a", Calls: 3}, messenger.PlaceDemand{Service: "s", Zone: "b", Items: 2, Calls: -3}),
	}
}

// Guards against demand that counts twice as its host and a keeper tell of it.
func TestJoinDemands(t *testing.T) {
	waiting := func(host, n int) messenger.PlaceDemand {
		return messenger.PlaceDemand{Host: host, Service: "s", Waiting: n}
	}
	got := joinDemands([]*messenger.PlacesAnswer{
		{Hosts: []identifier.Incarnation{"a", "b", "c"}, Demands: []messenger.PlaceDemand{waiting(1, 2), waiting(2, 3), waiting(0, 1), waiting(3, 9), waiting(-1, 9)}},
		{Hosts: []identifier.Incarnation{"b", "c"}, Demands: []messenger.PlaceDemand{waiting(1, 7)}},
	})
	want := map[identifier.Incarnation][]messenger.PlaceDemand{"a": {waiting(0, 1)}, "b": nil, "c": {waiting(2, 3)}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// decoder makes records of targets and of one configuration.
type decoder struct{}

func (decoder) Published(string, []byte) (cataloger.PublishedRecord, error) {
	return &cataloger.Configuration{Version: 1, Services: map[identifier.ServiceName]cataloger.Service{
		"s": {Name: "s", Scaling: &cataloger.Scaling{Min: 1, Max: 4, Boot: 4 * time.Second}}, "fixed": {Name: "fixed"},
	}}, nil
}

func (decoder) Target(key string, _ []byte) (cataloger.Target, error) {
	return cataloger.Target{Name: identifier.TargetName(key), Service: "s", Zone: "z", Slots: 2, State: cataloger.StateReady}, nil
}

// fake is the platform, the lease, the work and a host that isn't listed.
type fake struct {
	mutex   sync.Mutex
	token   identifier.FencingToken
	waiting int
	failure error
	orders  []string
	boot    time.Time
	kept    *Demand
}

func (f *fake) Elapsed() time.Duration { return time.Since(f.boot) }

// set changes the fake.
func (f *fake) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (f *fake) Token() (identifier.FencingToken, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.token, f.token > 0
}

func (f *fake) InFlight(identifier.TargetName) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return min(2, f.waiting)
}

func (f *fake) WaitingItems() map[identifier.ServiceName]scheduler.WaitingItems {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return map[identifier.ServiceName]scheduler.WaitingItems{"s": {Count: f.waiting, Longest: time.Duration(f.waiting) * time.Second}}
}

func (f *fake) Scale(_ context.Context, o Order, authorize pacer.Authorize) error {
	token, ok := authorize()
	if !ok {
		return pacer.ErrNotHolder
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders = append(f.orders, fmt.Sprintf("%s/%s=%d by %d", o.Service, o.Zone, o.Targets, token))
	return f.failure
}

// Ask implements querier.Peers for the only listed host.
func (f *fake) Ask(_ context.Context, _ string, q messenger.Question) (r messenger.Reply, err error) {
	if q.PlacesCopy == nil {
		return r, appender.ErrUnavailable
	}
	r.Kept = f.kept.Keep(*q.PlacesCopy)
	return r, nil
}

type noCalls struct{}

func (noCalls) InFlight(identifier.TargetName) int { return 0 }

// Guards against orders without the lease, orders that are lost or change while the platform is silent,
// and demand of hosts that aren't listed.
func TestRun_OrdersUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, f, busy := clockwork.NewRealClock(), &fake{boot: time.Now()}, &fake{}
		c := cataloger.New(clock, decoder{})
		c.PublishedSink().Apply([]storer.Record{{Key: "config", Value: []byte("x")}})
		c.TargetSink().Reset([]storer.Record{{Key: "t", Value: []byte("x")}})
		members := func() []string { return []string{"listed"} }
		d := NewDemand(clock, c, f, noCalls{}, DemandOptions{Incarnation: "i", Self: "listed", Members: members, Peers: f})
		f.kept = d
		unlisted := NewDemand(clock, c, busy, noCalls{}, DemandOptions{Incarnation: "j", Self: "unlisted", Members: members, Peers: f})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go unlisted.Run(ctx)
		go New(clock, f, c, d, f, f, pacer.New(clock, 25), "h", recorder.New()).Run(ctx)
		expect := func(want ...string) {
			t.Helper()
			synctest.Wait()
			f.set(func() {
				if diff := cmp.Diff(want, f.orders); diff != "" {
					t.Errorf("orders (-want +got):\n%s", diff)
				}
				f.orders = nil
			})
		}
		busy.set(func() { busy.waiting = 5 })
		time.Sleep(10 * time.Second)
		expect()
		f.set(func() { f.token, f.failure = 3, errors.New("no response") })
		time.Sleep(5500 * time.Millisecond)
		expect("s/z=4 by 3")
		busy.set(func() { busy.waiting = 0 })
		time.Sleep(2 * time.Second)
		f.set(func() { f.failure = nil })
		time.Sleep(time.Second)
		expect("s/z=4 by 3", "s/z=4 by 3", "s/z=4 by 3")
		time.Sleep(11 * time.Second)
		expect()
		time.Sleep(5 * time.Second)
		expect("s/z=3 by 3")
		f.set(func() { f.token = 0 })
		time.Sleep(time.Minute)
		expect()
	})
}
