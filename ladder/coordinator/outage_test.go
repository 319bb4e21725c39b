package coordinator_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const (
	retention = time.Hour
	liveKey   = "live-key"
	trainKey  = "train-key"
)

// hangingLog is a log that can stop answering: calls then end by their timeouts.
type hangingLog struct {
	*faker.Log
	silent atomic.Bool
}

func (l *hangingLog) Append(ctx context.Context, s identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	if l.silent.Load() {
		time.Sleep(3 * time.Second)
		return 0, appender.ErrOutcomeUnknown
	}
	return l.Log.Append(ctx, s, records)
}

func (l *hangingLog) Read(ctx context.Context, s identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
	if l.silent.Load() {
		time.Sleep(5 * time.Second)
		return appender.Page{}, context.DeadlineExceeded
	}
	return l.Log.Read(ctx, s, from, limit)
}

// newDocument returns a document with a live team that calls a plain service, and a
// trainer's team with its model's engines.
func newDocument() validator.Document {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	team := func(name identifier.TeamName, class identifier.PriorityClass, key string) validator.Team {
		return validator.Team{Name: name, Class: class, KeyHashes: []string{authorizer.HashKey(key)}, RequestsPerSecond: 100, Burst: 100, InFlightLimit: 8}
	}
	grant := func(t identifier.TeamName, s identifier.ServiceName) validator.Grant {
		return validator.Grant{Team: t, Service: s, Approval: approver.SignApproval(key, t, s, "owner", time.Date(2001, 1, 1, 0, 0, 0, 0, time.UTC))}
	}
	return validator.Document{
		Schema: validator.SchemaName, ID: "first", Author: "somchai",
		Operators: []validator.Operator{{Name: "somchai", KeyHash: authorizer.HashKey("operator")}},
		Owners:    []validator.Owner{{Name: "owner", PublicKey: base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))}},
		Models:    []validator.Model{{Name: "advice", Trainer: "trainer", StalenessBound: 1, VersionsInPlay: 2}},
		Services: []validator.Service{
			{Name: "spares", Kind: validator.KindPlain, Owner: "owner", Slots: 4, QueueLimit: 10},
			{Name: "engines", Kind: validator.KindModelEngine, Owner: "owner", Model: "advice", Slots: 4, QueueLimit: 10, AwayPercent: 100},
		},
		Teams:  []validator.Team{team("desk", identifier.ClassLive, liveKey), team("trainer", identifier.ClassRollout, trainKey)},
		Grants: []validator.Grant{grant("desk", "spares"), grant("trainer", "engines")},
		Limits: validator.Limits{MaxBodyBytes: 1 << 20, MaxTimeoutSeconds: 60, CrashQuarantineSeconds: 600},
	}
}

// testSystem is one entry with a plain service and an engine, in virtual time.
type testSystem struct {
	t     *testing.T
	ctx   context.Context
	entry *coordinator.Coordinator
	log   *hangingLog
	tasks conc.WaitGroup
}

func newTestSystem(t *testing.T, ctx context.Context) *testSystem {
	clock, network, ledger := clockwork.NewRealClock(), faker.NewNetwork(), faker.NewLedger()
	system := &testSystem{t: t, ctx: ctx, log: &hangingLog{Log: faker.NewLog(clock, faker.LogOptions{Retention: retention, Poll: 2 * time.Second})}}
	options := coordinator.Options{
		Dispatch: dispatcher.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(), Policy: router.LeastInFlight{},
		KeyMaxAge: retention / 2, SampleTimeout: time.Minute, LogRetention: retention,
	}
	options.Dispatch.Entry, options.Dispatch.Incarnation = "entry", identifier.NewIncarnation()
	system.entry = coordinator.New(clock, system.log, router.NewRandom(1), recorder.New(), options)
	network.Listen("entry", func(_ string, l messenger.Link) { _ = system.entry.ServeLink(ctx, l) })
	system.tasks.Go(func() { system.entry.Run(ctx) })
	start := func(name identifier.TargetName, service identifier.ServiceName, engine bool, target caller.Target) {
		o := supervisor.Options{Executor: executor.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(), StaticEntries: []string{"entry"}, ListInterval: time.Minute}
		o.Executor.Target, o.Executor.Service, o.Executor.ModelEngine, o.Executor.Incarnation = name, service, engine, identifier.NewIncarnation()
		s := supervisor.New(clock, target, network.Dialer(string(name)), nil, o)
		system.tasks.Go(func() { s.Run(ctx) })
	}
	start("spares-1", "spares", false, faker.NewService(clock, "spares-1", ledger, 10*time.Millisecond))
	start("engine-1", "engines", true, faker.NewEngine(clock, "engine-1", ledger, faker.EngineOptions{
		Slots: 4, TokenTime: 10 * time.Millisecond, LoadTime: time.Second, SwitchTime: 100 * time.Millisecond, Version: 1, Stamps: true,
	}))
	return system
}

