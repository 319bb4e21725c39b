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
	// maxCrashes is two with other requests running, and one alone.
	maxCrashes = 3
)

// crashingEngine crashes whenever it runs the poison prompt.
type crashingEngine struct {
	*faker.Engine
	crashes *atomic.Int64
}

func (e crashingEngine) Do(ctx context.Context, w caller.Work, sink func(caller.Chunk) error) (int, error) {
	if bytes.Contains(w.Body, []byte(poison)) {
		time.AfterFunc(2*tokenTime+tokenTime/2, func() {
			e.crashes.Add(1)
			e.Crash()
		})
	}
	return e.Engine.Do(ctx, w, sink)
}

type fixedConfiguration struct{}

func (fixedConfiguration) For(identifier.ServiceName, int, int) (messenger.Configuration, bool) {
	return messenger.Configuration{Revision: 1, Slots: 8, QueueLimit: 100, CrashQuarantine: quarantine}, true
}

// testCluster is a few entries and targets in virtual time.
type testCluster struct {
	ctx     context.Context
	clock   clockwork.Clock
	network *faker.Network
	tasks   conc.WaitGroup
	entries []*dispatcher.Dispatcher
	crashes atomic.Int64
}

// newTestCluster starts two entries that are linked to the targets. The targets
// also know the address of a third entry that isn't running yet.
func newTestCluster(ctx context.Context, targets int) *testCluster {
	c := &testCluster{ctx: ctx, clock: clockwork.NewRealClock(), network: faker.NewNetwork()}
	c.addEntry()
	c.addEntry()
	ledger := faker.NewLedger()
	for n := range targets {
		name := identifier.TargetName(fmt.Sprint("engine-", n))
		e := faker.NewEngine(c.clock, name, ledger, faker.EngineOptions{Slots: 8, TokenTime: tokenTime, Version: 1, Stamps: true})
		options := supervisor.Options{
			Executor: executor.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(),
			StaticEntries: []string{"entry-0", "entry-1", "entry-2"}, ListInterval: time.Minute,
		}
		options.Executor.Target, options.Executor.Service, options.Executor.ModelEngine = name, "model", true
		options.Executor.Incarnation = identifier.NewIncarnation()
		s := supervisor.New(c.clock, crashingEngine{e, &c.crashes}, c.network.Dialer(string(options.Executor.Target)), nil, options)
		c.tasks.Go(func() { s.Run(ctx) })
	}
	time.Sleep(time.Second)
	return c
}

func (c *testCluster) addEntry() {
	name := fmt.Sprint("entry-", len(c.entries))
	options := dispatcher.DefaultOptions()
	options.Entry, options.Incarnation = identifier.EntryName(name), identifier.NewIncarnation()
	random := rand.New(rand.NewPCG(1, uint64(len(c.entries))))
	d := dispatcher.New(c.clock, router.New(c.clock, random, router.LeastInFlight{}), heartbeater.New(c.clock, heartbeater.DefaultOptions()),
		limiter.NewRetryBudget(1, 100), converger.NewGoals(c.clock), fixedConfiguration{}, options)
	c.entries = append(c.entries, d)
	c.network.Listen(name, func(_ string, l messenger.Link) { _ = d.Serve(c.ctx, l) })
}

func (c *testCluster) send(entry int, prompt string) dispatcher.Outcome {
	return c.entries[entry].Dispatch(c.ctx, dispatcher.Request{
		ID: identifier.NewRequestID(), Team: "team", Class: identifier.ClassLive, Service: "model", Call: "generate",
		Body: faker.Prompt{Prompt: prompt, MaxTokens: 6}.Body(), Idempotent: true, Deadline: c.clock.Now().Add(time.Minute),
	})
}

// sendUntil sends a request every pause until end. It returns the last outcome,
// the number of complete answers to the right prompt and the number sent.
func (c *testCluster) sendUntil(end time.Time, pause time.Duration, entry int, prompt func(n int) string) (last dispatcher.Outcome, completed, sent int) {
	for ; c.clock.Now().Before(end); sent++ {
		p := prompt(sent)
		last = c.send(entry, p)
		if done, ok := last.(dispatcher.Completed); ok && strings.Count(string(done.Body), p+":") == 6 {
			completed++
		}
		time.Sleep(pause)
	}
	return last, completed, sent
}

func TestCrashes_CauseIsRefusedAndOtherRequestsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newTestCluster(ctx, 4)
		end := c.clock.Now().Add(2 * time.Minute)
		var callers conc.WaitGroup
		for entry := range 2 {
			// The poison prompt, repeated; an unchanging request that always runs
			// beside it; and requests that differ each time.
			callers.Go(func() {
				last, _, _ := c.sendUntil(end, 100*time.Millisecond, entry, func(int) string { return poison })
				if n, ok := last.(dispatcher.NotRun); !ok || n.Code != dispatcher.CodeCrashesTargets || n.RetryAfter <= 0 {
					t.Errorf("poison at entry %d: %#v, want NotRun with RetryAfter", entry, last)
				}
			})
			callers.Go(func() { c.expectComplete(t, end, entry, func(int) string { return "neighbour" }) })
			for k := range 4 {
				callers.Go(func() {
					c.expectComplete(t, end, entry, func(n int) string { return fmt.Sprintf("work-%d-%d-%d", entry, k, n) })
				})
			}
		}
		callers.Wait()
		t.Log("crashes", c.crashes.Load())
		if n := c.crashes.Load(); n < 2 || n > maxCrashes {
			t.Errorf("%d targets crashed, want 2 to %d", n, maxCrashes)
		}
		before := c.crashes.Load()
		c.addEntry()
		time.Sleep(5 * time.Second)
		_, neighbour := c.send(2, "neighbour").(dispatcher.Completed)
		n, refused := c.send(2, poison).(dispatcher.NotRun)
		got := []any{neighbour, refused, n.Code, c.crashes.Load()}
		if diff := cmp.Diff([]any{true, true, dispatcher.CodeCrashesTargets, before}, got); diff != "" {
			t.Errorf("at an entry linked later: neighbour completed, poison refused, code, crashes (-want +got):\n%s", diff)
		}
		cancel()
		c.tasks.Wait()
		c.network.Wait()
	})
}

func (c *testCluster) expectComplete(t *testing.T, end time.Time, entry int, prompt func(int) string) {
	if last, completed, sent := c.sendUntil(end, 10*time.Millisecond, entry, prompt); completed != sent {
		t.Errorf("%s at entry %d: %d of %d completed, last outcome %#v", prompt(0), entry, completed, sent, last)
	}
}
