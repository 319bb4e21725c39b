package confirmer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// decoder makes each record a target that started at the clock's start, and each published
// record a configuration.
type decoder struct{}

func (decoder) Published(string, []byte) (cataloger.PublishedRecord, error) {
	return &cataloger.Configuration{Version: 1, Services: map[identifier.ServiceName]cataloger.Service{"s": {Name: "s", HealthPath: "/health"}}}, nil
}

func (decoder) Target(key string, _ []byte) (cataloger.Target, error) {
	return cataloger.Target{Name: identifier.TargetName(key), StartID: time.Now().UnixMilli(), Service: "s", State: cataloger.StateReady}, nil
}

// answeringTargets answer health checks.
type answeringTargets struct {
	catalog *cataloger.Cataloger
	// leaves and silentFor say how targets answer.
	leaves    map[identifier.TargetName]bool
	silentFor map[identifier.TargetName]time.Duration
	start     time.Time

	mutex  sync.Mutex
	checks map[identifier.TargetName]int
}

func (a *answeringTargets) CheckHealth(ctx context.Context, t cataloger.Target, path string) error {
	a.mutex.Lock()
	a.checks[t.Name]++
	a.mutex.Unlock()
	if path != "/health" {
		return errors.Errorf("path %q", path)
	}
	if time.Since(a.start) < a.silentFor[t.Name] {
		<-ctx.Done()
		return ctx.Err()
	}
	if a.leaves[t.Name] {
		a.catalog.RecordLeaving(t.Incarnation(), time.Now())
	}
	return nil
}

// Guards against targets in doubt that stay out of use, or that are used although they leave.
func TestRun_AsksTargetsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		catalog := cataloger.New(clock, decoder{})
		catalog.PublishedSink().Apply([]storer.Record{{Key: "config", Value: []byte("1")}})
		targets := &answeringTargets{
			catalog: catalog, leaves: map[identifier.TargetName]bool{"leaves": true},
			silentFor: map[identifier.TargetName]time.Duration{"slow": 1200 * time.Millisecond, "dead": time.Hour},
			start:     time.Now(), checks: make(map[identifier.TargetName]int),
		}
		var records []storer.Record
		for _, name := range []string{"stays", "leaves", "slow", "dead", "known"} {
			records = append(records, storer.Record{Key: name, Value: []byte("1")})
			if name != "known" {
				catalog.RecordLeaving(cataloger.Incarnation{Name: identifier.TargetName(name)}, time.Now())
			}
		}
		catalog.TargetSink().Reset(records)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); New(clock, catalog, targets).Run(ctx) }()
		time.Sleep(2500 * time.Millisecond)
		cancel()
		<-done
		var ready []identifier.TargetName
		for _, target := range catalog.ReadyTargets("s") {
			ready = append(ready, target.Name)
		}
		if diff := cmp.Diff([]identifier.TargetName{"known", "slow", "stays"}, ready); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[identifier.TargetName]int{"stays": 1, "leaves": 1, "slow": 3, "dead": 3}, targets.checks); diff != "" {
			t.Error("health checks: " + diff)
		}
	})
}
