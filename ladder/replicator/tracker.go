// Package replicator keeps a copy of one keyed partition of the platform's store,
// and changes the partition only from a copy that is complete.
package replicator

import (
	"context"
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

// Every append names the offset at which the partition must end. A writer that
// was paused, cut off or replaced can't write what it decided from an old copy,
// and a lost answer is settled by reading on. No second fence is needed.

const (
	// readWait is how long a read waits for a record. The tightest bound on
	// news is 2 s (configuration in force), which a connection that has gone
	// silent must leave room for.
	readWait = time.Second
	// answerTime is how long the answer to a read may take beyond its wait.
	answerTime = 500 * time.Millisecond
	// firstPageTimeout and longestPageTimeout bound the reading of one page of
	// a partition. A page has 1 MB, which the users' stores give in 50 ms; the
	// time doubles when many hosts read at once.
	firstPageTimeout, longestPageTimeout = time.Second, 8 * time.Second
	// appendTimeout bounds one append. The store answers in some ms; by then
	// its answer is taken for lost.
	appendTimeout = 1200 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed read.
	firstPause, longestPause = 50 * time.Millisecond, 400 * time.Millisecond
)

// Replicator follows one partition.
type Replicator struct {
	clock     clockwork.Clock
	log       storer.Log
	partition storer.Partition
	sink      storer.Sink
	// failed is called when the store doesn't answer a read.
	failed func()

	// appending is held by one append at a time.
	appending chan struct{}

	mutex sync.Mutex
	// next is the offset after the last record told to sink; it never falls.
	next identifier.LogOffset
	// loaded says that sink was told a first snapshot, and known that it was
	// told everything up to the end that a later read has named.
	loaded, known bool
	// pageTimeout belongs to Run.
	pageTimeout time.Duration
	// contact is when the store answered last.
	contact time.Time
}

// New returns a Tracker that knows nothing until Run. It calls failed whenever
// the store doesn't answer a read.
func New(clock clockwork.Clock, log storer.Log, p storer.Partition, sink storer.Sink, failed func()) *Replicator {
	return &Replicator{
		clock: clock, log: log, partition: p, sink: sink, failed: failed, pageTimeout: firstPageTimeout,
		appending: make(chan struct{}, 1),
	}
}

// Run follows the partition until ctx ends.
func (t *Replicator) Run(ctx context.Context) {
	pause, failing := firstPause, false
	for ctx.Err() == nil {
		err := t.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failing {
				klog.InfoS("store answers again", "partition", t.partition.String(), "offset", t.position())
			}
			pause, failing = firstPause, false
			continue
		}
		t.failed()
		if !failing {
			klog.InfoS("store lost", "partition", t.partition.String(), "offset", t.position(), "err", err)
		}
		failing = true
		select {
		case <-t.clock.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, longestPause)
	}
}

func (t *Replicator) step(ctx context.Context) error {
	t.mutex.Lock()
	loaded, known, from := t.loaded, t.known, t.next
	t.mutex.Unlock()
	if !loaded {
		return t.load(ctx)
	}
	wait := readWait
	if !known {
		wait = 0
	}
	err := t.read(ctx, from, wait)
	if errors.Is(err, storer.ErrExpired) {
		klog.InfoS("history has expired, reading the whole partition", "partition", t.partition.String(), "offset", from)
		return t.load(ctx)
	}
	return err
}

func (t *Replicator) read(ctx context.Context, from identifier.LogOffset, wait time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	page, err := t.log.Read(bounded, t.partition, from, wait)
	if err != nil {
		return err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.take(page.Records)
	if t.next >= page.End {
		t.known = t.loaded
	}
	return nil
}

// Forget drops the copy, so that Run begins anew. Run must not be under way.
func (t *Replicator) Forget() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.loaded, t.known, t.next = false, false, 0
	t.sink.Reset(nil)
}

