package jobstorer

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// The owner of a partition follows it all the time. Others follow it for a while
// after they had to answer for one of its jobs without the owner.

// use notes that the copy is wanted. It returns true if it isn't followed.
func (p *part) use(now time.Time) (idle bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.usedAt = now
	return p.stop == nil
}

// followOrStop begins or ends the following of a partition.
func (k *JobStorer) followOrStop(ctx context.Context, p *part, tasks *conc.WaitGroup) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wanted := len(p.pending) > 0 || (!p.usedAt.IsZero() && k.clock.Since(p.usedAt) < followFor)
	switch {
	case wanted && p.stop == nil:
		following, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		p.stop = func() { cancel(); <-ended }
		tasks.Go(func() {
			defer close(ended)
			recoverer.RestartOnPanic(following, k.clock, "partition of batch jobs", p.tracker.Run)
		})
	case !wanted && p.stop != nil:
		p.stop()
		p.stop = nil
		p.tracker.Forget()
	}
}

// ready follows the job's partition and waits until its copy is complete.
func (k *JobStorer) ready(ctx context.Context, id identifier.JobID) (*part, error) {
	p := k.partOf(id)
	if k.options.SinceStoreAnswer() > lostAfter && p.tracker.Age() > lostAfter {
		return nil, ErrStaleCopy
	}
	if !p.followed() && k.followedCount() >= mostFollowed {
		return nil, ErrStaleCopy
	}
	if p.use(k.clock.Now()) {
		select {
		case k.follow <- struct{}{}:
		default:
		}
	}
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !p.tracker.Known() {
		select {
		case <-k.clock.After(readyPause):
		case <-bounded.Done():
			return nil, ErrStaleCopy
		}
	}
	return p, nil
}

func (p *part) followed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stop != nil
}

func (k *JobStorer) followedCount() (count int) {
	for _, p := range k.parts {
		if p.followed() {
			count++
		}
	}
	return count
}

// CopyAge is how long ago the copy of a partition was known to be complete.
func (k *JobStorer) CopyAge(n identifier.PartitionNumber) time.Duration {
	return k.parts[n].tracker.Age()
}
