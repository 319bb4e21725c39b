package leaser

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Guards against a second holder while the lease is held by a host whose record can't be read.
func TestRun_AnUnreadableLeaseIsHeldUntilItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		p := storer.Partition{Topic: "keyed.leases"}
		if _, err := store.Append(t.Context(), p, storer.AnyOffset, []storer.Record{{Key: "orders", Value: []byte{0xff}}}); err != nil {
			t.Fatal(err)
		}
		c := newContender(store, "a")
		defer c.stop()
		time.Sleep(leaseDuration + handoverGap)
		if _, held := c.Token(); held {
			t.Error("the lease has two holders")
		}
		time.Sleep(time.Minute)
		if _, held := c.Token(); !held {
			t.Error("the lease is never held again")
		}
	})
}
