package updater

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
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// fakeTargets are targets that load weights; they also implement the lease and the
// demand source.
type fakeTargets struct {
	catalog *cataloger.Cataloger

	mutex   sync.Mutex
	weights map[identifier.TargetName]map[identifier.ModelName]identifier.WeightVersion
	orders  map[identifier.TargetName]int
	busy    map[identifier.TargetName]bool
	// maxConcurrent is the highest number of concurrent loads; loads counts all of
	// them.
	maxConcurrent, loads int
	running              map[identifier.TargetName]int
	noLease              bool
	// unansweredOrders is the number of orders that get no answer and are carried out 5 s
	// later if their condition still holds.
	unansweredOrders int
}

const loadTime = 900 * time.Millisecond

func (f *fakeTargets) Published(key string, value []byte) (cataloger.PublishedRecord, error) {
	if key == "config" {
		return &cataloger.Configuration{Version: 1, Services: map[identifier.ServiceName]cataloger.Service{
			"s": {Name: "s", Engine: &cataloger.Engine{Slots: 8, Models: []identifier.ModelName{"m", "n"}}},
		}}, nil
	}
	return cataloger.DesiredVersion{Model: identifier.ModelName(key), Version: identifier.WeightVersion(value[0])}, nil
}

func (f *fakeTargets) Target(key string, _ []byte) (cataloger.Target, error) {
	return cataloger.Target{
		Name: identifier.TargetName(key), Service: "s", State: cataloger.StateReady,
		Weights: map[identifier.ModelName]identifier.WeightVersion{"m": 1, "n": 1},
	}, nil
}

func (f *fakeTargets) Token() (identifier.FencingToken, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return 7, !f.noLease
}

func (f *fakeTargets) Demand() map[identifier.ModelName]identifier.TokenCount { return nil }

func (f *fakeTargets) Status(_ context.Context, t cataloger.Target) (TargetStatus, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := TargetStatus{OrderInProgress: f.busy[t.Name], OrdersAccepted: f.orders[t.Name], Running: f.running[t.Name], Weights: make(map[identifier.ModelName]identifier.WeightVersion)}
	for m, v := range f.weights[t.Name] {
		r.Weights[m] = v
	}
	return r, nil
}

func (f *fakeTargets) Load(_ context.Context, t cataloger.Target, o LoadOrder) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unansweredOrders > 0 {
		f.unansweredOrders--
		time.AfterFunc(5*time.Second, func() {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			_ = f.startLoad(t, o) // the answer is lost
		})
		return errors.New("no answer")
	}
	return f.startLoad(t, o)
}

// startLoad starts a load. The caller holds the mutex.
func (f *fakeTargets) startLoad(t cataloger.Target, o LoadOrder) error {
	if o.OrdersAccepted != f.orders[t.Name] || f.busy[t.Name] {
		return errors.WithStack(ErrRefused)
	}
	f.orders[t.Name]++
	f.loads++
	f.busy[t.Name] = true
	f.maxConcurrent = max(f.maxConcurrent, len(f.busy))
	time.AfterFunc(loadTime, func() {
		f.mutex.Lock()
		delete(f.busy, t.Name)
		f.weights[t.Name][o.Model] = o.Version
		f.mutex.Unlock()
		f.catalog.RecordWeights(t.Name, o.Model, o.Version)
	})
	return nil
}

// runWithTargets runs f in virtual time with n targets and a running Updater.
func runWithTargets(t *testing.T, n int, f func(fake *fakeTargets)) {
	synctest.Test(t, func(*testing.T) {
		clock := clockwork.NewRealClock()
		fake := &fakeTargets{
			weights: make(map[identifier.TargetName]map[identifier.ModelName]identifier.WeightVersion),
			orders:  make(map[identifier.TargetName]int), busy: make(map[identifier.TargetName]bool), running: make(map[identifier.TargetName]int),
		}
		fake.catalog = cataloger.New(clock, fake)
		fake.catalog.PublishedSink().Reset([]storer.Record{{Key: "config", Value: []byte("x")}})
		var records []storer.Record
		for k := range n {
			name := fmt.Sprintf("e%02d", k)
			records = append(records, storer.Record{Key: name, Value: []byte("x")})
			fake.weights[identifier.TargetName(name)] = map[identifier.ModelName]identifier.WeightVersion{"m": 1, "n": 1}
		}
		fake.catalog.TargetSink().Reset(records)
		u := New(clock, fake.catalog, fake, fake, fake, "self")
		ctx, cancel := context.WithCancel(context.Background())
		var tasks conc.WaitGroup
		tasks.Go(func() { u.Run(ctx) })
		f(fake)
		cancel()
		tasks.Wait()
		time.Sleep(2 * loadTime)
	})
}

