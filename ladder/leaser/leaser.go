// Package leaser acquires and renews a lease in the platform's store, so that only one
// process at a time sends orders.
package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/replicator"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A holder may act until leaseDuration after it sent its last acknowledged renewal. A
// successor that sees no renewal waits, by its own clock, for leaseDuration plus the
// handover gap before it may write. These clocks keep running while a host is
// suspended, so a holder that resumes finds its lease expired. Times of different hosts
// are never compared.

const (
	// leaseDuration is how long one renewal lasts; it leaves time for three renewals.
	leaseDuration = 1100 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 300 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 600 * time.Millisecond
	// safetyMargin covers the difference in rate of two clocks and the time that an
	// order takes to reach its target.
	safetyMargin = 300 * time.Millisecond
)

// Holder names a host that may hold a lease. A restarted process continues the lease of
// its predecessor on the same host at once: it couldn't listen there while the
// predecessor was alive.
type Holder string

// unknownHolder stands for the holder of a lease that can't be read.
const unknownHolder Holder = "unknown"

// BootTimeClock returns the time since an arbitrary fixed moment. It keeps running
// while the host is suspended.
type BootTimeClock interface{ Elapsed() time.Duration }

// leaseRecord is the value stored under the lease's key.
type leaseRecord struct {
	// Holder is empty if the lease was released.
	Holder Holder `cbor:"1,keyasint"`
	// Token is derived from the offset of the holder's first record; it is 0 in that
	// record itself.
	Token identifier.FencingToken `cbor:"2,keyasint"`
}

// Options are a Leaser's settings.
type Options struct {
	Partition storer.Partition
	// Key names the lease in the partition.
	Key string
	// Holder is this host.
	Holder Holder
	// HandoverGap is the minimum time between the last action of one holder and the
	// first action of the next.
	HandoverGap time.Duration
}

// Leaser competes for a lease.
type Leaser struct {
	clock      clockwork.Clock
	bootClock  BootTimeClock
	options    Options
	replicator *replicator.Replicator

	mutex sync.Mutex
	// latest is the newest record; latestSeenAt is when this process read it.
	latest       leaseRecord
	exists       bool
	latestSeenAt time.Duration
	// heldSince is when this process first read a record of the latest holder's token.
	heldSince time.Duration
	// heldUntil is when this process's lease expires; 0 if it isn't the holder.
	heldUntil time.Duration
	token     identifier.FencingToken
}

// New returns a Leaser that doesn't compete for the lease until Run is called.
func New(clock clockwork.Clock, bootClock BootTimeClock, log storer.Log, o Options) *Leaser {
	l := &Leaser{clock: clock, bootClock: bootClock, options: o}
	l.replicator = replicator.New(clock, log, o.Partition, l, func() {})
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
		var record leaseRecord
		if err := serializer.Decode(r.Value, &record); err != nil {
			klog.ErrorS(err, "unreadable lease counts as held by another host", "key", r.Key, "offset", r.Offset)
			record = leaseRecord{Holder: unknownHolder}
		}
		if record.Holder != "" && record.Token == 0 {
			record.Token = identifier.FencingToken(r.Offset) + 1
		}
		if record.Holder != l.latest.Holder {
			klog.InfoS("lease changes hands", "lease", r.Key, "holder", record.Holder, "token", record.Token, "offset", r.Offset)
		}
		if record != l.latest {
			l.heldSince = l.bootClock.Elapsed()
		}
		l.latest, l.exists, l.latestSeenAt = record, true, l.bootClock.Elapsed()
	}
}

// Run competes for the lease until ctx ends, then releases it.
func (l *Leaser) Run(ctx context.Context) {
	replicating, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go l.replicator.Run(replicating)
	for ctx.Err() == nil {
		if l.mayWrite() {
			l.write(ctx, l.nextRecord)
		}
		select {
		case <-l.clock.After(renewInterval):
		case <-ctx.Done():
		}
	}
	if _, ok := l.Token(); ok {
		l.mutex.Lock()
		l.heldUntil = 0
		l.mutex.Unlock()
		l.write(replicating, func() leaseRecord { return leaseRecord{} })
	}
}

func (l *Leaser) isHolder() bool { return l.latest.Holder == l.options.Holder }

// mayWrite reports whether this process may renew or acquire the lease.
func (l *Leaser) mayWrite() bool {
	if !l.replicator.Known() {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mayWriteLocked()
}

func (l *Leaser) mayWriteLocked() bool {
	sinceRenewal := l.bootClock.Elapsed() - l.latestSeenAt
	switch {
	case !l.exists || l.isHolder():
		return true
	case l.latest.Holder == "":
		return sinceRenewal > l.options.HandoverGap+safetyMargin
	default:
		return sinceRenewal > leaseDuration+l.options.HandoverGap+safetyMargin
	}
}

// nextRecord returns the record that renews or acquires the lease.
func (l *Leaser) nextRecord() leaseRecord {
	if l.isHolder() {
		return leaseRecord{Holder: l.options.Holder, Token: l.latest.Token}
	}
	return leaseRecord{Holder: l.options.Holder}
}

func (l *Leaser) write(ctx context.Context, build func() leaseRecord) {
	renewCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := l.bootClock.Elapsed()
	written := false
	err := l.replicator.Append(renewCtx, func() []storer.Record {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if written = l.mayWriteLocked(); !written {
			return nil
		}
		value, err := serializer.Encode(build())
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
	if written && l.isHolder() {
		l.heldUntil, l.token = sent+leaseDuration, l.latest.Token
	}
}

// Token returns the fencing token of the current lease, or false if this process must
// not act now.
func (l *Leaser) Token() (identifier.FencingToken, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isHolder() || l.bootClock.Elapsed() >= l.heldUntil {
		return 0, false
	}
	return l.token, true
}

// Status is what this process knows of a lease.
type Status struct {
	// Holder is empty if nobody holds the lease, as far as this process knows.
	Holder Holder
	Token  identifier.FencingToken
	// HeldFor is the time since this process first saw the holder with that token.
	HeldFor time.Duration
	// Own is set if this process may act now.
	Own bool
}

// Status returns what this process knows of the lease.
func (l *Leaser) Status() Status {
	_, own := l.Token()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.latest.Holder == "" {
		return Status{}
	}
	return Status{Holder: l.latest.Holder, Token: l.latest.Token, HeldFor: l.bootClock.Elapsed() - l.heldSince, Own: own}
}
