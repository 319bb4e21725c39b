// Package quarantiner finds requests that crash each target that runs them, and
// keeps them away from the remaining targets.
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

// A crash report names every request that was running at the target, and most of
// them didn't cause the crash. Each of them therefore runs alone afterwards, and a
// complete answer clears it of all known crashes. A request seen at two crashes, at
// one of them as the only request not cleared, is identified as the cause. It
// explains its crashes, so the other requests seen there are free again. Crash
// reports only ever gain entries, so they can be merged in any order and travel
// over links both ways.

const (
	// maxCrashes bounds the remembered crashes; the oldest are dropped first.
	maxCrashes = 256
	// maxFingerprints bounds the requests remembered for each crash.
	maxFingerprints = 1024
	// defaultRetention applies until a configuration sets another.
	defaultRetention = 10 * time.Minute
	// crashesToRefuse is how many crashes a request must have been running at
	// to be refused; at one of them it must be the only request not cleared.
	crashesToRefuse = 2
)

// Verdict is Free, Alone or Refused.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Free means that the request was running at no crash of unknown cause.
type Free struct{}

// Alone means that the request may run only with nothing else running.
type Alone struct{}

// Refused means that the request crashes targets.
type Refused struct {
	// RetryAfter is when the request will be accepted again.
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
	// present has the requests that were running; cleared is the subset that
	// has been cleared. Both are sorted and only grow.
	present, cleared []identifier.Fingerprint
}

// Quarantiner holds the crashes known to one process.
type Quarantiner struct {
	clock clockwork.Clock

	mutex sync.Mutex
	// retention is how long a crash counts.
	retention time.Duration
	crashes   map[crashID]*crash
	// suspectCounts has, for each request, the crashes it was running at and is
	// not cleared of. A request without an entry is free.
	suspectCounts map[identifier.Fingerprint]int
	// running has a channel for each suspect that is running; it is closed when
	// the suspect ends.
	running map[identifier.Fingerprint]chan struct{}
}

// New returns a Quarantiner that knows of no crash.
func New(clock clockwork.Clock) *Quarantiner {
	return &Quarantiner{
		clock: clock, retention: defaultRetention,
		crashes:       make(map[crashID]*crash),
		suspectCounts: make(map[identifier.Fingerprint]int),
		running:       make(map[identifier.Fingerprint]chan struct{}),
	}
}

// SetCrashRetention sets how long a crash is taken into account; 0 changes nothing.
func (q *Quarantiner) SetCrashRetention(d time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if d > 0 {
		q.retention = d
	}
}

// RecordCrash merges a crash report and returns whether it contained anything new,
// so that it must be passed on.
func (q *Quarantiner) RecordCrash(m messenger.Crashed) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if m.BootID == "" || m.Age < 0 || m.Age > q.retention {
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
	q.expire()
	return true
}

// Crashes returns every crash within the retention period.
func (q *Quarantiner) Crashes() []messenger.Crashed {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire()
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
	return q.check(f)
}

// CrashedTargets returns the targets that crashed while they ran the request.
func (q *Quarantiner) CrashedTargets(f identifier.Fingerprint) map[identifier.TargetName]bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	targets := make(map[identifier.TargetName]bool)
	for id, c := range q.crashes {
		if q.isCurrent(c) && c.isSuspect(f) {
			targets[id.target] = true
		}
	}
	return targets
}

// Acquire is Check for a sender, who calls Release once the request has ended. It
// admits equal requests that must run alone one at a time, since the first may
// clear or incriminate all of them; the others wait until ctx ends. No Release is
// needed after a Refused.
func (q *Quarantiner) Acquire(ctx context.Context, f identifier.Fingerprint) (Verdict, error) {
	for {
		v, ended := q.tryAcquire(f)
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

func (q *Quarantiner) tryAcquire(f identifier.Fingerprint) (v Verdict, ended <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	v = q.check(f)
	if _, alone := v.(Alone); !alone {
		return v, nil
	}
	if ended, running := q.running[f]; running {
		return nil, ended
	}
	q.running[f] = make(chan struct{})
	return v, nil
}

// Release ends a request for which Acquire returned v.
func (q *Quarantiner) Release(f identifier.Fingerprint, v Verdict) {
	if _, alone := v.(Alone); !alone {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	close(q.running[f])
	delete(q.running, f)
}

// MarkSafe records that the request has run alone to a complete answer. It returns
// the changed crash reports, which must be passed on.
func (q *Quarantiner) MarkSafe(f identifier.Fingerprint) (changed []messenger.Crashed) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for id, c := range q.crashes {
		if c.isSuspect(f) {
			c.cleared = union(c.cleared, []identifier.Fingerprint{f})
			changed = append(changed, q.messageOf(id, c))
		}
	}
	q.expire()
	slices.SortFunc(changed, byCrash)
	return changed
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

// expire drops crashes beyond the retention period and recounts the suspects. The
// caller holds the mutex.
func (q *Quarantiner) expire() {
	for id, c := range q.crashes {
		if q.clock.Since(c.at) > q.retention {
			delete(q.crashes, id)
		}
	}
	for len(q.crashes) > maxCrashes {
		q.dropOldest()
	}
	clear(q.suspectCounts)
	for _, c := range q.crashes {
		for _, f := range c.present {
			if c.isSuspect(f) {
				q.suspectCounts[f]++
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
