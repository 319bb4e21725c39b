package blocklister

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

var partition = storer.Partition{Topic: "keyed.breaks"}

// startHosts starts hosts that share a store and waits until they have read it.
func startHosts(store *faker.Store, count int) (hosts []*Blocklister, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	for range count {
		b := New(clockwork.NewRealClock(), store, partition)
		tasks.Go(func() { b.Run(ctx) })
		tasks.Go(func() { b.Sweep(ctx) })
		hosts = append(hosts, b)
	}
	time.Sleep(time.Second)
	return hosts, func() { cancel(); tasks.Wait() }
}

func TestConvicted_CountsFailuresSeenByAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		hosts, stop := startHosts(store, 3)
		const poison, bystander = identifier.Fingerprint(7), identifier.Fingerprint(8)
		for n, h := range hosts {
			h.BrokeOff(poison, cataloger.Target{Name: "a", StartID: int64(n)})
			h.BrokeOff(bystander, cataloger.Target{Name: "a", StartID: 1})
		}
		time.Sleep(time.Second)
		for n, h := range hosts {
			if !h.Convicted(poison) {
				t.Errorf("host %d doesn't block the request that three target incarnations failed under", n)
			}
			if h.Convicted(bystander) {
				t.Errorf("host %d blocks a request that one target incarnation failed under", n)
			}
		}
		time.Sleep(3 * retention)
		for n, h := range hosts {
			if h.Convicted(poison) {
				t.Errorf("host %d still blocks the request after the retention period", n)
			}
		}
		page, err := store.Newest(context.Background(), partition, "")
		if err != nil || len(page.Records) > 0 {
			t.Errorf("%d records left, want none; err %v", len(page.Records), err)
		}
		stop()
	})
}

// Guards against failures that are forgotten because the store was away when they were seen.
func TestConvicted_CountsFailuresSeenDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		hosts, stop := startHosts(store, 2)
		store.SetDown(true)
		const poison = identifier.Fingerprint(7)
		for n := range failuresToBlock {
			hosts[0].BrokeOff(poison, cataloger.Target{Name: "a", StartID: int64(n)})
			time.Sleep(time.Second)
		}
		if !hosts[0].Convicted(poison) {
			t.Error("the host that has seen all failures doesn't block the request")
		}
		time.Sleep(10 * time.Second)
		store.SetDown(false)
		time.Sleep(2 * time.Second)
		for n, h := range hosts {
			if !h.Convicted(poison) {
				t.Errorf("host %d doesn't block the request after the outage", n)
			}
		}
		time.Sleep(3 * retention)
		for n, h := range hosts {
			if h.Convicted(poison) {
				t.Errorf("host %d still blocks the request after the retention period", n)
			}
		}
		stop()
	})
}

// Guards against a request of many callers that is blocked because targets crashed beside it, though
// other targets run it, also at hosts that have started since.
func TestSucceeded_AcquitsAtAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		hosts, stop := startHosts(store, 3)
		const popular, poison = identifier.Fingerprint(7), identifier.Fingerprint(8)
		for n := range failuresToBlock {
			for _, f := range []identifier.Fingerprint{popular, poison} {
				hosts[n%2].BrokeOff(f, cataloger.Target{Name: "a", StartID: int64(n)})
			}
			time.Sleep(time.Second)
			hosts[2].Succeeded(popular)
			time.Sleep(time.Second)
		}
		started, stopStarted := startHosts(store, 1)
		for n, h := range append(hosts, started...) {
			if h.Convicted(popular) {
				t.Errorf("host %d blocks a request that targets run", n)
			}
			if !h.Convicted(poison) {
				t.Errorf("host %d doesn't block a request that no target has run", n)
			}
		}
		stop()
		stopStarted()
	})
}

// Guards against a request that stays blocked though one that was sent before has succeeded.
func TestSucceeded_AcquitsWhatIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		hosts, stop := startHosts(store, 2)
		for n := range failuresToBlock {
			hosts[0].BrokeOff(7, cataloger.Target{Name: "a", StartID: int64(n)})
		}
		time.Sleep(time.Second)
		hosts[1].Succeeded(7)
		time.Sleep(time.Second)
		for n, h := range hosts {
			if h.Convicted(7) {
				t.Errorf("host %d", n)
			}
		}
		stop()
	})
}
