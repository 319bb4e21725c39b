// Package replicator keeps a local copy of one keyed partition of the platform's store
// and writes to the partition only on the basis of a complete copy.
package replicator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Every append names the offset at which the partition must end. A writer that was
// paused, disconnected or replaced therefore can't write a decision based on a stale
// copy, and reading on shows whether an append with a lost answer took effect. No
// second fence is needed.

const (
	// longPollWait is how long a read waits for a record. The tightest bound on
	// propagation is 2 s (configuration in force), which must leave time to detect a
	// connection that has gone silent.
	longPollWait = time.Second
	// responseMargin is how long the answer to a read may take beyond its wait.
	responseMargin = 500 * time.Millisecond
	// minPageTimeout and maxPageTimeout bound the reading of one page of a partition. A
	// page has up to 1 MB, which the users' stores return in 50 ms; the timeout doubles
	// after a failure, as when many hosts read at once.
	minPageTimeout, maxPageTimeout = time.Second, 8 * time.Second
	// appendTimeout bounds one append. The store answers in a few milliseconds; after
	// the timeout the answer counts as lost.
	appendTimeout = 1200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed read, and between
	// appends after the first one with a lost answer; it doubles each time. Up to 1/jitterShare
	// of it is added, as all hosts fail at the same moment.
	minRetryDelay, maxRetryDelay = 50 * time.Millisecond, 400 * time.Millisecond
	jitterShare                  = 2
)

// Replicator follows one partition.
type Replicator struct {
	clock     clockwork.Clock
	log       storer.Log
	partition storer.Partition
	sink      storer.Sink
	// onReadFailure is called when the store doesn't answer a read.
	onReadFailure func()

	// appending is a semaphore: one append runs at a time.
	appending chan struct{}

	mutex sync.Mutex
	// next is the offset after the last record passed to sink; it never decreases.
	next identifier.LogOffset
	// loaded is set once sink has the first snapshot, and caughtUp once sink has every
	// record up to the partition's end as returned by a later read.
	loaded, caughtUp bool
	// pageTimeout is used by Run only.
	pageTimeout time.Duration
	// lastContact is when the store last answered.
	lastContact time.Time
}

// New returns a Replicator that has no copy until Run is called. It calls onReadFailure
// whenever the store doesn't answer a read.
func New(clock clockwork.Clock, log storer.Log, p storer.Partition, sink storer.Sink, onReadFailure func()) *Replicator {
	return &Replicator{
		clock: clock, log: log, partition: p, sink: sink, onReadFailure: onReadFailure, pageTimeout: minPageTimeout,
		appending: make(chan struct{}, 1),
	}
}

// Run follows the partition until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	delay, failing := minRetryDelay, false
	for ctx.Err() == nil {
		err := r.readNext(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failing {
				klog.InfoS("store answers again", "partition", r.partition.String(), "offset", r.nextOffset())
			}
			delay, failing = minRetryDelay, false
			continue
		}
		r.onReadFailure()
		if !failing {
			klog.InfoS("store lost", "partition", r.partition.String(), "offset", r.nextOffset(), "err", err)
		}
		failing = true
		r.pause(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// pause waits for delay and a random part of it, or until ctx ends.
func (r *Replicator) pause(ctx context.Context, delay time.Duration) {
	select {
	case <-r.clock.After(delay + rand.N(1+delay/jitterShare)):
	case <-ctx.Done():
	}
}

func (r *Replicator) readNext(ctx context.Context) error {
	r.mutex.Lock()
	loaded, caughtUp, from := r.loaded, r.caughtUp, r.next
	r.mutex.Unlock()
	if !loaded {
		return r.load(ctx)
	}
	wait := longPollWait
	if !caughtUp {
		wait = 0
	}
	_, err := r.read(ctx, from, wait)
	if errors.Is(err, storer.ErrExpired) {
		klog.InfoS("history has expired, reading the whole partition", "partition", r.partition.String(), "offset", from)
		return r.load(ctx)
	}
	return err
}

// read passes the next records to sink and returns the end of the partition.
func (r *Replicator) read(ctx context.Context, from identifier.LogOffset, wait time.Duration) (end identifier.LogOffset, err error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	page, err := r.log.Read(timeoutCtx, r.partition, from, wait)
	if err != nil {
		return 0, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applyNew(page.Records)
	if r.next >= page.End {
		r.caughtUp = r.loaded
	}
	return page.End, nil
}

// Forget drops the copy, so that Run starts with a new snapshot. Run must not be
// running.
func (r *Replicator) Forget() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loaded, r.caughtUp, r.next = false, false, 0
	r.sink.Reset(nil)
}

func (r *Replicator) load(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "load %s", r.partition)
	records, end, err := r.readAll(ctx)
	if err != nil {
		r.pageTimeout = min(2*r.pageTimeout, maxPageTimeout)
		return err
	}
	r.pageTimeout = minPageTimeout
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.loaded && end < r.next {
		return errors.Errorf("snapshot ends at offset %d, before the copy's end %d", end, r.next)
	}
	r.sink.Reset(records)
	r.loaded, r.next = true, end
	return nil
}

// readAll returns the newest record of each key and the partition's end at the first
// page. Reading on from that offset returns every change that the pages lack.
func (r *Replicator) readAll(ctx context.Context) (records []storer.Record, end identifier.LogOffset, err error) {
	return storer.ReadPages(func(after string) (storer.SnapshotPage, error) { return r.readPage(ctx, after) })
}

func (r *Replicator) readPage(ctx context.Context, after string) (storer.SnapshotPage, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, r.pageTimeout)
	defer cancel()
	return r.log.Newest(timeoutCtx, r.partition, after)
}

