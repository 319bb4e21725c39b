// Package blocklister remembers, for all hosts, which requests targets have broken
// off under, and convicts those that crash whatever runs them.
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

// Such a request comes again at any host, so that what one host saw has to reach
// the others: a record for each break, under the request's fingerprint. What ran
// beside it at a crash meets other targets when it is repeated, and is very
// unlikely to be at three. Package quarantiner does the same over links to
// sidecars, and runs suspects alone; entries here have neither.

const (
	// breaksToConvict is how many targets must have broken off under a request.
	// More than three retries after the third would be too many.
	breaksToConvict = 3
	// period is how long a break counts.
	period = 5 * time.Minute
	// writeTimeout bounds the writing of a break.
	writeTimeout = 2 * time.Second
	// mostWrites bounds the breaks that are being written at once. When targets
	// fail by the dozen, their requests are not the cause.
	mostWrites = 16
)

// Blocklister knows the breaks of all hosts.
type Blocklister struct {
	clock     clockwork.Clock
	log       storer.Log
	partition storer.Partition
	tracker   *replicator.Replicator
	writes    chan struct{}

	mutex sync.Mutex
	// breaks has when each target broke off under a request.
	breaks map[identifier.Fingerprint]map[string]time.Time
}

// New returns a Convicter that knows no breaks until Run.
func New(clock clockwork.Clock, log storer.Log, p storer.Partition) *Blocklister {
	c := &Blocklister{clock: clock, log: log, partition: p, writes: make(chan struct{}, mostWrites)}
	c.tracker = replicator.New(clock, log, p, c, func() {})
	c.Reset(nil)
	return c
}

// Run follows the breaks until ctx ends.
func (c *Blocklister) Run(ctx context.Context) { c.tracker.Run(ctx) }

// Reset implements storer.Sink.
func (c *Blocklister) Reset(records []storer.Record) {
	c.mutex.Lock()
	c.breaks = make(map[identifier.Fingerprint]map[string]time.Time)
	c.mutex.Unlock()
	c.Apply(records)
}

// Apply implements storer.Sink.
func (c *Blocklister) Apply(records []storer.Record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, r := range records {
		hash, incarnation, ok := strings.Cut(r.Key, "/")
		n, err := strconv.ParseUint(hash, 16, 64)
		if !ok || err != nil {
			klog.InfoS("unreadable break left out", "key", r.Key, "offset", r.Offset)
			continue
		}
		f := identifier.Fingerprint(n)
		if len(r.Value) == 0 {
			delete(c.breaks[f], incarnation)
			continue
		}
		if c.breaks[f] == nil {
			c.breaks[f] = make(map[string]time.Time)
		}
		c.breaks[f][incarnation] = c.clock.Now()
		if len(c.breaks[f]) == breaksToConvict {
			klog.InfoS("request convicted, targets break off under it", "fingerprint", hash, "targets", len(c.breaks[f]), "offset", r.Offset)
		}
	}
}

// BrokeOff notes that a target has broken off while it ran the request.
func (c *Blocklister) BrokeOff(f identifier.Fingerprint, t cataloger.Target) {
	select {
	case c.writes <- struct{}{}:
	default:
		return
	}
	r := storer.Record{Key: fmt.Sprintf("%016x/%s/%d", uint64(f), t.Name, t.StartID), Value: []byte("1")}
	go func() {
		defer func() { <-c.writes }()
		_ = recoverer.CatchPanic("record of a break", func() { // it is logged there
			ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
			defer cancel()
			if _, err := c.log.Append(ctx, c.partition, storer.AnyOffset, []storer.Record{r}); err != nil {
				klog.InfoS("break not shared", "fingerprint", f, "target", t.Name, "err", err)
			}
		})
	}()
}

// Convicted says whether the request must not be sent to a target.
func (c *Blocklister) Convicted(f identifier.Fingerprint) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	recent := 0
	for _, at := range c.breaks[f] {
		if c.clock.Since(at) < period {
			recent++
		}
	}
	return recent >= breaksToConvict
}

// Sweep drops the records of breaks that don't count any more.
func (c *Blocklister) Sweep(ctx context.Context) {
	for {
		select {
		case <-c.clock.After(period / 2):
		case <-ctx.Done():
			return
		}
		err := c.tracker.Append(ctx, c.old)
		if err != nil && ctx.Err() == nil {
			klog.InfoS("old breaks not dropped yet", "err", err)
		}
	}
}

func (c *Blocklister) old() (records []storer.Record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for f, breaks := range c.breaks {
		for incarnation, at := range breaks {
			if c.clock.Since(at) >= period {
				records = append(records, storer.Record{Key: fmt.Sprintf("%016x/%s", uint64(f), incarnation)})
			}
		}
	}
	return records
}
