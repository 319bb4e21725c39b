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

func TestConvicted_ByTheBreaksOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		store := faker.NewStore(clock)
		ctx, cancel := context.WithCancel(context.Background())
		var tasks conc.WaitGroup
		var hosts []*Blocklister
		for range 3 {
			c := New(clock, store, partition)
			tasks.Go(func() { c.Run(ctx) })
			tasks.Go(func() { c.Sweep(ctx) })
			hosts = append(hosts, c)
		}
		time.Sleep(time.Second)
		const poison, beside = identifier.Fingerprint(7), identifier.Fingerprint(8)
		for n, h := range hosts {
			h.BrokeOff(poison, cataloger.Target{Name: "a", StartID: int64(n)})
			h.BrokeOff(beside, cataloger.Target{Name: "a", StartID: 1})
		}
		time.Sleep(time.Second)
		for n, h := range hosts {
			if !h.Convicted(poison) {
				t.Errorf("host %d would send it again", n)
			}
			if h.Convicted(beside) {
				t.Errorf("host %d blames what was beside it at one crash", n)
			}
		}
		time.Sleep(3 * period)
		for n, h := range hosts {
			if h.Convicted(poison) {
				t.Errorf("host %d refuses it for ever", n)
			}
		}
		page, err := store.Newest(ctx, partition, "")
		if err != nil || len(page.Records) > 0 {
			t.Errorf("%d records are left, %v", len(page.Records), err)
		}
		cancel()
		tasks.Wait()
	})
}
