package leaser

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const handoverGap = 3 * time.Second

// virtualClock is a host's clock; it follows the virtual time of synctest.
type virtualClock struct{ start time.Time }

func (c virtualClock) Elapsed() time.Duration { return time.Since(c.start) }

// cuttableLog is a host's connection to the store, which the test can cut.
type cuttableLog struct {
	*faker.Store
	cut *atomic.Bool
}

func (l cuttableLog) Read(ctx context.Context, p storer.Partition, from identifier.LogOffset, wait time.Duration) (storer.Page, error) {
	if l.cut.Load() {
		return storer.Page{}, appender.ErrUnavailable
	}
	return l.Store.Read(ctx, p, from, wait)
}

func (l cuttableLog) Append(ctx context.Context, p storer.Partition, at identifier.LogOffset, r []storer.Record) (identifier.LogOffset, error) {
	if l.cut.Load() {
		return 0, appender.ErrUnavailable
	}
	return l.Store.Append(ctx, p, at, r)
}

// contender is one host that competes for the lease.
type contender struct {
	*Leaser
	cut  atomic.Bool
	stop func()
}

func newContender(store *faker.Store, name Holder) *contender {
	c := &contender{}
	c.Leaser = New(clockwork.NewRealClock(), virtualClock{time.Now()}, cuttableLog{store, &c.cut}, Options{
		Partition: storer.Partition{Topic: "keyed.leases"}, Key: "orders", Holder: name, HandoverGap: handoverGap,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { c.Run(ctx) })
	c.stop = func() { cancel(); tasks.Wait() }
	return c
}

func TestToken_OneHolderAtATimeWithAGapBetween(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		cuts := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 5).Draw(r, "hosts cut in turn")
		lengths := rapid.SliceOfN(rapid.IntRange(200, 9000), len(cuts), len(cuts)).Draw(r, "for ms")
		synctest.Test(t, func(*testing.T) {
			store := faker.NewStore(clockwork.NewRealClock())
			hosts := []*contender{newContender(store, "a"), newContender(store, "b"), newContender(store, "c")}
			var lastHolder Holder
			var lastToken identifier.FencingToken
			var lastAt time.Time
			observe := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					for _, h := range hosts {
						token, ok := h.Token()
						if !ok {
							continue
						}
						if h.options.Holder != lastHolder && !lastAt.IsZero() {
							if time.Since(lastAt) < handoverGap {
								r.Errorf("%s may act %s after %s", h.options.Holder, time.Since(lastAt), lastHolder)
							}
							if token <= lastToken {
								r.Errorf("token %d after %d", token, lastToken)
							}
						}
						lastHolder, lastToken, lastAt = h.options.Holder, token, time.Now()
					}
				}
			}
			observe(2 * time.Second)
			for n, k := range cuts {
				hosts[k].cut.Store(true)
				observe(time.Duration(lengths[n]) * time.Millisecond)
				hosts[k].cut.Store(false)
			}
			observe(12 * time.Second)
			if time.Since(lastAt) > time.Second {
				r.Errorf("nobody holds the lease")
			}
			for _, h := range hosts {
				h.stop()
			}
		})
	})
}

func TestRun_RestartedHostKeepsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		first := newContender(store, "a")
		time.Sleep(2 * time.Second)
		token, ok := first.Token()
		if !ok {
			t.Fatal("the only contender doesn't hold the lease")
		}
		first.cut.Store(true) // killed: it can't release the lease
		first.stop()
		second := newContender(store, "a")
		defer second.stop()
		time.Sleep(time.Second)
		if again, ok := second.Token(); !ok || again != token {
			t.Errorf("token %d, %t; want %d", again, ok, token)
		}
	})
}

func TestRun_StoppedHolderReleasesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		first := newContender(store, "a")
		time.Sleep(2 * time.Second)
		second := newContender(store, "b")
		defer second.stop()
		time.Sleep(time.Second)
		first.stop()
		if _, ok := first.Token(); ok {
			t.Error("the stopped host still holds the lease")
		}
		stopped := time.Now()
		for _, ok := second.Token(); !ok; _, ok = second.Token() {
			time.Sleep(10 * time.Millisecond)
			if time.Since(stopped) > time.Minute {
				t.Fatal("the lease was not acquired within a minute")
			}
		}
		if took := time.Since(stopped); took < handoverGap || took > handoverGap+time.Second {
			t.Errorf("acquired after %s", took)
		}
	})
}
