package executor

import (
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

const (
	// maxKept bounds the answers kept after they were taken.
	maxKept = 256
	// maxKeptBytes bounds each of them.
	maxKeptBytes = 16 << 10
)

// trace is what is remembered of an attempt.
type trace struct {
	since time.Time
	// answer is a Refused or an End, sent again to whoever asks.
	answer messenger.AttemptResult
}

// traceOrTombstone answers for an attempt that isn't held. One without a
// trace never started here, if it is young enough to have left one; the
// answer makes sure that it never will. The caller holds the mutex.
func (e *Executor) traceOrTombstone(k key) messenger.AttemptResult {
	if t, ok := e.traces[k]; ok {
		return t.answer
	}
	if e.clock.Now().Sub(issuedAt(k)) > e.options.TraceRetention/2 {
		return messenger.End{Request: k.request, Attempt: k.attempt, Incarnation: e.options.Incarnation, Reason: messenger.EndDropped}
	}
	answer := messenger.Refused{
		Request: k.request, Attempt: k.attempt, Incarnation: e.options.Incarnation,
		Reason: messenger.RefusedNeverStarted,
	}
	e.traces[k] = trace{since: e.clock.Now(), answer: answer}
	return answer
}

// issuedAt reads the time in the request's UUIDv7; the zero time if it has
// none.
func issuedAt(k key) time.Time {
	id, err := uuid.Parse(string(k.request))
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

// keepable says whether the job's answer is to be kept after it was taken.
func (j *job) keepable() bool {
	end, ok := j.answer.(messenger.End)
	return ok && end.Reason == messenger.EndComplete && j.start.RetainResponse && j.output.Length() <= maxKeptBytes
}

// taken notes that an entry has the whole answer, and drops it unless the
// request may come again. Of those that are kept, the oldest make way.
func (e *Executor) taken(k key) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j, ok := e.jobs[k]
	if !ok || !j.keepable() {
		e.release(k)
		return
	}
	if j.taken {
		return
	}
	j.taken = true
	e.kept = append(e.kept, k)
	if len(e.kept) > maxKept {
		e.release(e.kept[0])
		e.kept = e.kept[1:]
	}
}

// forget drops traces and untaken answers that have grown too old. Run calls
// it now and then.
func (e *Executor) forget() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	for k, t := range e.traces {
		if now.Sub(t.since) > e.options.TraceRetention {
			delete(e.traces, k)
		}
	}
	for k, j := range e.jobs {
		if j.answer != nil && now.Sub(j.endedAt) > e.options.ResponseRetention {
			klog.InfoS("answer dropped, nobody took it", "request", k.request, "attempt", k.attempt)
			e.release(k)
		}
	}
}

// release drops an ended job's answer and keeps a trace. The caller holds the
// mutex.
func (e *Executor) release(k key) {
	j, ok := e.jobs[k]
	if !ok || j.answer == nil {
		return
	}
	delete(e.jobs, k)
	answer := j.answer
	if end, ok := answer.(messenger.End); ok {
		end.Reason = messenger.EndDropped
		answer = end
	}
	e.traces[k] = trace{since: e.clock.Now(), answer: answer}
}
