package accepter

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Any entry may write a checkpoint, without leader election. Each entry waits
// for a random delay before it writes, and skips the write if another entry
// has written a checkpoint in the meantime. Concurrent checkpoints are
// harmless, and so is one written late by a paused process: a checkpoint is a
// true statement about the prefix that it names.

const (
	// checkpointsPerRetention is the number of checkpoints written per
	// retention period. With several in the log, individual writes may fail.
	checkpointsPerRetention = 4
	// maxRevisionsPerCheckpoint limits the number of revisions that a new
	// reader has to apply after a checkpoint.
	maxRevisionsPerCheckpoint = 256
	// The random delay before a checkpoint is written is less than the
	// checkpoint interval divided by delaysPerInterval, and less than
	// maxCheckpointDelay.
	delaysPerInterval  = 4
	maxCheckpointDelay = 10 * time.Minute
	// maxCheckpointLag is the maximum number of records between the prefix
	// that a checkpoint covers and the checkpoint itself. Checkpoints written
	// later than that do not postpone the next one.
	maxCheckpointLag = 32
	// appendTimeout limits the append of a checkpoint.
	appendTimeout = 10 * time.Second
)

// checkpointCoverage describes the part of the log that a checkpoint covers.
type checkpointCoverage struct {
	revision identifier.Revision
	// uncoveredSince is the log timestamp of the first record that the
	// checkpoint does not cover. The checkpoint is usable until that record
	// has expired from the log.
	uncoveredSince time.Time
}

func (f *Follower) checkpointInterval() time.Duration {
	return f.options.Retention / checkpointsPerRetention
}

// checkpointDelay returns the upper limit of the random delay before a
// checkpoint is written, which is also the pause after the write.
func (f *Follower) checkpointDelay() time.Duration {
	return min(f.checkpointInterval()/delaysPerInterval, maxCheckpointDelay)
}

// writeCheckpoints writes checkpoints until ctx ends.
func (f *Follower) writeCheckpoints(ctx context.Context) {
	if f.checkpointDelay() <= 0 {
		return
	}
	for ctx.Err() == nil {
		if !f.waitForCheckpointDue(ctx) {
			continue
		}
		f.sleep(ctx, time.Duration(f.random.Int64N(int64(f.checkpointDelay()))))
		if _, due := f.checkpointDue(); !due || ctx.Err() != nil {
			continue
		}
		if err := f.writeCheckpoint(ctx); err != nil {
			klog.V(1).InfoS("checkpoint not written", "err", err)
		}
		f.sleep(ctx, f.checkpointDelay())
	}
}

// waitForCheckpointDue waits until the state changes or a checkpoint is due,
// and reports whether one is due.
func (f *Follower) waitForCheckpointDue(ctx context.Context) bool {
	changed := f.Changed()
	wait, due := f.checkpointDue()
	if due {
		return true
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-f.clock.After(wait):
	}
	return false
}

// checkpointDue reports whether a checkpoint is due, and otherwise after which
// time one will be due if the state does not change.
func (f *Follower) checkpointDue() (wait time.Duration, due bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.caughtUp || f.hasGap || f.state.Revision == 0 {
		return f.checkpointInterval(), false
	}
	age := f.clock.Since(f.coverage.uncoveredSince)
	due = age >= f.checkpointInterval() || f.state.Revision-f.coverage.revision >= maxRevisionsPerCheckpoint
	return max(f.checkpointInterval()-age, time.Millisecond), due
}

func (f *Follower) writeCheckpoint(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "write checkpoint")
	f.mutex.Lock()
	s := f.state
	f.mutex.Unlock()
	checkpoint, err := s.Checkpoint()
	if err != nil {
		return err
	}
	data, err := EncodeRecord(checkpoint)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = f.log.Append(ctx, appender.StreamConfiguration, [][]byte{data})
	return err
}

// recordCheckpoint updates the coverage from a checkpoint in the log.
// Checkpoints that a paused entry wrote too late are skipped. The caller holds
// the mutex.
func (f *Follower) recordCheckpoint(c Checkpoint, record appender.Record, v Verdict) {
	if i, ok := v.(Ignored); ok && i.Reason == reasonCheckpointMismatch {
		klog.ErrorS(nil, "checkpoint disagrees with the log", "offset", record.Offset, "revision", c.Revision)
		return
	}
	if record.Offset-c.NextOffset >= maxCheckpointLag {
		return
	}
	if at := f.recordTimes[c.NextOffset%maxCheckpointLag]; at.After(f.coverage.uncoveredSince) {
		f.coverage = checkpointCoverage{revision: c.Revision, uncoveredSince: at}
	}
}
