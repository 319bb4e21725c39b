package jobstorer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Results wait until the store takes them, and several share an append: a partition
// takes one at a time.

// JobResult is the result of an item of a job.
type JobResult struct {
	Job    identifier.JobID
	Result Result
}

// MaxTextBytes is how large the text of a result may be: a record holds the result
// whole.
func (k *JobStorer) MaxTextBytes() int { return k.options.MaxRecordBytes - recordOverhead }

// AddResult writes a result, sooner or later. The first result of an item that
// reaches the store counts.
func (k *JobStorer) AddResult(o JobResult) {
	p := k.partOf(o.Job)
	p.mutex.Lock()
	p.pending = append(p.pending, o)
	delete(p.progress, itemKey{o.Job, o.Result.Item})
	p.mutex.Unlock()
	k.wakeWriter(p)
}

func (k *JobStorer) wakeWriter(p *part) {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (k *JobStorer) writeResults(ctx context.Context, p *part) {
	for ctx.Err() == nil {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		pause := gatherTime
		for ctx.Err() == nil {
			select {
			case <-k.clock.After(pause):
			case <-ctx.Done():
				return
			}
			left, err := k.writePending(ctx, p)
			if left == 0 {
				break
			}
			pause = 0
			if err != nil {
				pause = retryPause
			}
		}
	}
}

// writePending writes what is pending, results first, and returns how many results
// are left.
func (k *JobStorer) writePending(ctx context.Context, p *part) (left int, err error) {
	p.mutex.Lock()
	batch, parts := p.pending, p.progress
	p.progress = make(map[itemKey]Progress)
	p.mutex.Unlock()
	err = p.tracker.Append(ctx, func() []storer.Record {
		records := p.book.resultRecords(batch, k.options.MaxAppendBytes)
		return append(records, p.book.progressRecords(parts, k.options.MaxAppendBytes-sizeOf(records))...)
	})
	if err != nil && len(batch) > 0 {
		// The copy may be empty, and not know the jobs.
		klog.InfoS("results wait for the store", "count", len(batch), "err", err)
	}
	if err != nil {
		return len(batch), err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pending = p.book.unlisted(p.pending)
	return len(p.pending), nil
}

func sizeOf(records []storer.Record) (size int) {
	for _, r := range records {
		size += len(r.Key) + len(r.Value) + recordOverhead
	}
	return size
}

// DeleteExpired drops jobs past their time in the partitions that owns reports as
// the own ones, until ctx ends.
func (k *JobStorer) DeleteExpired(ctx context.Context, owns func(identifier.PartitionNumber) bool) {
	for {
		select {
		case <-k.clock.After(dropPause):
		case <-ctx.Done():
			return
		}
		for n, p := range k.parts {
			if !owns(identifier.PartitionNumber(n)) {
				continue
			}
			err := p.tracker.Append(ctx, func() []storer.Record { return p.book.dropRecords(k.options.Retention) })
			if err != nil && !errors.Is(err, appender.ErrUnavailable) {
				klog.InfoS("settled batch jobs not dropped yet", "partition", n, "err", err)
			}
		}
	}
}

// demandAge is the age up to which a job counts as demand: some steps of the
// users' trainers, one every 4 s.
const demandAge = 20 * time.Second

// Demand counts the tokens of the recent jobs of some partitions, by model.
func (k *JobStorer) Demand(partitions []identifier.PartitionNumber) map[identifier.ModelName]identifier.TokenCount {
	demand := make(map[identifier.ModelName]identifier.TokenCount)
	for _, n := range partitions {
		if k.has(n) {
			k.parts[n].book.addDemand(demand)
		}
	}
	return demand
}