// reserve makes a call that must run at most once, with or without an idempotency key.
func (system *testSystem) reserve(key identifier.IdempotencyKey) (kind string, took time.Duration, retryAfter bool) {
	start := time.Now()
	o := system.entry.Handle(system.ctx, coordinator.Call{
		ID: identifier.NewRequestID(), Key: liveKey, Service: "spares", Name: "reserve", Body: []byte("pendant"), IdempotencyKey: key,
	})
	switch o := o.(type) {
	case dispatcher.Completed:
		return string(o.Body), 0, false
	case dispatcher.NotRun:
		return "not-run " + string(o.Code), time.Since(start), o.RetryAfter > 0
	case dispatcher.Unknown:
		return "unknown " + string(o.Code), 0, false
	}
	return "", 0, false
}

// sample generates one sample and returns the weight version that generated it.
func (system *testSystem) sample(session identifier.SessionNumber, trained identifier.WeightVersion) identifier.WeightVersion {
	config, refusal := system.entry.TrainerPlan(trainKey, "advice")
	if refusal != authorizer.RefusalNone {
		system.t.Fatal(refusal)
	}
	group := deliverer.Group{ID: identifier.GroupID(fmt.Sprint("group-", session)), Samples: 1, Body: faker.Prompt{Prompt: "fit", MaxTokens: 4}.Body()}
	_ = system.entry.Deliverer().Open(deliverer.OpenRequest{Model: "advice", Session: session}, config)
	_ = system.entry.Deliverer().Submit(deliverer.SubmitRequest{Model: "advice", Session: session, Groups: []deliverer.Group{group}})
	ctx, cancel := context.WithTimeout(system.ctx, time.Minute)
	defer cancel()
	got, err := system.entry.Deliverer().Fetch(ctx, deliverer.FetchRequest{Model: "advice", Session: session, Version: trained, Limit: 1})
	if err != nil || len(got.Samples) != 1 {
		system.t.Errorf("no sample at version %d: %v", trained, err)
		return 0
	}
	return got.Samples[0].Spans[0].Version
}

func TestLogOutage_RefusesOnlyWhatNeedsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		system := newTestSystem(t, ctx)
		time.Sleep(5 * time.Second)
		if v, err := system.entry.Follower().Publish(ctx, newDocument()); err != nil || v != (accepter.Accepted{Revision: 1}) {
			t.Fatal(v, err)
		}
		time.Sleep(time.Second)
		if kind, _, _ := system.reserve(newKey()); kind != faker.AnswerOf([]byte("pendant")) {
			t.Errorf("keyed call before the outage: %s", kind)
		}
		system.log.silent.Store(true)
		for n := range 4 {
			time.Sleep(retention / 2)
			version := identifier.WeightVersion(n + 2)
			system.entry.AnnounceWeights(deliverer.AnnounceRequest{Model: "advice", Version: version})
			time.Sleep(5 * time.Second)
			sampled := system.sample(identifier.SessionNumber(n+1), version)
			plain, _, _ := system.reserve("")
			keyed, took, retryAfter := system.reserve(newKey())
			start := time.Now()
			next := newDocument()
			next.ID, next.Base = "second", 1
			publishCtx, cancelPublish := context.WithTimeout(ctx, 8*time.Second)
			_, err := system.entry.Follower().Publish(publishCtx, next)
			cancelPublish()
			got := []any{sampled, plain, keyed, took, retryAfter, err != nil, time.Since(start)}
			want := []any{version, faker.AnswerOf([]byte("pendant")), "not-run " + string(dispatcher.CodeLogUnavailable), time.Duration(0), true, true, time.Duration(0)}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("during the outage: sample's version, call without a key, call with a key, its duration, retry-after set, publishing refused, its duration (-want +got):\n%s", diff)
			}
		}
		system.log.silent.Store(false)
		time.Sleep(10 * time.Second)
		if kind, _, _ := system.reserve(newKey()); kind != faker.AnswerOf([]byte("pendant")) {
			t.Errorf("keyed call after the outage: %s", kind)
		}
		cancel()
		system.tasks.Wait()
	})
}

// newKey returns a key of the virtual time. The library's own clock for keys never goes
// back, so a second synctest bubble would get keys from the future.
func newKey() identifier.IdempotencyKey {
	id := uuid.Must(uuid.NewV7())
	milliseconds := time.Now().UnixMilli()
	for n := range 6 {
		id[n] = byte(milliseconds >> (40 - 8*n))
	}
	return identifier.IdempotencyKey(id.String())
}