func (t *Replicator) load(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "load %s", t.partition)
	records, end, err := t.readAll(ctx)
	if err != nil {
		t.pageTimeout = min(2*t.pageTimeout, longestPageTimeout)
		return err
	}
	t.pageTimeout = firstPageTimeout
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.loaded && end < t.next {
		return errors.Errorf("a snapshot up to %d is older than what is known up to %d", end, t.next)
	}
	t.sink.Reset(records)
	t.loaded, t.next = true, end
	return nil
}

// readAll returns the newest record of each key, and an offset from which
// reading on misses nothing that they lack: the end at the first page.
func (t *Replicator) readAll(ctx context.Context) (records []storer.Record, end identifier.LogOffset, err error) {
	for after := ""; ; {
		page, err := t.readPage(ctx, after)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

func (t *Replicator) readPage(ctx context.Context, after string) (storer.SnapshotPage, error) {
	bounded, cancel := context.WithTimeout(ctx, t.pageTimeout)
	defer cancel()
	return t.log.Newest(bounded, t.partition, after)
}

// take tells sink the records that it doesn't have yet. The caller holds the
// mutex.
func (t *Replicator) take(records []storer.Record) {
	for len(records) > 0 && records[0].Offset < t.next {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Offset == t.next {
		t.sink.Apply(records)
		t.next = records[len(records)-1].Offset + 1
	}
	t.contact = t.clock.Now()
}

func (t *Replicator) position() identifier.LogOffset {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.next
}

// Known says whether the copy was complete once.
func (t *Replicator) Known() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.known
}

// Age is how long ago the copy was known to be complete.
func (t *Replicator) Age() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.known {
		return time.Hour
	}
	return t.clock.Since(t.contact)
}

// Refresh reads everything that the store had acknowledged before the call.
func (t *Replicator) Refresh(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "refresh %s", t.partition)
	t.mutex.Lock()
	loaded, from := t.loaded, t.next
	t.mutex.Unlock()
	if !loaded {
		return appender.ErrUnavailable
	}
	return t.read(ctx, from, 0)
}

// Append adds what build makes of the complete copy. build is called again
// after others have written, and returns nothing if nothing is left to do. It
// must not call the Tracker. Append returns appender.ErrUnavailable if surely
// nothing was written, and another error if that isn't known.
func (t *Replicator) Append(ctx context.Context, build func() []storer.Record) (err error) {
	defer annotator.Annotate(&err, "append to %s", t.partition)
	select {
	case t.appending <- struct{}{}:
		defer func() { <-t.appending }()
	case <-ctx.Done():
		return appender.ErrUnavailable
	}
	uncertain := false
	for {
		err = t.tryAppend(ctx, build)
		var moved *storer.EndMismatchError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &moved):
			// What wasn't answered before may be among the new records;
			// build sees it once the copy has them.
			if err = t.reach(ctx, moved.End); err == nil {
				uncertain = false
			}
		case !errors.Is(err, appender.ErrUnavailable):
			uncertain = true
			err = t.Refresh(ctx)
		}
		if err == nil {
			continue
		}
		if uncertain {
			err = appender.ErrOutcomeUnknown
		}
		if ctx.Err() != nil || !uncertain {
			return err
		}
		select {
		case <-t.clock.After(firstPause):
		case <-ctx.Done():
			return err
		}
	}
}

func (t *Replicator) tryAppend(ctx context.Context, build func() []storer.Record) error {
	t.mutex.Lock()
	if !t.loaded {
		t.mutex.Unlock()
		return appender.ErrUnavailable
	}
	at := t.next
	records := build()
	t.mutex.Unlock()
	if len(records) == 0 {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := t.log.Append(bounded, t.partition, at, records); err != nil {
		return err
	}
	for n := range records {
		records[n].Offset = at + identifier.LogOffset(n)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.take(records)
	return nil
}

// reach waits until the copy goes up to end.
func (t *Replicator) reach(ctx context.Context, end identifier.LogOffset) error {
	for t.position() < end {
		from := t.position()
		err := t.read(ctx, from, 0)
		if errors.Is(err, storer.ErrExpired) {
			err = t.load(ctx)
		}
		if err != nil {
			return appender.ErrUnavailable
		}
		if t.position() == from {
			return appender.ErrUnavailable
		}
	}
	return nil
}