// applyNew passes to sink the records that it doesn't have yet. The caller holds the
// mutex.
func (r *Replicator) applyNew(records []storer.Record) {
	for len(records) > 0 && records[0].Offset < r.next {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Offset == r.next {
		r.sink.Apply(records)
		r.next = records[len(records)-1].Offset + 1
	}
	r.lastContact = r.clock.Now()
}

func (r *Replicator) nextOffset() identifier.LogOffset {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.next
}

// Known reports whether the copy has been complete at least once.
func (r *Replicator) Known() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.caughtUp
}

// Age returns the time since the copy was last known to be complete, or an hour if it
// never was.
func (r *Replicator) Age() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.caughtUp {
		return time.Hour
	}
	return r.clock.Since(r.lastContact)
}

// Refresh reads every record that the store had acknowledged before the call, which may
// take several pages.
func (r *Replicator) Refresh(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "refresh %s", r.partition)
	r.mutex.Lock()
	loaded, from := r.loaded, r.next
	r.mutex.Unlock()
	if !loaded {
		return appender.ErrUnavailable
	}
	end, err := r.read(ctx, from, 0)
	if err != nil {
		return err
	}
	return r.catchUpTo(ctx, end)
}

// Append writes the records that build derives from the complete copy. build is called
// again if other writers have written meanwhile, and returns nothing if nothing is left
// to write. It must not call the Replicator. Append returns appender.ErrUnavailable if
// nothing was written, and another error if that isn't known.
func (r *Replicator) Append(ctx context.Context, build func() []storer.Record) (err error) {
	defer annotator.Annotate(&err, "append to %s", r.partition)
	select {
	case r.appending <- struct{}{}:
		defer func() { <-r.appending }()
	case <-ctx.Done():
		return appender.ErrUnavailable
	}
	outcomeUnknown, delay := false, time.Duration(0)
	for {
		err = r.tryAppend(ctx, build)
		var mismatch *storer.EndMismatchError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &mismatch):
			// The new records may include an append whose answer was lost; build sees
			// it once the copy has them.
			if err = r.catchUpTo(ctx, mismatch.End); err == nil {
				outcomeUnknown = false
			}
		case !errors.Is(err, appender.ErrUnavailable):
			outcomeUnknown = true
			err = r.Refresh(ctx)
		}
		switch {
		case outcomeUnknown && ctx.Err() != nil:
			return appender.ErrOutcomeUnknown
		case ctx.Err() != nil:
			return appender.ErrUnavailable
		case err != nil && !outcomeUnknown:
			return err
		case err != nil:
			delay = max(delay, minRetryDelay)
		}
		if outcomeUnknown {
			r.pause(ctx, delay)
			delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
		}
	}
}

func (r *Replicator) tryAppend(ctx context.Context, build func() []storer.Record) error {
	r.mutex.Lock()
	if !r.loaded {
		r.mutex.Unlock()
		return appender.ErrUnavailable
	}
	at := r.next
	records := build()
	r.mutex.Unlock()
	if len(records) == 0 {
		return nil
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.log.Append(timeoutCtx, r.partition, at, records)
	var mismatch *storer.EndMismatchError
	if errors.As(err, &mismatch) && mismatch.End < at {
		// Reading on can't mend that: the store has lost records, or another store answers
		// at its address.
		return errors.Wrapf(appender.ErrUnavailable, "partition ends at offset %d, before the copy's end %d", mismatch.End, at)
	}
	if err != nil {
		return err
	}
	for n := range records {
		records[n].Offset = at + identifier.LogOffset(n)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applyNew(records)
	return nil
}

// catchUpTo reads until the copy extends to end.
func (r *Replicator) catchUpTo(ctx context.Context, end identifier.LogOffset) error {
	for r.nextOffset() < end {
		from := r.nextOffset()
		_, err := r.read(ctx, from, 0)
		if errors.Is(err, storer.ErrExpired) {
			err = r.load(ctx)
		}
		if err != nil {
			return appender.ErrUnavailable
		}
		if r.nextOffset() == from {
			return appender.ErrUnavailable
		}
	}
	return nil
}