func (f *fakeTargets) announce(m string, v byte) {
	f.catalog.PublishedSink().Apply([]storer.Record{{Key: m, Value: []byte{v}}})
}

// counts returns the highest number of concurrent loads and the number of all loads.
func (f *fakeTargets) counts() (maxConcurrent, loads int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.maxConcurrent, f.loads
}

// countAtLeast returns how many targets have at least the given version of a model.
func (f *fakeTargets) countAtLeast(m identifier.ModelName, v identifier.WeightVersion) (count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, w := range f.weights {
		if w[m] >= v {
			count++
		}
	}
	return count
}

func TestRun_EveryStepFindsEnoughTargets(t *testing.T) {
	runWithTargets(t, 9, func(fake *fakeTargets) {
		for v := byte(2); v < 8; v++ {
			fake.announce("m", v)
			fake.announce("n", v)
			// A step that requires this version may also use the version before it.
			for _, m := range []identifier.ModelName{"m", "n"} {
				if n := fake.countAtLeast(m, identifier.WeightVersion(v-1)); n < 4 {
					t.Errorf("version %d of %s: %d targets can serve", v, m, n)
				}
			}
			// Nine loads, two at a time, take 4.5 s; a step and its training take 5 s
			// on the users' sheets.
			time.Sleep(5 * time.Second)
		}
		maxConcurrent, loads := fake.counts()
		if maxConcurrent > minConcurrentLoads {
			t.Errorf("%d targets loaded at once", maxConcurrent)
		}
		if limit := 6 * 9; loads > limit {
			t.Errorf("%d loads for 6 versions of two models, more than the %d that one model each would take", loads, limit)
		}
	})
}

func TestRun_IdleTargetsLoadFirst(t *testing.T) {
	runWithTargets(t, 9, func(fake *fakeTargets) {
		fake.mutex.Lock()
		for k := range 4 {
			fake.running[identifier.TargetName(fmt.Sprintf("e%02d", k))] = 3
		}
		fake.mutex.Unlock()
		fake.announce("m", 2)
		time.Sleep(1800 * time.Millisecond)
		fake.mutex.Lock()
		defer fake.mutex.Unlock()
		for k := range 4 {
			if name := identifier.TargetName(fmt.Sprintf("e%02d", k)); fake.orders[name] > 0 {
				t.Errorf("%s was loaded while it ran requests", name)
			}
		}
	})
}

func TestRun_UnansweredOrdersDelayNoOthers(t *testing.T) {
	runWithTargets(t, 9, func(fake *fakeTargets) {
		fake.mutex.Lock()
		fake.unansweredOrders = 4
		fake.mutex.Unlock()
		fake.announce("m", 2)
		time.Sleep(4500 * time.Millisecond)
		if n := fake.countAtLeast("m", 2); n < 4 {
			t.Errorf("%d targets have the version after 4.5 s", n)
		}
		time.Sleep(10 * time.Second)
		fake.mutex.Lock()
		defer fake.mutex.Unlock()
		for name, orders := range fake.orders {
			if orders > 1 {
				t.Errorf("%s has loaded %d times for one version", name, orders)
			}
		}
	})
}

func TestRun_SendsNoOrderWithoutTheLease(t *testing.T) {
	runWithTargets(t, 3, func(fake *fakeTargets) {
		fake.mutex.Lock()
		fake.noLease = true
		fake.mutex.Unlock()
		fake.announce("m", 2)
		time.Sleep(10 * time.Second)
		if _, loads := fake.counts(); loads != 0 {
			t.Errorf("%d loads", loads)
		}
	})
}

func TestTargetQuotas_AddUpAndKeepTheEqualShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "targets")
		models := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{3}"), 1, 6, rapid.ID[string]).Draw(t, "models")
		demand := make(map[identifier.ModelName]identifier.TokenCount)
		var names []identifier.ModelName
		for _, m := range models {
			names = append(names, identifier.ModelName(m))
			demand[identifier.ModelName(m)] = identifier.TokenCount(rapid.Uint32().Draw(t, "demand"))
		}
		quotas, total := TargetQuotas(n, names, demand), 0
		for _, m := range names {
			total += quotas[m]
			if least := int(float64(n) * equalShare / float64(len(names))); quotas[m] < least {
				t.Errorf("%s gets %d, less than %d", m, quotas[m], least)
			}
		}
		if diff := cmp.Diff(n, total); diff != "" {
			t.Error(diff)
		}
	})
}
