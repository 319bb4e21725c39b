package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// balancer simulates the platform's load balancer. It polls the entries and sends
// calls only to those that report ready.
type balancer struct {
	listen []string
	ready  []atomic.Bool
	next   atomic.Uint64
}

func newBalancer(listen []string) *balancer {
	return &balancer{listen: listen, ready: make([]atomic.Bool, len(listen))}
}

// run polls every entry until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for n, address := range b.listen {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/v1/ready", conditionTimeout)
			b.ready[n].Store(err == nil && status == http.StatusOK)
		}
		waitPollInterval()
	}
}

// nextEntry returns the addresses of the ready entries in turn. It waits until
// one is ready or ctx ends.
func (b *balancer) nextEntry(ctx context.Context) string {
	for ctx.Err() == nil {
		for range b.listen {
			n := int(b.next.Add(1)) % len(b.listen)
			if b.ready[n].Load() {
				return b.listen[n]
			}
		}
		waitPollInterval()
	}
	return b.listen[0]
}

// callResults collects the results of all callers.
type callResults struct {
	mutex    sync.Mutex
	calls    int
	failures []string
}

func (r *callResults) add(kind string, result callResult, succeeded bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls++
	if !succeeded {
		r.failures = append(r.failures, kind+": "+result.String())
	}
}

func (r *callResults) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.calls
}

// callUntil makes calls of each kind in turn, one at a time, until ctx ends.
func (r *callResults) callUntil(ctx context.Context, b *balancer, caller int) {
	const tokens = 100
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("c%dk%d", caller, k)
		switch k % 4 {
		case 0:
			result := asStream(generateCall(b.nextEntry(ctx), id, tokens)).do()
			r.add("stream", result, result.complete && isCompleteGeneration(result.body, id, tokens))
		case 1:
			result := generateCall(b.nextEntry(ctx), id, tokens).do()
			r.add("unstreamed", result, result.complete && isCompleteGeneration(generatedText(result), id, tokens))
		case 2:
			c := reserveCall(b.nextEntry(ctx), id)
			c.key = newIdempotencyKey()
			result := c.do()
			r.add("keyed reservation", result, result.complete && echoedBody(result) == string(c.body))
		case 3:
			c := reserveCall(b.nextEntry(ctx), id)
			result := c.do()
			r.add("reservation without key", result, result.complete && echoedBody(result) == string(c.body))
		}
	}
}

// restartTarget stops a sidecar and then its back end, and launches the back end
// and then the sidecar.
func (s *system) restartTarget(name string, t *target) {
	s.t.Helper()
	t.sidecar.stop()
	t.backend.stop()
	t.backend.launch()
	t.sidecar.launch()
	s.awaitLinked(name)
}

func (s *system) restartEntry(b *balancer, n int) {
	s.t.Helper()
	s.entries[n].stop()
	s.entries[n].launch()
	eventually(s.t, "the entry to be ready", b.ready[n].Load)
}

func TestRestartOneByOne_NothingCutOff(t *testing.T) {
	const callers, groups, samples, tokens = 12, 12, 8, 150
	s := newSystem(t)
	for range 2 {
		s.addEngine("--token-time", "3ms", "--slots", "32")
		s.addPlainService("--call-for", "30ms")
		s.addScorer()
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var results callResults
	b := newBalancer(s.listen)
	var tasks conc.WaitGroup
	tasks.Go(func() { b.run(ctx) })
	for n := range callers {
		tasks.Go(func() { results.callUntil(ctx, b, n) })
	}
	received := make(map[identifier.SampleID]int)
	trainerDone := make(chan error, 1)
	go func() { trainerDone <- s.train(ctx, received, groups, samples, tokens) }()
	s.restartAll(&results, b)
	if err := <-trainerDone; err != nil {
		t.Errorf("trainer: %s", err)
	}
	cancel()
	tasks.Wait()
	if len(received) != groups*samples {
		t.Errorf("%d samples received, want %d", len(received), groups*samples)
	}
	t.Logf("%d calls, %d failed", results.count(), len(results.failures))
	for _, failure := range results.failures {
		t.Error(failure)
	}
}

func (s *system) restartAll(results *callResults, b *balancer) {
	s.t.Helper()
	for n := range s.entries {
		s.awaitMoreCalls(results)
		s.restartEntry(b, n)
	}
	for n := range s.engines {
		s.awaitMoreCalls(results)
		s.restartTarget(instanceName("engine", n), s.engines[n])
		s.restartTarget(instanceName("stock", n), s.plainServices[n])
		s.restartTarget(instanceName("scorer", n), s.scorers[n])
	}
	s.awaitMoreCalls(results)
}

// awaitMoreCalls waits until more than 100 further calls have ended.
func (s *system) awaitMoreCalls(results *callResults) {
	s.t.Helper()
	const additional = 100
	before := results.count()
	eventually(s.t, "more calls", func() bool { return results.count() > before+additional })
}

// train submits the groups one after the other and receives all samples of each.
func (s *system) train(ctx context.Context, received map[identifier.SampleID]int, groups, samples, tokens int) error {
	f := s.newFetcher()
	for n := range groups {
		submitted := newGroup(fmt.Sprintf("group%d", n), samples, tokens)
		if err := f.Submit(ctx, []deliverer.Group{submitted}); err != nil {
			return err
		}
		if err := receiveSamples(ctx, f, received, samples, map[identifier.GroupID]int{submitted.ID: tokens}); err != nil {
			return err
		}
	}
	if duplicates, _ := f.Discarded(); f.Missing() != 0 {
		return fmt.Errorf("%d samples missing, %d duplicates", f.Missing(), duplicates)
	}
	return nil
}
