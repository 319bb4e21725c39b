package quarantiner_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/converger"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
)

const (
	poison     = "poison"
	tokenTime  = 50 * time.Millisecond
	quarantine = 10 * time.Minute
	// mostCrashes is two with others beside, and one alone.
	mostCrashes = 3
)

// mortalEngine crashes whenever it runs the poison.
type mortalEngine struct {
	*faker.Engine
	crashes *atomic.Int64
}

func (m mortalEngine) Do(ctx context.Context, w caller.Work, sink func(caller.Chunk) error) (int, error) {
	if bytes.Contains(w.Body, []byte(poison)) {
		time.AfterFunc(2*tokenTime+tokenTime/2, func() {
			m.crashes.Add(1)
			m.Crash()
		})
	}
	return m.Engine.Do(ctx, w, sink)
}

type fixed struct{}

func (fixed) For(identifier.ServiceName, int, int) (messenger.Configuration, bool) {
	return messenger.Configuration{Revision: 1, Slots: 8, QueueLimit: 100, CrashQuarantine: quarantine}, true
}

// rig is some entries and targets in virtual time.
type rig struct {
	ctx     context.Context
	clock   clockwork.Clock
	network *faker.Network
	tasks   conc.WaitGroup
	entries []*dispatcher.Dispatcher
	crashes atomic.Int64
}

// newRig starts two entries with links to the targets, which know of a third
// one that isn't up yet.
func newRig(ctx context.Context, targets int) *rig {
	r := &rig{ctx: ctx, clock: clockwork.NewRealClock(), network: faker.NewNetwork()}
	r.addEntry()
	r.addEntry()
	ledger := faker.NewLedger()
	for n := range targets {
		name := identifier.TargetName(fmt.Sprint("engine-", n))
		e := faker.NewEngine(r.clock, name, ledger, faker.EngineOptions{Slots: 8, TokenTime: tokenTime, Version: 1, Stamps: true})
		options := supervisor.Options{
			Executor: executor.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(),
			StaticEntries: []string{"entry-0", "entry-1", "entry-2"}, ListInterval: time.Minute,
		}
		options.Executor.Target, options.Executor.Service, options.Executor.ModelEngine = name, "model", true
		options.Executor.Incarnation = identifier.NewIncarnation()
		s := supervisor.New(r.clock, mortalEngine{e, &r.crashes}, r.network.Dialer(string(options.Executor.Target)), nil, options)
		r.tasks.Go(func() { s.Run(ctx) })
	}
	time.Sleep(time.Second)
	return r
}

func (r *rig) addEntry() {
	name := fmt.Sprint("entry-", len(r.entries))
	options := dispatcher.DefaultOptions()
	options.Entry, options.Incarnation = identifier.EntryName(name), identifier.NewIncarnation()
	random := rand.New(rand.NewPCG(1, uint64(len(r.entries))))
	d := dispatcher.New(r.clock, router.New(r.clock, random, router.LeastInFlight{}), heartbeater.New(r.clock, heartbeater.DefaultOptions()),
		limiter.NewRetryBudget(1, 100), converger.NewGoals(r.clock), fixed{}, options)
	r.entries = append(r.entries, d)
	r.network.Listen(name, func(_ string, l messenger.Link) { _ = d.Serve(r.ctx, l) })
}

func (r *rig) send(entry int, prompt string) dispatcher.Outcome {
	return r.entries[entry].Dispatch(r.ctx, dispatcher.Request{
		ID: identifier.NewRequestID(), Team: "team", Class: identifier.ClassLive, Service: "model", Call: "generate",
		Body: faker.Prompt{Prompt: prompt, MaxTokens: 6}.Body(), Idempotent: true, Deadline: r.clock.Now().Add(time.Minute),
	})
}

// sendUntil sends every pause until the time is over, and returns the last
// outcome and how many were whole and its own.
func (r *rig) sendUntil(end time.Time, pause time.Duration, entry int, prompt func(n int) string) (last dispatcher.Outcome, whole, sent int) {
	for ; r.clock.Now().Before(end); sent++ {
		p := prompt(sent)
		last = r.send(entry, p)
		if c, ok := last.(dispatcher.Completed); ok && strings.Count(string(c.Body), p+":") == 6 {
			whole++
		}
		time.Sleep(pause)
	}
	return last, whole, sent
}

func TestCrashes_OneRequestIsStoppedAndTheRestSurvives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newRig(ctx, 4)
		end := r.clock.Now().Add(2 * time.Minute)
		var callers conc.WaitGroup
		for entry := range 2 {
			// The poison, sent again and again, an equal neighbour that is always
			// beside it, and work that differs each time.
			callers.Go(func() {
				last, _, _ := r.sendUntil(end, 100*time.Millisecond, entry, func(int) string { return poison })
				if n, ok := last.(dispatcher.NotRun); !ok || n.Code != dispatcher.CodeCrashesTargets || n.RetryAfter <= 0 {
					t.Errorf("poison at entry %d: %#v, want not-run with when to come back", entry, last)
				}
			})
			callers.Go(func() { r.expectWhole(t, end, entry, func(int) string { return "neighbour" }) })
			for k := range 4 {
				callers.Go(func() {
					r.expectWhole(t, end, entry, func(n int) string { return fmt.Sprintf("work-%d-%d-%d", entry, k, n) })
				})
			}
		}
		callers.Wait()
		t.Log("crashes", r.crashes.Load())
		if n := r.crashes.Load(); n < 2 || n > mostCrashes {
			t.Errorf("%d crashes, want 2 to %d", n, mostCrashes)
		}
		before := r.crashes.Load()
		r.addEntry()
		time.Sleep(5 * time.Second)
		_, neighbour := r.send(2, "neighbour").(dispatcher.Completed)
		n, refused := r.send(2, poison).(dispatcher.NotRun)
		got := []any{neighbour, refused, n.Code, r.crashes.Load()}
		if diff := cmp.Diff([]any{true, true, dispatcher.CodeCrashesTargets, before}, got); diff != "" {
			t.Errorf("at an entry linked later: neighbour whole, poison refused, code, crashes (-want +got):\n%s", diff)
		}
		cancel()
		r.tasks.Wait()
		r.network.Wait()
	})
}

func (r *rig) expectWhole(t *testing.T, end time.Time, entry int, prompt func(int) string) {
	if last, whole, sent := r.sendUntil(end, 10*time.Millisecond, entry, prompt); whole != sent {
		t.Errorf("%s at entry %d: %d of %d whole, last %#v", prompt(0), entry, whole, sent, last)
	}
}
