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

// Results are queued until the store takes them, and several share one append,
// because a partition takes one append at a time.

// JobResult is the result of an item of a job.
type JobResult struct {
	Job    identifier.JobID
	Result Result
}

// MaxTextBytes is the largest text of a result, which must fit into a single record.
func (s *JobStorer) MaxTextBytes() int { return s.options.MaxRecordBytes - recordOverhead }

// AddResult queues a result for writing. The first result of an item that reaches the
// store is the one that counts.
func (s *JobStorer) AddResult(r JobResult) {
	p := s.partitionFor(r.Job)
	p.mutex.Lock()
	p.pending = append(p.pending, r)
	delete(p.progress, itemKey{r.Job, r.Result.Item})
	p.mutex.Unlock()
	s.wakeWriter(p)
}

func (s *JobStorer) wakeWriter(p *partition) {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (s *JobStorer) writeResults(ctx context.Context, p *partition) {
	for ctx.Err() == nil {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		pause := resultBatchDelay
		for ctx.Err() == nil {
			select {
			case <-s.clock.After(pause):
			case <-ctx.Done():
				return
			}
			remaining, err := s.writePending(ctx, p)
			if remaining == 0 {
				break
			}
			pause = 0
			if err != nil {
				pause = appendRetryDelay
			}
		}
	}
}

// writePending writes the queued results, then partial texts if there is room, and
// returns how many results are still queued.
func (s *JobStorer) writePending(ctx context.Context, p *partition) (remaining int, err error) {
	p.mutex.Lock()
	batch, progress := p.pending, p.progress
	p.progress = make(map[itemKey]Progress)
	p.mutex.Unlock()
	err = p.replicator.Append(ctx, func() []storer.Record {
		records := p.table.resultRecords(batch, s.options.MaxAppendBytes)
		return append(records, p.table.progressRecords(progress, s.options.MaxAppendBytes-sizeOfRecords(records))...)
	})
	if err != nil && len(batch) > 0 {
		// The copy may be empty, and a result of an unknown job must stay queued.
		klog.InfoS("results wait for the store", "count", len(batch), "err", err)
	}
	if err != nil {
		return len(batch), err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pending = p.table.unrecorded(p.pending)
	return len(p.pending), nil
}

func sizeOfRecords(records []storer.Record) (size int) {
	for _, r := range records {
		size += len(r.Key) + len(r.Value) + recordOverhead
	}
	return size
}

// DeleteExpired deletes jobs past their retention in the partitions that are owned
// according to owns, until ctx ends.
func (s *JobStorer) DeleteExpired(ctx context.Context, owns func(identifier.PartitionNumber) bool) {
	for {
		select {
		case <-s.clock.After(deletionInterval):
		case <-ctx.Done():
			return
		}
		for n, p := range s.partitions {
			if !owns(identifier.PartitionNumber(n)) {
				continue
			}
			err := p.replicator.Append(ctx, func() []storer.Record { return p.table.deletionRecords(s.options.Retention) })
			if err != nil && !errors.Is(err, appender.ErrUnavailable) {
				klog.InfoS("settled batch jobs not dropped yet", "partition", n, "err", err)
			}
		}
	}
}

// maxDemandAge is the age up to which a job counts as demand. It covers several steps
// of the users' trainers, which start one every 4 s.
const maxDemandAge = 20 * time.Second

// Demand returns the number of tokens of the recent jobs of some partitions, by
// model.
func (s *JobStorer) Demand(partitions []identifier.PartitionNumber) map[identifier.ModelName]identifier.TokenCount {
	demand := make(map[identifier.ModelName]identifier.TokenCount)
	for _, n := range partitions {
		if s.hasPartition(n) {
			s.partitions[n].table.addDemand(demand)
		}
	}
	return demand
}
