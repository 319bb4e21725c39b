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

// balancer is the platform's: it sends calls to entries that say they are
// ready, and asks them now and then.
type balancer struct {
	listen []string
	ready  []atomic.Bool
	next   atomic.Uint64
}

func newBalancer(listen []string) *balancer {
	return &balancer{listen: listen, ready: make([]atomic.Bool, len(listen))}
}

// run asks every entry until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for n, address := range b.listen {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/v1/ready", conditionTimeout)
			b.ready[n].Store(err == nil && status == http.StatusOK)
		}
		waitPollInterval()
	}
}

// nextEntry returns the address for the next call.
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

// callResults is what callers saw.
type callResults struct {
	mutex    sync.Mutex
	calls    int
	failures []string
}

func (l *callResults) add(kind string, a callResult, whole bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.calls++
	if !whole {
		l.failures = append(l.failures, kind+": "+a.String())
	}
}

func (l *callResults) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls
}

// callUntil makes calls of every kind until ctx ends, one at a time.
func (l *callResults) callUntil(ctx context.Context, b *balancer, caller int) {
	const tokens = 100
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("c%dk%d", caller, k)
		switch k % 4 {
		case 0:
			a := asStream(generateCall(b.nextEntry(ctx), id, tokens)).do()
			l.add("stream", a, a.complete && isCompleteGeneration(a.body, id, tokens))
		case 1:
			a := generateCall(b.nextEntry(ctx), id, tokens).do()
			l.add("unstreamed", a, a.complete && isCompleteGeneration(generatedText(a), id, tokens))
		case 2:
			c := reserveCall(b.nextEntry(ctx), id)
			c.key = newKey()
			a := c.do()
			l.add("keyed reservation", a, a.complete && echoedBody(a) == string(c.body))
		case 3:
			c := reserveCall(b.nextEntry(ctx), id)
			a := c.do()
			l.add("reservation without key", a, a.complete && echoedBody(a) == string(c.body))
		}
	}
}

// restartTarget stops a sidecar, then its target, and starts both anew.
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
	var l callResults
	b := newBalancer(s.listen)
	var tasks conc.WaitGroup
	tasks.Go(func() { b.run(ctx) })
	for n := range callers {
		tasks.Go(func() { l.callUntil(ctx, b, n) })
	}
	taken := make(map[identifier.SampleID]int)
	trained := make(chan error, 1)
	go func() { trained <- s.train(ctx, taken, groups, samples, tokens) }()
	s.restartAll(&l, b)
	if err := <-trained; err != nil {
		t.Errorf("trainer: %s", err)
	}
	cancel()
	tasks.Wait()
	if len(taken) != groups*samples {
		t.Errorf("%d samples taken, want %d", len(taken), groups*samples)
	}
	t.Logf("%d calls, %d failed", l.count(), len(l.failures))
	for _, f := range l.failures {
		t.Error(f)
	}
}

func (s *system) restartAll(l *callResults, b *balancer) {
	s.t.Helper()
	for n := range s.entries {
		s.awaitMoreCalls(l)
		s.restartEntry(b, n)
	}
	for n := range s.engines {
		s.awaitMoreCalls(l)
		s.restartTarget(instanceName("engine", n), s.engines[n])
		s.restartTarget(instanceName("stock", n), s.plainServices[n])
		s.restartTarget(instanceName("scorer", n), s.scorers[n])
	}
	s.awaitMoreCalls(l)
}

// awaitMoreCalls waits until some more calls have been answered.
func (s *system) awaitMoreCalls(l *callResults) {
	s.t.Helper()
	const more = 100
	before := l.count()
	eventually(s.t, "more calls", func() bool { return l.count() > before+more })
}

// train takes one group after the other.
func (s *system) train(ctx context.Context, taken map[identifier.SampleID]int, groups, samples, tokens int) error {
	f := s.newFetcher()
	for n := range groups {
		g := newGroup(fmt.Sprintf("group%d", n), samples, tokens)
		if err := f.Submit(ctx, []deliverer.Group{g}); err != nil {
			return err
		}
		if err := receiveSamples(ctx, f, taken, samples, map[identifier.GroupID]int{g.ID: tokens}); err != nil {
			return err
		}
	}
	if duplicates, _ := f.Discarded(); f.Missing() != 0 {
		return fmt.Errorf("%d samples missing, %d came twice", f.Missing(), duplicates)
	}
	return nil
}
