package archiver

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const (
	// writeInterval is the least time between two appends to a partition, so that all
	// partitions together use at most a fifth of the writes that the users' stores allow, 800
	// a second.
	writeInterval = 25 * time.Millisecond
	// appendTimeout bounds one append. The store answers in a few milliseconds.
	appendTimeout = time.Second
	// retryInterval is the pause after an append that failed.
	retryInterval = 500 * time.Millisecond
	// maxBatch bounds the records of one append, which have about 100 bytes each; maxPending
	// those that wait while the store is away. The oldest are dropped.
	maxBatch, maxPending = 1000, 20_000
)

// writer appends records to one partition, many at once.
type writer struct {
	clock     clockwork.Clock
	log       storer.Log
	partition storer.Partition
	// wake holds a signal if there may be something to write.
	wake chan struct{}

	mutex sync.Mutex
	// pending has the records that are to be written, the oldest first.
	pending []pendingRecord
	// failing is set while the last append failed.
	failing bool
}

type pendingRecord struct {
	storer.Record
	// saved is closed when the store has the record.
	saved chan struct{}
}

func newWriter(clock clockwork.Clock, log storer.Log, p storer.Partition) *writer {
	return &writer{clock: clock, log: log, partition: p, wake: make(chan struct{}, 1)}
}

// add writes a record and reports whether the store has it before ctx ends. It doesn't wait
// while the store fails.
func (w *writer) add(ctx context.Context, r storer.Record) bool {
	saved := make(chan struct{})
	w.mutex.Lock()
	w.pending = append(w.pending, pendingRecord{r, saved})
	if excess := len(w.pending) - maxPending; excess > 0 {
		w.pending = w.pending[excess:]
	}
	failing := w.failing
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	if failing {
		return false
	}
	select {
	case <-saved:
		return true
	case <-ctx.Done():
		return false
	}
}

// run appends what is pending until ctx ends.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
		for pause := time.Duration(1); pause > 0; {
			pause = w.append(ctx)
			select {
			case <-w.clock.After(pause):
			case <-ctx.Done():
				return
			}
		}
	}
}

// append appends what is pending and returns how long to wait before the next append, or 0 if
// nothing is pending.
func (w *writer) append(ctx context.Context) (pause time.Duration) {
	w.mutex.Lock()
	batch := w.pending[:min(maxBatch, len(w.pending))]
	w.pending = w.pending[len(batch):]
	w.mutex.Unlock()
	if len(batch) == 0 {
		return 0
	}
	records := make([]storer.Record, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.Record)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(ctx, w.partition, storer.AnyOffset, records)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err != nil {
		if !w.failing {
			klog.InfoS("origins of streams not recorded yet", "partition", w.partition.String(), "count", len(batch), "err", err)
		}
		w.failing = true
		w.pending = append(batch[:len(batch):len(batch)], w.pending...)
		return retryInterval
	}
	w.failing = false
	for _, p := range batch {
		close(p.saved)
	}
	return writeInterval
}

func (w *writer) isFailing() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.failing
}
