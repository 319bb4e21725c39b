// Package quarantiner finds the request that crashes each target that runs it,
// and keeps it from the targets that are left.
package quarantiner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A crash names everything that was at the target, and most of it was merely
// beside the cause. So what was at one crash runs alone from then on: a whole
// answer clears it of every crash known, and a crash of its own, after an
// earlier one, convicts it. A convicted request explains its crashes; what was
// beside it there is free again. News of crashes only grows, so that it spreads
// over links both ways in any order.

const (
	// maxCrashes bounds the crashes remembered; the oldest go first.
	maxCrashes = 256
	// maxFingerprints bounds what is remembered of one crash.
	maxFingerprints = 1024
	// firstPeriod holds until a document has said otherwise.
	firstPeriod = 10 * time.Minute
	// crashesToConvict is how many crashes a request must have been at, one of
	// them with nothing beside it.
	crashesToConvict = 2
)

// Verdict is Free, Alone or Refused.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Free says that the request was at no crash that isn't explained.
type Free struct{}

// Alone says that the request may only run with nothing beside it.
type Alone struct{}

// Refused says that the request crashes targets.
type Refused struct {
	// RetryAfter is when the request will be tried again.
	RetryAfter time.Duration
}

func (Free) verdict()    {}
func (Alone) verdict()   {}
func (Refused) verdict() {}

type crashID struct {
	target identifier.TargetName
	bootID string
}

type crash struct {
	at time.Time
	// present is what was at the target; cleared is a part of it. Both are
	// sorted and only grow.
	present, cleared []identifier.Fingerprint
}

// Quarantiner holds what one process knows of crashes.
type Quarantiner struct {
	clock clockwork.Clock

	mutex sync.Mutex
	// period is how long a crash counts.
	period  time.Duration
	crashes map[crashID]*crash
	// suspects counts the crashes that each request was at and isn't cleared
	// of. A request that isn't here is free.
	suspects map[identifier.Fingerprint]int
	// running has a channel for each suspect that runs; it is closed at the end.
	running map[identifier.Fingerprint]chan struct{}
}

// New returns a Quarantiner that knows of no crash.
func New(clock clockwork.Clock) *Quarantiner {
	return &Quarantiner{
		clock: clock, period: firstPeriod,
		crashes:  make(map[crashID]*crash),
		suspects: make(map[identifier.Fingerprint]int),
		running:  make(map[identifier.Fingerprint]chan struct{}),
	}
}

// SetCrashRetention changes how long a crash counts; 0 leaves it as it is.
func (q *Quarantiner) SetCrashRetention(d time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if d > 0 {
		q.period = d
	}
}

// RecordCrash takes news of a crash and returns whether it was new, so that it must
// be passed on.
func (q *Quarantiner) RecordCrash(m messenger.Crashed) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if m.BootID == "" || m.Age < 0 || m.Age > q.period {
		return false
	}
	id := crashID{m.Target, m.BootID}
	c, known := q.crashes[id]
	if !known {
		c = &crash{at: q.clock.Now().Add(-m.Age)}
	}
	present, cleared := union(c.present, m.Fingerprints), union(c.cleared, m.Cleared)
	if len(present) == len(c.present) && len(cleared) == len(c.cleared) {
		return false
	}
	c.present, c.cleared = present, cleared
	q.crashes[id] = c
	q.forget()
	return true
}

// Crashes returns every crash that still counts.
func (q *Quarantiner) Crashes() []messenger.Crashed {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.forget()
	all := make([]messenger.Crashed, 0, len(q.crashes))
	for id, c := range q.crashes {
		all = append(all, q.messageOf(id, c))
	}
	slices.SortFunc(all, byCrash)
	return all
}

// Check says how the request may run.
func (q *Quarantiner) Check(f identifier.Fingerprint) Verdict {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.judge(f)
}

// CrashedTargets returns the targets that have crashed with the request.
func (q *Quarantiner) CrashedTargets(f identifier.Fingerprint) map[identifier.TargetName]bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	targets := make(map[identifier.TargetName]bool)
	for id, c := range q.crashes {
		if q.counts(c) && c.suspects(f) {
			targets[id.target] = true
		}
	}
	return targets
}

// Acquire is Judge for a sender, who calls Leave once the request has ended,
// unless it was refused. Of equal requests that must run alone one is let in at
// a time, since the first may clear or convict all; the others wait until ctx
// ends.
func (q *Quarantiner) Acquire(ctx context.Context, f identifier.Fingerprint) (Verdict, error) {
	for {
		v, ended := q.tryEnter(f)
		if ended == nil {
			return v, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (q *Quarantiner) tryEnter(f identifier.Fingerprint) (v Verdict, ended <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	v = q.judge(f)
	if _, alone := v.(Alone); !alone {
		return v, nil
	}
	if ended, running := q.running[f]; running {
		return nil, ended
	}
	q.running[f] = make(chan struct{})
	return v, nil
}

// Release ends what Enter began with v.
func (q *Quarantiner) Release(f identifier.Fingerprint, v Verdict) {
	if _, alone := v.(Alone); !alone {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	close(q.running[f])
	delete(q.running, f)
}

// MarkSafe takes note that the request has run alone to a whole answer. It
// returns the news to be passed on.
func (q *Quarantiner) MarkSafe(f identifier.Fingerprint) (news []messenger.Crashed) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for id, c := range q.crashes {
		if c.suspects(f) {
			c.cleared = union(c.cleared, []identifier.Fingerprint{f})
			news = append(news, q.messageOf(id, c))
		}
	}
	q.forget()
	slices.SortFunc(news, byCrash)
	return news
}

func byCrash(a, b messenger.Crashed) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.BootID, b.BootID))
}

func (q *Quarantiner) messageOf(id crashID, c *crash) messenger.Crashed {
	return messenger.Crashed{
		Target: id.target, BootID: id.bootID, Fingerprints: slices.Clone(c.present),
		Cleared: slices.Clone(c.cleared), Age: max(0, q.clock.Since(c.at)),
	}
}

// forget drops what no longer counts, and counts the suspects anew. The caller
// holds the mutex.
func (q *Quarantiner) forget() {
	for id, c := range q.crashes {
		if q.clock.Since(c.at) > q.period {
			delete(q.crashes, id)
		}
	}
	for len(q.crashes) > maxCrashes {
		q.dropOldest()
	}
	clear(q.suspects)
	for _, c := range q.crashes {
		for _, f := range c.present {
			if c.suspects(f) {
				q.suspects[f]++
			}
		}
	}
}

func (q *Quarantiner) dropOldest() {
	var oldest crashID
	var at time.Time
	for id, c := range q.crashes {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = id, c.at
		}
	}
	delete(q.crashes, oldest)
}
