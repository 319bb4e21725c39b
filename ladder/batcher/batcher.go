// Package batcher appends records to one partition of the platform's store, many at once.
package batcher

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const (
	// writeInterval is the least time between two appends: 40 a second of the 800 that the
	// users' stores allow.
	writeInterval = 25 * time.Millisecond
	// appendTimeout bounds one append. The store answers in a few milliseconds.
	appendTimeout = time.Second
	// retryInterval is the pause after an append that failed.
	retryInterval = 500 * time.Millisecond
	// maxBatch bounds the records of one append, which have about 100 bytes each; maxPending
	// those that wait while the store is away. The oldest are dropped.
	maxBatch, maxPending = 1000, 20_000
)

// Batcher appends records to one partition until the store has them.
type Batcher struct {
	clock     clockwork.Clock
	log       storer.Log
	partition storer.Partition
	// wake holds a signal if there may be something to write.
	wake chan struct{}

	mutex sync.Mutex
	// pending has the records that are to be written, the oldest first.
	pending []*Write
	// failing is set while the last append failed.
	failing bool
}

// Write is a record that is appended in the background.
type Write struct {
	record storer.Record
	// saved is closed when the store has the record, refused when it has refused an append of it.
	saved, refused chan struct{}
	// sent counts the appends of the record that may have taken effect. The mutex of the Batcher
	// guards it.
	sent int
}

// Saved returns a channel that is closed when the store has the record.
func (w *Write) Saved() <-chan struct{} { return w.saved }

// Refused returns a channel that is closed when the store has refused an append of the record,
// which is repeated later.
func (w *Write) Refused() <-chan struct{} { return w.refused }

// New returns a Batcher that appends nothing until Run.
func New(clock clockwork.Clock, log storer.Log, p storer.Partition) *Batcher {
	return &Batcher{clock: clock, log: log, partition: p, wake: make(chan struct{}, 1)}
}

// Add appends a record in the background. The channel is closed when the store has it.
func (b *Batcher) Add(r storer.Record) <-chan struct{} { return b.Write(r).Saved() }

// Write appends a record in the background.
func (b *Batcher) Write(r storer.Record) *Write {
	w := &Write{record: r, saved: make(chan struct{}), refused: make(chan struct{})}
	b.mutex.Lock()
	b.pending = append(b.pending, w)
	if excess := len(b.pending) - maxPending; excess > 0 {
		b.pending = b.pending[excess:]
	}
	b.mutex.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return w
}

// MayExist reports whether the store has a record, or may have it.
func (b *Batcher) MayExist(w *Write) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return w.sent > 0
}

// Run appends what is pending until ctx ends.
func (b *Batcher) Run(ctx context.Context) {
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return
		}
		for pause := time.Duration(1); pause > 0; {
			pause = b.append(ctx)
			select {
			case <-b.clock.After(pause):
			case <-ctx.Done():
				return
			}
		}
	}
}

// append appends what is pending and returns how long to wait before the next append, or 0 if
// nothing is pending.
func (b *Batcher) append(ctx context.Context) (pause time.Duration) {
	batch, records := b.take()
	if len(batch) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := b.log.Append(ctx, b.partition, storer.AnyOffset, records)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err != nil {
		if !b.failing {
			klog.InfoS("records not written yet", "partition", b.partition.String(), "count", len(batch), "err", err)
		}
		b.failing = true
		if errors.Is(err, appender.ErrUnavailable) {
			for _, w := range batch {
				w.refuse()
			}
		}
		b.pending = append(batch[:len(batch):len(batch)], b.pending...)
		return retryInterval
	}
	b.failing = false
	for _, w := range batch {
		close(w.saved)
	}
	return writeInterval
}

// take removes the records of the next append from those that are pending.
func (b *Batcher) take() (batch []*Write, records []storer.Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	batch = b.pending[:min(maxBatch, len(b.pending))]
	b.pending = b.pending[len(batch):]
	for _, w := range batch {
		w.sent++
		records = append(records, w.record)
	}
	return batch, records
}

// refuse records that the store has refused an append. The caller holds the mutex of the Batcher.
func (w *Write) refuse() {
	w.sent--
	select {
	case <-w.refused:
	default:
		close(w.refused)
	}
}

// Failing reports whether the last append failed.
func (b *Batcher) Failing() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.failing
}
