package executor

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
)

// A report goes out before the answers of the work that the crash ended, so
// that an entry knows of it before it tries that work elsewhere.

// suspected says whether the work must run alone.
func (e *Executor) suspected(m messenger.Start) bool {
	_, alone := e.quarantine.Check(m.Fingerprint).(quarantiner.Alone)
	return alone
}

// putBack keeps work that has become suspect while it waited from running
// beside other work. It returns whether the work must not start now.
func (e *Executor) putBack(j *job) bool {
	v := e.quarantine.Check(j.start.Fingerprint)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch v := v.(type) {
	case quarantiner.Free:
		return false
	case quarantiner.Refused:
		e.finish(j, *e.refused(j.start, messenger.RefusedQuarantined, v.RetryAfter))
		return true
	case quarantiner.Alone:
	}
	if j.start.Exclusive {
		return false
	}
	j.start.Exclusive = true
	if e.queue.Put(itemOf(j.start)) != nil {
		e.finish(j, *e.refused(j.start, messenger.RefusedQueueFull, retryAfterFull))
	}
	return true
}

func (e *Executor) setBootID(j *job, bootID string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j.bootID = bootID
}

// reportCrash tells every entry what was at the target, if its process bootID
// has died under work that broke off. A target that no longer answers counts as
// dead.
func (e *Executor) reportCrash(ctx context.Context, bootID string) {
	if ctx.Err() != nil || bootID == "" {
		return
	}
	now, err := e.state(context.WithoutCancel(ctx))
	if err == nil && now.BootID == bootID {
		return
	}
	// The first to see the crash reports; the others wait until that is done.
	e.crashes.Lock()
	defer e.crashes.Unlock()
	m := messenger.Crashed{Target: e.options.Target, BootID: bootID, Fingerprints: e.at(bootID)}
	if e.quarantine.RecordCrash(m) {
		klog.InfoS("target crashed", "boot-id", bootID, "requests", len(m.Fingerprints))
		e.broadcast(context.WithoutCancel(ctx), nil, m)
	}
}

// at returns the fingerprints of the work that is at the target's process.
func (e *Executor) at(bootID string) []identifier.Fingerprint {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var at []identifier.Fingerprint
	for _, j := range e.jobs {
		if j.bootID == bootID && j.answer == nil {
			at = append(at, j.start.Fingerprint)
		}
	}
	return at
}

// reportWhole clears work that ran alone of the crashes that it was at.
func (e *Executor) reportWhole(ctx context.Context, j *job) {
	if !j.start.Exclusive {
		return
	}
	for _, m := range e.quarantine.MarkSafe(j.start.Fingerprint) {
		e.broadcast(context.WithoutCancel(ctx), nil, m)
	}
}
