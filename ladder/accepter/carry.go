package accepter

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Any entry may write a carry-forward record, and no leader is needed: each
// waits for a random part of a spread before it writes, and leaves it if
// another's has come meanwhile. Two that write at once do no harm, nor does one
// that was paused: its record is true of the prefix that it names.

const (
	// carriesPerRetention is how many carry-forwards the log holds, so that
	// some may fail.
	carriesPerRetention = 4
	// maxChangesUncarried bounds what a new reader must apply.
	maxChangesUncarried = 256
	// spreadsPerInterval and longestSpread bound the random wait.
	spreadsPerInterval = 4
	longestSpread      = 10 * time.Minute
	// maxCarryLag is how many records may lie between a carry-forward's
	// prefix and the record itself for it to count as a renewal.
	maxCarryLag = 32
	// appendTimeout bounds the append of a carry-forward.
	appendTimeout = 10 * time.Second
)

// carried tells of a carry-forward.
type carried struct {
	revision identifier.Revision
	// at is the log's time of the first record that it doesn't cover: the
	// carry-forward is of use until that record has left the log.
	at time.Time
}

func (f *Follower) interval() time.Duration { return f.options.Retention / carriesPerRetention }

func (f *Follower) spread() time.Duration {
	return min(f.interval()/spreadsPerInterval, longestSpread)
}

// carry writes carry-forward records until ctx ends.
func (f *Follower) carry(ctx context.Context) {
	if f.spread() <= 0 {
		return
	}
	for ctx.Err() == nil {
		if !f.waitUntilDue(ctx) {
			continue
		}
		f.sleep(ctx, time.Duration(f.random.Int64N(int64(f.spread()))))
		if _, due := f.due(); !due || ctx.Err() != nil {
			continue
		}
		if err := f.carryForward(ctx); err != nil {
			klog.V(1).InfoS("accepted state not carried forward", "err", err)
		}
		f.sleep(ctx, f.spread())
	}
}

// waitUntilDue waits for a change, or until a carry-forward is due; it returns
// whether one is.
func (f *Follower) waitUntilDue(ctx context.Context) bool {
	changed := f.Changed()
	wait, due := f.due()
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

// due says whether a carry-forward is due, or how long none will be if nothing
// changes.
func (f *Follower) due() (wait time.Duration, due bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.caughtUp || f.behindGap || f.state.Revision == 0 {
		return f.interval(), false
	}
	age := f.clock.Since(f.carried.at)
	due = age >= f.interval() || f.state.Revision-f.carried.revision >= maxChangesUncarried
	return max(f.interval()-age, time.Millisecond), due
}

func (f *Follower) carryForward(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "carry forward")
	f.mutex.Lock()
	s := f.state
	f.mutex.Unlock()
	c, err := s.Checkpoint()
	if err != nil {
		return err
	}
	data, err := EncodeRecord(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = f.log.Append(ctx, appender.StreamConfiguration, [][]byte{data})
	return err
}

// noteCarried remembers a carry-forward record that renews what new readers
// start from; one that a paused entry wrote too late doesn't. The caller holds
// the mutex.
func (f *Follower) noteCarried(c Checkpoint, record appender.Record, v Verdict) {
	if i, ok := v.(Ignored); ok && i.Reason == reasonDisagrees {
		klog.ErrorS(nil, "carry-forward record disagrees with what was read", "offset", record.Offset, "revision", c.Revision)
		return
	}
	if record.Offset-c.NextOffset >= maxCarryLag {
		return
	}
	if at := f.times[c.NextOffset%maxCarryLag]; at.After(f.carried.at) {
		f.carried = carried{revision: c.Revision, at: at}
	}
}
