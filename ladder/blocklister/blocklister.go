// Package blocklister shares among all hosts which requests targets have failed
// under, and blocks those that crash every target that runs them.
package blocklister

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/batcher"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/replicator"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A request that crashes targets may be repeated at any host, so what one host has
// seen must reach the others: each failure is stored as a record under the
// request's fingerprint. A request that many callers send is running at most
// failures of targets, whatever their cause, but it also succeeds, which one that
// crashes every target never does. A success therefore deletes the failures.
// Package quarantiner does the same over links to sidecars and runs suspects alone;
// the entries here have no such links and can't run one alone.

const (
	// failuresToBlock is how many target incarnations must have failed under a
	// request. A higher number would let retries crash too many more targets.
	failuresToBlock = 3
	// retention is how long a failure counts.
	retention = 5 * time.Minute
)

// Blocklister knows the failures seen by all hosts.
type Blocklister struct {
	clock      clockwork.Clock
	replicator *replicator.Replicator
	batcher    *batcher.Batcher

	mutex sync.Mutex
	// failures has, for each request, when each incarnation of a target failed, according to
	// the store; own has those that this host has seen, which the store may not have yet.
	failures, own failureTimes
}

// failureTimes has when each incarnation of a target failed, by request.
type failureTimes map[identifier.Fingerprint]map[string]time.Time

func (f failureTimes) add(request identifier.Fingerprint, incarnation string, at time.Time) {
	if f[request] == nil {
		f[request] = make(map[string]time.Time)
	}
	f[request][incarnation] = at
}

func (f failureTimes) remove(request identifier.Fingerprint, incarnation string) {
	delete(f[request], incarnation)
	if len(f[request]) == 0 {
		delete(f, request)
	}
}

// New returns a Blocklister that knows no failures until Run.
func New(clock clockwork.Clock, log storer.Log, p storer.Partition) *Blocklister {
	b := &Blocklister{clock: clock, batcher: batcher.New(clock, log, p), own: make(failureTimes)}
	b.replicator = replicator.New(clock, log, p, b, func() {})
	b.Reset(nil)
	return b
}

// Run writes failures and follows the stored ones until ctx ends.
func (b *Blocklister) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { recoverer.RestartOnPanic(ctx, b.clock, "records of target failures", b.batcher.Run) })
	b.replicator.Run(ctx)
}

// Reset implements storer.Sink.
func (b *Blocklister) Reset(records []storer.Record) {
	b.mutex.Lock()
	b.failures = make(failureTimes)
	b.mutex.Unlock()
	b.Apply(records)
}

// Apply implements storer.Sink.
func (b *Blocklister) Apply(records []storer.Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, r := range records {
		hash, incarnation, ok := strings.Cut(r.Key, "/")
		n, err := strconv.ParseUint(hash, 16, 64)
		if !ok || err != nil {
			klog.InfoS("unreadable break left out", "key", r.Key, "offset", r.Offset)
			continue
		}
		f := identifier.Fingerprint(n)
		if len(r.Value) == 0 {
			b.failures.remove(f, incarnation)
			b.own.remove(f, incarnation)
			continue
		}
		b.failures.add(f, incarnation, b.clock.Now())
		if len(b.failures[f]) == failuresToBlock {
			klog.InfoS("request convicted, targets break off under it", "fingerprint", hash, "targets", len(b.failures[f]), "offset", r.Offset)
		}
	}
}

// BrokeOff records that the target failed without a response while it ran the request.
func (b *Blocklister) BrokeOff(f identifier.Fingerprint, t cataloger.Target) {
	incarnation := fmt.Sprintf("%s/%d", t.Name, t.StartID)
	b.mutex.Lock()
	b.own.add(f, incarnation, b.clock.Now())
	b.mutex.Unlock()
	b.batcher.Add(storer.Record{Key: keyOf(f, incarnation), Value: []byte("1")})
}

// Succeeded records that a target has run the request to its end.
func (b *Blocklister) Succeeded(f identifier.Fingerprint) {
	b.mutex.Lock()
	stored, own := b.failures[f], b.own[f]
	delete(b.failures, f)
	delete(b.own, f)
	b.mutex.Unlock()
	if len(stored)+len(own) == 0 {
		return
	}
	klog.InfoS("request acquitted, a target has run it", "fingerprint", fmt.Sprintf("%016x", uint64(f)), "failures", len(stored)+len(own))
	for _, failures := range []map[string]time.Time{stored, own} {
		for incarnation := range failures {
			b.batcher.Add(storer.Record{Key: keyOf(f, incarnation)})
		}
	}
}

func keyOf(f identifier.Fingerprint, incarnation string) string {
	return fmt.Sprintf("%016x/%s", uint64(f), incarnation)
}

// Convicted reports whether the request must not be sent to any target.
func (b *Blocklister) Convicted(f identifier.Fingerprint) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	recent := make(map[string]bool)
	for _, failures := range []failureTimes{b.failures, b.own} {
		for incarnation, at := range failures[f] {
			if b.clock.Since(at) < retention {
				recent[incarnation] = true
			}
		}
	}
	return len(recent) >= failuresToBlock
}

// Sweep deletes the records of failures that no longer count, until ctx ends.
func (b *Blocklister) Sweep(ctx context.Context) {
	for {
		select {
		case <-b.clock.After(retention / 2):
		case <-ctx.Done():
			return
		}
		b.forgetOwn()
		err := b.replicator.Append(ctx, b.expired)
		if err != nil && ctx.Err() == nil {
			klog.InfoS("old breaks not dropped yet", "err", err)
		}
	}
}

// forgetOwn drops what this host has seen and what no longer counts.
func (b *Blocklister) forgetOwn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for f, failures := range b.own {
		maps.DeleteFunc(failures, func(_ string, at time.Time) bool { return b.clock.Since(at) >= retention })
		if len(failures) == 0 {
			delete(b.own, f)
		}
	}
}

func (b *Blocklister) expired() (records []storer.Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for f, failures := range b.failures {
		for incarnation, at := range failures {
			if b.clock.Since(at) >= retention {
				records = append(records, storer.Record{Key: keyOf(f, incarnation)})
			}
		}
	}
	return records
}
