package executor

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
)

// A crash report is sent before the results of the work that the crash ended,
// so that entries know of the crash before they retry that work elsewhere.

// mustRunExclusively reports whether the work may not run concurrently with
// other work.
func (e *Executor) mustRunExclusively(m messenger.Start) bool {
	_, exclusive := e.quarantine.Check(m.Fingerprint).(quarantiner.Alone)
	return exclusive
}

// requeueIfSuspect prevents work that has become suspected of crashing targets
// while it was queued from running concurrently with other work. It returns
// true if the work must not start now.
func (e *Executor) requeueIfSuspect(a *attempt) bool {
	v := e.quarantine.Check(a.start.Fingerprint)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch v := v.(type) {
	case quarantiner.Free:
		return false
	case quarantiner.Refused:
		e.finish(a, *e.newRefusal(a.start, messenger.RefusedQuarantined, v.RetryAfter))
		return true
	case quarantiner.Alone:
	}
	if a.start.Exclusive {
		return false
	}
	a.start.Exclusive = true
	if e.queue.Put(queueItemOf(a.start)) != nil {
		e.finish(a, *e.newRefusal(a.start, messenger.RefusedQueueFull, retryAfterFull))
	}
	return true
}

func (e *Executor) setBootID(a *attempt, bootID string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a.bootID = bootID
}

// reportCrash sends every entry the work that was running if the target process
// bootID died under it. A target that no longer responds counts as dead.
func (e *Executor) reportCrash(ctx context.Context, bootID string) {
	if ctx.Err() != nil || bootID == "" {
		return
	}
	current, err := e.targetState(context.WithoutCancel(ctx))
	if err == nil && current.BootID == bootID {
		return
	}
	// The first caller reports the crash; the others wait until it has been
	// sent.
	e.crashReport.Lock()
	defer e.crashReport.Unlock()
	m := messenger.Crashed{Target: e.options.Target, BootID: bootID, Fingerprints: e.runningFingerprints(bootID)}
	if e.quarantine.RecordCrash(m) {
		klog.InfoS("target crashed", "boot-id", bootID, "requests", len(m.Fingerprints))
		e.broadcast(context.WithoutCancel(ctx), nil, m)
	}
}

// runningFingerprints returns the fingerprints of the work running in the
// target process bootID.
func (e *Executor) runningFingerprints(bootID string) []identifier.Fingerprint {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var running []identifier.Fingerprint
	for _, a := range e.attempts {
		if a.bootID == bootID && a.result == nil {
			running = append(running, a.start.Fingerprint)
		}
	}
	return running
}

// reportSafe clears work that ran exclusively and completed from the crashes it
// was suspected of.
func (e *Executor) reportSafe(ctx context.Context, a *attempt) {
	if !a.start.Exclusive {
		return
	}
	for _, m := range e.quarantine.MarkSafe(a.start.Fingerprint) {
		e.broadcast(context.WithoutCancel(ctx), nil, m)
	}
}
