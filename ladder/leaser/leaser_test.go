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

const gap = 3 * time.Second

// hostWatch is a host's watch; it is the bubble's time.
type hostWatch struct{ begun time.Time }

func (w hostWatch) Elapsed() time.Duration { return time.Since(w.begun) }

// cutLog is a host's way to the store, which may be cut.
type cutLog struct {
	*faker.Store
	cut *atomic.Bool
}

func (l cutLog) Read(ctx context.Context, p storer.Partition, from identifier.LogOffset, wait time.Duration) (storer.Page, error) {
	if l.cut.Load() {
		return storer.Page{}, appender.ErrUnavailable
	}
	return l.Store.Read(ctx, p, from, wait)
}

func (l cutLog) Append(ctx context.Context, p storer.Partition, at identifier.LogOffset, r []storer.Record) (identifier.LogOffset, error) {
	if l.cut.Load() {
		return 0, appender.ErrUnavailable
	}
	return l.Store.Append(ctx, p, at, r)
}

// contender is one host that competes.
type contender struct {
	*Leaser
	cut  atomic.Bool
	stop func()
}

func newContender(store *faker.Store, name Holder) *contender {
	c := &contender{}
	c.Leaser = New(clockwork.NewRealClock(), hostWatch{time.Now()}, cutLog{store, &c.cut}, Options{
		Partition: storer.Partition{Topic: "keyed.leases"}, Key: "orders", Holder: name, HandoverGap: gap,
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
			watch := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					for _, h := range hosts {
						token, ok := h.Token()
						if !ok {
							continue
						}
						if h.options.Holder != lastHolder && !lastAt.IsZero() {
							if time.Since(lastAt) < gap {
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
			watch(2 * time.Second)
			for n, k := range cuts {
				hosts[k].cut.Store(true)
				watch(time.Duration(lengths[n]) * time.Millisecond)
				hosts[k].cut.Store(false)
			}
			watch(12 * time.Second)
			if time.Since(lastAt) > time.Second {
				r.Errorf("nobody holds the lease")
			}
			for _, h := range hosts {
				h.stop()
			}
		})
	})
}

func TestRun_ARestartedHostGoesOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		first := newContender(store, "a")
		time.Sleep(2 * time.Second)
		token, ok := first.Token()
		if !ok {
			t.Fatal("the only contender doesn't hold the lease")
		}
		first.cut.Store(true) // killed: it can't give the lease back
		first.stop()
		second := newContender(store, "a")
		defer second.stop()
		time.Sleep(time.Second)
		if again, ok := second.Token(); !ok || again != token {
			t.Errorf("token %d, %t; want %d", again, ok, token)
		}
	})
}

func TestRun_AStoppedHolderGivesTheLeaseBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faker.NewStore(clockwork.NewRealClock())
		first := newContender(store, "a")
		time.Sleep(2 * time.Second)
		second := newContender(store, "b")
		defer second.stop()
		time.Sleep(time.Second)
		first.stop()
		if _, ok := first.Token(); ok {
			t.Error("it still holds the lease")
		}
		stopped := time.Now()
		for _, ok := second.Token(); !ok; _, ok = second.Token() {
			time.Sleep(10 * time.Millisecond)
			if time.Since(stopped) > time.Minute {
				t.Fatal("nobody takes it")
			}
		}
		if took := time.Since(stopped); took < gap || took > gap+time.Second {
			t.Errorf("taken after %s", took)
		}
	})
}
