// Package leaser holds a lease in the platform's store, so that one process at a
// time gives orders.
package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/replicator"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A holder may act until term after it sent its last acknowledged renewal. A
// successor waits for term and then for gap without a renewal, by its own watch,
// before it may write. Watches run on while a host is suspended, so that a
// holder that wakes up finds its term over. Clocks are never compared.

const (
	// term is how long one renewal lasts: three renewals.
	term = 1100 * time.Millisecond
	// renewPause is between two renewals.
	renewPause = 300 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 600 * time.Millisecond
	// margin covers the difference in speed of two watches and the way of an
	// order to its target.
	margin = 300 * time.Millisecond
)

// Holder names a host that may hold a lease. A process takes its predecessor's
// place on the same host at once: it couldn't listen there while the other lived.
type Holder string

// BootTimeClock tells the time since some moment. It runs on while the host is
// suspended.
type BootTimeClock interface{ Elapsed() time.Duration }

// record is what the lease's key holds.
type record struct {
	// Holder is empty if the lease was given back.
	Holder Holder `cbor:"1,keyasint"`
	// Token is the offset of the holder's first record, 0 in that record.
	Token identifier.FencingToken `cbor:"2,keyasint"`
}

// Options are a Leaser's settings.
type Options struct {
	Partition storer.Partition
	// Key names the lease in the partition.
	Key string
	// Holder is this host.
	Holder Holder
	// HandoverGap is the least time between the acts of two holders.
	HandoverGap time.Duration
}

// Leaser competes for a lease.
type Leaser struct {
	clock   clockwork.Clock
	watch   BootTimeClock
	options Options
	tracker *replicator.Replicator

	mutex sync.Mutex
	// held is the newest record; seen is when this process learnt of it.
	held   record
	exists bool
	seen   time.Duration
	// until is when the own term ends; 0 if it isn't the holder.
	until time.Duration
	token identifier.FencingToken
}

// New returns a Leaser that doesn't compete until Run.
func New(clock clockwork.Clock, watch BootTimeClock, log storer.Log, o Options) *Leaser {
	l := &Leaser{clock: clock, watch: watch, options: o}
	l.tracker = replicator.New(clock, log, o.Partition, l, func() {})
	return l
}

// Reset implements storer.Sink.
func (l *Leaser) Reset(records []storer.Record) { l.Apply(records) }

// Apply implements storer.Sink.
func (l *Leaser) Apply(records []storer.Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range records {
		if r.Key != l.options.Key {
			continue
		}
		var taken record
		if err := cbor.Unmarshal(r.Value, &taken); err != nil {
			klog.ErrorS(err, "unreadable lease", "key", r.Key, "offset", r.Offset)
		}
		if taken.Holder != "" && taken.Token == 0 {
			taken.Token = identifier.FencingToken(r.Offset) + 1
		}
		if taken.Holder != l.held.Holder {
			klog.InfoS("lease changes hands", "lease", r.Key, "holder", taken.Holder, "token", taken.Token, "offset", r.Offset)
		}
		l.held, l.exists, l.seen = taken, true, l.watch.Elapsed()
	}
}

// Run competes for the lease until ctx ends, and gives it back then.
func (l *Leaser) Run(ctx context.Context) {
	following, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go l.tracker.Run(following)
	for ctx.Err() == nil {
		if l.mayWrite() {
			l.write(ctx, l.next)
		}
		select {
		case <-l.clock.After(renewPause):
		case <-ctx.Done():
		}
	}
	if _, ok := l.Token(); ok {
		l.mutex.Lock()
		l.until = 0
		l.mutex.Unlock()
		l.write(following, func() record { return record{} })
	}
}

func (l *Leaser) own() bool { return l.held.Holder == l.options.Holder }

// mayWrite says whether this process may renew or take the lease.
func (l *Leaser) mayWrite() bool {
	if !l.tracker.Known() {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mayWriteNow()
}

func (l *Leaser) mayWriteNow() bool {
	quiet := l.watch.Elapsed() - l.seen
	switch {
	case !l.exists || l.own():
		return true
	case l.held.Holder == "":
		return quiet > l.options.HandoverGap+margin
	default:
		return quiet > term+l.options.HandoverGap+margin
	}
}

// next is the record that renews or takes the lease.
func (l *Leaser) next() record {
	if l.own() {
		return record{Holder: l.options.Holder, Token: l.held.Token}
	}
	return record{Holder: l.options.Holder}
}

func (l *Leaser) write(ctx context.Context, make func() record) {
	bounded, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := l.watch.Elapsed()
	wrote := false
	err := l.tracker.Append(bounded, func() []storer.Record {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if wrote = l.mayWriteNow(); !wrote {
			return nil
		}
		value, err := cbor.Marshal(make())
		if err != nil {
			klog.ErrorS(err, "lease can't be encoded")
			return nil
		}
		return []storer.Record{{Key: l.options.Key, Value: value}}
	})
	if err != nil {
		klog.V(1).InfoS("lease not written", "lease", l.options.Key, "err", err)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if wrote && l.own() {
		l.until, l.token = sent+term, l.held.Token
	}
}

// Token returns the number of the own term, or false if this process must not
// act now.
func (l *Leaser) Token() (identifier.FencingToken, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.own() || l.watch.Elapsed() >= l.until {
		return 0, false
	}
	return l.token, true
}
