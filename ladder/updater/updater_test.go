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

// engines are targets that load weights, and the lease.
type engines struct {
	catalog *cataloger.Cataloger

	mutex   sync.Mutex
	weights map[identifier.TargetName]map[identifier.ModelName]identifier.WeightVersion
	orders  map[identifier.TargetName]int
	busy    map[identifier.TargetName]bool
	// most is how many have loaded at once; loads counts them all.
	most, loads int
	running     map[identifier.TargetName]int
	noLease     bool
	// unanswered is how many orders get no answer and are carried out 5 s later
	// if their condition still holds.
	unanswered int
}

const loadTime = 900 * time.Millisecond

func (e *engines) Published(key string, value []byte) (cataloger.PublishedRecord, error) {
	if key == "config" {
		return &cataloger.Configuration{Version: 1, Services: map[identifier.ServiceName]cataloger.Service{
			"s": {Name: "s", Engine: &cataloger.Engine{Slots: 8, Models: []identifier.ModelName{"m", "n"}}},
		}}, nil
	}
	return cataloger.DesiredVersion{Model: identifier.ModelName(key), Version: identifier.WeightVersion(value[0])}, nil
}

func (e *engines) Target(key string, _ []byte) (cataloger.Target, error) {
	return cataloger.Target{
		Name: identifier.TargetName(key), Service: "s", State: cataloger.StateReady,
		Weights: map[identifier.ModelName]identifier.WeightVersion{"m": 1, "n": 1},
	}, nil
}

func (e *engines) Token() (identifier.FencingToken, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return 7, !e.noLease
}

func (e *engines) Demand() map[identifier.ModelName]identifier.TokenCount { return nil }

func (e *engines) Status(_ context.Context, t cataloger.Target) (TargetStatus, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := TargetStatus{OrderInProgress: e.busy[t.Name], OrdersAccepted: e.orders[t.Name], Running: e.running[t.Name], Weights: make(map[identifier.ModelName]identifier.WeightVersion)}
	for m, v := range e.weights[t.Name] {
		r.Weights[m] = v
	}
	return r, nil
}

func (e *engines) Load(_ context.Context, t cataloger.Target, o LoadOrder) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.unanswered > 0 {
		e.unanswered--
		time.AfterFunc(5*time.Second, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			_ = e.carryOut(t, o) // nobody waits for the answer
		})
		return errors.New("no answer")
	}
	return e.carryOut(t, o)
}

// carryOut begins a load. The caller holds the mutex.
func (e *engines) carryOut(t cataloger.Target, o LoadOrder) error {
	if o.OrdersAccepted != e.orders[t.Name] || e.busy[t.Name] {
		return errors.WithStack(ErrRefused)
	}
	e.orders[t.Name]++
	e.loads++
	e.busy[t.Name] = true
	e.most = max(e.most, len(e.busy))
	time.AfterFunc(loadTime, func() {
		e.mutex.Lock()
		delete(e.busy, t.Name)
		e.weights[t.Name][o.Model] = o.Version
		e.mutex.Unlock()
		e.catalog.RecordWeights(t.Name, o.Model, o.Version)
	})
	return nil
}

// inBubble runs f with n engines under an Updater.
func inBubble(t *testing.T, n int, f func(e *engines)) {
	synctest.Test(t, func(*testing.T) {
		clock := clockwork.NewRealClock()
		e := &engines{
			weights: make(map[identifier.TargetName]map[identifier.ModelName]identifier.WeightVersion),
			orders:  make(map[identifier.TargetName]int), busy: make(map[identifier.TargetName]bool), running: make(map[identifier.TargetName]int),
		}
		e.catalog = cataloger.New(clock, e)
		e.catalog.PublishedSink().Reset([]storer.Record{{Key: "config", Value: []byte("x")}})
		var records []storer.Record
		for k := range n {
			name := fmt.Sprintf("e%02d", k)
			records = append(records, storer.Record{Key: name, Value: []byte("x")})
			e.weights[identifier.TargetName(name)] = map[identifier.ModelName]identifier.WeightVersion{"m": 1, "n": 1}
		}
		e.catalog.TargetSink().Reset(records)
		u := New(clock, e.catalog, e, e, e, "self")
		ctx, cancel := context.WithCancel(context.Background())
		var tasks conc.WaitGroup
		tasks.Go(func() { u.Run(ctx) })
		f(e)
		cancel()
		tasks.Wait()
		time.Sleep(2 * loadTime)
	})
}

