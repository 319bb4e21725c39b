// Package blocklister shares among all hosts which requests targets have failed
// under, and blocks those that crash every target that runs them.
package blocklister

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/replicator"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A request that crashes targets may be repeated at any host, so what one host has
// seen must reach the others: each failure is stored as a record under the
// request's fingerprint. A request that merely ran beside the cause meets other
// targets when it is repeated, and is very unlikely to be running at three
// failures. Package quarantiner does the same over links to sidecars and runs
// suspects alone; the entries here have no such links and can't run one alone.

const (
	// failuresToBlock is how many target incarnations must have failed under a
	// request. A higher number would let retries crash too many more targets.
	failuresToBlock = 3
	// retention is how long a failure counts.
	retention = 5 * time.Minute
	// writeTimeout bounds the writing of a record.
	writeTimeout = 2 * time.Second
	// maxWrites bounds the records being written at once. If more targets fail
	// at the same time, the requests are not the cause.
	maxWrites = 16
)

// Blocklister knows the failures seen by all hosts.
type Blocklister struct {
	clock      clockwork.Clock
	log        storer.Log
	partition  storer.Partition
	replicator *replicator.Replicator
	writes     chan struct{}

	mutex sync.Mutex
	// failures has, for each request, when each incarnation of a target failed.
	failures map[identifier.Fingerprint]map[string]time.Time
}

// New returns a Blocklister that knows no failures until Run.
func New(clock clockwork.Clock, log storer.Log, p storer.Partition) *Blocklister {
	b := &Blocklister{clock: clock, log: log, partition: p, writes: make(chan struct{}, maxWrites)}
	b.replicator = replicator.New(clock, log, p, b, func() {})
	b.Reset(nil)
	return b
}

// Run follows the stored failures until ctx ends.
func (b *Blocklister) Run(ctx context.Context) { b.replicator.Run(ctx) }

// Reset implements storer.Sink.
func (b *Blocklister) Reset(records []storer.Record) {
	b.mutex.Lock()
	b.failures = make(map[identifier.Fingerprint]map[string]time.Time)
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
			delete(b.failures[f], incarnation)
			continue
		}
		if b.failures[f] == nil {
			b.failures[f] = make(map[string]time.Time)
		}
		b.failures[f][incarnation] = b.clock.Now()
		if len(b.failures[f]) == failuresToBlock {
			klog.InfoS("request convicted, targets break off under it", "fingerprint", hash, "targets", len(b.failures[f]), "offset", r.Offset)
		}
	}
}

// BrokeOff records that the target failed without a response while it ran the request.
func (b *Blocklister) BrokeOff(f identifier.Fingerprint, t cataloger.Target) {
	select {
	case b.writes <- struct{}{}:
	default:
		return
	}
	r := storer.Record{Key: fmt.Sprintf("%016x/%s/%d", uint64(f), t.Name, t.StartID), Value: []byte("1")}
	go func() {
		defer func() { <-b.writes }()
		// CatchPanic logs the panic.
		_ = recoverer.CatchPanic("record of a target failure", func() {
			ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
			defer cancel()
			if _, err := b.log.Append(ctx, b.partition, storer.AnyOffset, []storer.Record{r}); err != nil {
				klog.InfoS("break not shared", "fingerprint", f, "target", t.Name, "err", err)
			}
		})
	}()
}

// Convicted reports whether the request must not be sent to any target.
func (b *Blocklister) Convicted(f identifier.Fingerprint) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	recent := 0
	for _, at := range b.failures[f] {
		if b.clock.Since(at) < retention {
			recent++
		}
	}
	return recent >= failuresToBlock
}

// Sweep deletes the records of failures that no longer count, until ctx ends.
func (b *Blocklister) Sweep(ctx context.Context) {
	for {
		select {
		case <-b.clock.After(retention / 2):
		case <-ctx.Done():
			return
		}
		err := b.replicator.Append(ctx, b.expired)
		if err != nil && ctx.Err() == nil {
			klog.InfoS("old breaks not dropped yet", "err", err)
		}
	}
}

func (b *Blocklister) expired() (records []storer.Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for f, failures := range b.failures {
		for incarnation, at := range failures {
			if b.clock.Since(at) >= retention {
				records = append(records, storer.Record{Key: fmt.Sprintf("%016x/%s", uint64(f), incarnation)})
			}
		}
	}
	return records
}
