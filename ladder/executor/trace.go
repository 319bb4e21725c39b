package executor

import (
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

const (
	// maxRetained limits the number of responses kept after delivery.
	maxRetained = 256
	// maxRetainedBytes limits the size of each of them.
	maxRetainedBytes = 16 << 10
)

// trace records the result of an attempt whose response is no longer held.
type trace struct {
	since time.Time
	// result is a Refused or an End, sent again on request.
	result messenger.AttemptResult
}

// traceOrTombstone returns the result of an attempt that is not held. An
// attempt without a trace never started here, provided it is young enough that
// its trace would still exist; the tombstone recorded for it ensures that it
// never will. The caller holds the mutex.
func (e *Executor) traceOrTombstone(k attemptKey) messenger.AttemptResult {
	if t, ok := e.traces[k]; ok {
		return t.result
	}
	if e.clock.Now().Sub(issuedAt(k)) > e.options.TraceRetention/2 {
		return messenger.End{Request: k.request, Attempt: k.attempt, Incarnation: e.options.Incarnation, Reason: messenger.EndDropped}
	}
	result := messenger.Refused{
		Request: k.request, Attempt: k.attempt, Incarnation: e.options.Incarnation,
		Reason: messenger.RefusedNeverStarted,
	}
	e.traces[k] = trace{since: e.clock.Now(), result: result}
	return result
}

// issuedAt returns the time in the request's UUIDv7, the zero time if it has
// none.
func issuedAt(k attemptKey) time.Time {
	id, err := uuid.Parse(string(k.request))
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

// retainable reports whether the response is to be kept after delivery.
func (a *attempt) retainable() bool {
	end, ok := a.result.(messenger.End)
	return ok && end.Reason == messenger.EndComplete && a.start.RetainResponse && a.output.Length() <= maxRetainedBytes
}

// markDelivered records that an entry has the complete response, and drops the
// response unless the request may be repeated. Beyond maxRetained, the oldest
// responses are dropped.
func (e *Executor) markDelivered(k attemptKey) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a, ok := e.attempts[k]
	if !ok || !a.retainable() {
		e.release(k)
		return
	}
	if a.delivered {
		return
	}
	a.delivered = true
	e.retained = append(e.retained, k)
	if len(e.retained) > maxRetained {
		e.release(e.retained[0])
		e.retained = e.retained[1:]
	}
}

// cleanUp deletes expired traces, and responses that no entry has received
// within ResponseRetention.
func (e *Executor) cleanUp() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	for k, t := range e.traces {
		if now.Sub(t.since) > e.options.TraceRetention {
			delete(e.traces, k)
		}
	}
	for k, a := range e.attempts {
		if a.result != nil && now.Sub(a.endedAt) > e.options.ResponseRetention {
			klog.InfoS("response dropped, not fetched by any entry", "request", k.request, "attempt", k.attempt)
			e.release(k)
		}
	}
}

// release drops the response of an ended attempt and records a trace. The
// caller holds the mutex.
func (e *Executor) release(k attemptKey) {
	a, ok := e.attempts[k]
	if !ok || a.result == nil {
		return
	}
	delete(e.attempts, k)
	result := a.result
	if end, ok := result.(messenger.End); ok {
		end.Reason = messenger.EndDropped
		result = end
	}
	e.traces[k] = trace{since: e.clock.Now(), result: result}
}