func (e *engines) name(m string, v byte) {
	e.catalog.PublishedSink().Apply([]storer.Record{{Key: m, Value: []byte{v}}})
}

// counts returns how many have loaded at once at most, and all loads.
func (e *engines) counts() (most, loads int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.most, e.loads
}

// atLeast counts the engines with a version of a model.
func (e *engines) atLeast(m identifier.ModelName, v identifier.WeightVersion) (count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, w := range e.weights {
		if w[m] >= v {
			count++
		}
	}
	return count
}

func TestRun_EveryStepFindsEnoughEngines(t *testing.T) {
	inBubble(t, 9, func(e *engines) {
		for v := byte(2); v < 8; v++ {
			e.name("m", v)
			e.name("n", v)
			// The step that belongs to the version may use the one before.
			for _, m := range []identifier.ModelName{"m", "n"} {
				if n := e.atLeast(m, identifier.WeightVersion(v-1)); n < 4 {
					t.Errorf("version %d of %s: %d engines can serve", v, m, n)
				}
			}
			// Nine loads, two at a time, take 4.5 s; a step and its training
			// take 5 s on the users' sheets.
			time.Sleep(5 * time.Second)
		}
		most, loads := e.counts()
		if most > leastLoads {
			t.Errorf("%d engines loaded at once", most)
		}
		if limit := 6 * 9; loads > limit {
			t.Errorf("%d loads for 6 versions of two models, more than the %d that one model each would take", loads, limit)
		}
	})
}

func TestRun_IdleEnginesLoadFirst(t *testing.T) {
	inBubble(t, 9, func(e *engines) {
		e.mutex.Lock()
		for k := range 4 {
			e.running[identifier.TargetName(fmt.Sprintf("e%02d", k))] = 3
		}
		e.mutex.Unlock()
		e.name("m", 2)
		time.Sleep(1800 * time.Millisecond)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		for k := range 4 {
			if name := identifier.TargetName(fmt.Sprintf("e%02d", k)); e.orders[name] > 0 {
				t.Errorf("%s was loaded while it ran requests", name)
			}
		}
	})
}

func TestRun_OrdersWithoutAnAnswerHoldUpNoOthers(t *testing.T) {
	inBubble(t, 9, func(e *engines) {
		e.mutex.Lock()
		e.unanswered = 4
		e.mutex.Unlock()
		e.name("m", 2)
		time.Sleep(4500 * time.Millisecond)
		if n := e.atLeast("m", 2); n < 4 {
			t.Errorf("%d engines have the version after 4.5 s", n)
		}
		time.Sleep(10 * time.Second)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		for name, orders := range e.orders {
			if orders > 1 {
				t.Errorf("%s has loaded %d times for one version", name, orders)
			}
		}
	})
}

func TestRun_NoOrderWithoutTheLease(t *testing.T) {
	inBubble(t, 3, func(e *engines) {
		e.mutex.Lock()
		e.noLease = true
		e.mutex.Unlock()
		e.name("m", 2)
		time.Sleep(10 * time.Second)
		if _, loads := e.counts(); loads != 0 {
			t.Errorf("%d loads", loads)
		}
	})
}

func TestQuotas_DealOutAllAndStarveNone(t *testing.T) {
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
			if least := int(float64(n) * evenShare / float64(len(names))); quotas[m] < least {
				t.Errorf("%s gets %d, less than %d", m, quotas[m], least)
			}
		}
		if diff := cmp.Diff(n, total); diff != "" {
			t.Error(diff)
		}
	})
}
