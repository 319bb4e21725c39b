package jobstorer

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// The owner of a partition follows it permanently. Other processes follow it for some
// time after they had to answer a request for one of its jobs in place of the owner.

// markUsed notes that the copy is needed. It returns true if the partition is not
// followed.
func (p *partition) markUsed(now time.Time) (unfollowed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.usedAt = now
	return p.stop == nil
}

// updateFollowing starts or stops following a partition.
func (s *JobStorer) updateFollowing(ctx context.Context, p *partition, tasks *conc.WaitGroup) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	needed := len(p.pending) > 0 || (!p.usedAt.IsZero() && s.clock.Since(p.usedAt) < followTime)
	switch {
	case needed && p.stop == nil:
		following, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		p.stop = func() { cancel(); <-ended }
		tasks.Go(func() {
			defer close(ended)
			recoverer.RestartOnPanic(following, s.clock, "partition of batch jobs", p.replicator.Run)
		})
	case !needed && p.stop != nil:
		p.stop()
		p.stop = nil
		p.replicator.Forget()
	}
}

// awaitCopy follows the partition of the job and waits until the copy is complete.
func (s *JobStorer) awaitCopy(ctx context.Context, id identifier.JobID) (*partition, error) {
	p := s.partitionFor(id)
	if s.options.SinceStoreAnswer() > storeLostAfter && p.replicator.Age() > storeLostAfter {
		return nil, ErrStaleCopy
	}
	if !p.isFollowed() && s.followedCount() >= maxFollowed {
		return nil, ErrStaleCopy
	}
	if p.markUsed(s.clock.Now()) {
		select {
		case s.followChanged <- struct{}{}:
		default:
		}
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	for !p.replicator.Known() {
		select {
		case <-s.clock.After(copyPollInterval):
		case <-timeoutCtx.Done():
			return nil, ErrStaleCopy
		}
	}
	return p, nil
}

func (p *partition) isFollowed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stop != nil
}

func (s *JobStorer) followedCount() (count int) {
	for _, p := range s.partitions {
		if p.isFollowed() {
			count++
		}
	}
	return count
}

// CopyAge returns the time since the copy of a partition was last known to be
// complete.
func (s *JobStorer) CopyAge(n identifier.PartitionNumber) time.Duration {
	return s.partitions[n].replicator.Age()
}
