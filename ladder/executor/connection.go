package executor

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
)

const (
	// chunkBytes is small so that a long response does not delay a short one.
	chunkBytes = 16 << 10
	// retryAfterFull is the retry delay reported when the queue is full.
	retryAfterFull = time.Second
	// retryAfterLeaving is short because other targets are available.
	retryAfterLeaving = 200 * time.Millisecond
)

// connection handles the messages of one link.
type connection struct {
	executor *Executor
	link     messenger.Link
	tasks    *conc.WaitGroup
	// ctx ends with the link.
	ctx context.Context
	// lastConfiguration is the newest Configuration received on this link. The
	// revision in a heartbeat refers to it, not to a Configuration that another
	// entry has sent since.
	lastConfiguration messenger.Configuration
}

func (c *connection) handle(m messenger.Message) error {
	e := c.executor
	switch m := m.(type) {
	case messenger.Hello:
		e.goals.Learn(m.Goals)
	case messenger.Heartbeat:
		e.goals.Learn(m.Goals)
		c.confirmRevision(m.Revision)
	case messenger.Start:
		c.handleStart(m)
	case messenger.Cancel:
		c.handleCancel(m)
	case messenger.Resume:
		c.handleResume(m)
	case messenger.Release:
		e.markDelivered(attemptKey{m.Request, m.Attempt})
	case messenger.Configuration:
		c.lastConfiguration = m
		e.applyConfiguration(m)
	case messenger.Locate:
		c.send(e.locate(m))
	case messenger.Crashed:
		if e.quarantine.RecordCrash(m) {
			c.tasks.Go(func() { e.broadcast(c.ctx, c.link, m) })
		}
	case messenger.Chunk, messenger.End, messenger.Refused, messenger.Located, messenger.Question, messenger.Reply:
		return errUnexpectedMessage
	}
	return nil
}

func (c *connection) send(m messenger.Message) {
	c.tasks.Go(func() { _ = c.executor.heartbeats.SendWithDeadline(c.ctx, c.link, m) })
}

// handleStart accepts a new attempt, or continues the known attempt of the same
// request and number.
func (c *connection) handleStart(m messenger.Start) {
	e := c.executor
	k := attemptKey{m.Request, m.Attempt}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if t, ok := e.traces[k]; ok {
		c.send(t.result)
		return
	}
	a, ok := e.attempts[k]
	if !ok {
		m.Exclusive = m.Exclusive || e.mustRunExclusively(m)
		if refusal := e.admit(m); refusal != nil {
			e.traces[k] = trace{since: e.clock.Now(), result: *refusal}
			c.send(*refusal)
			return
		}
		a = newAttempt(m, e.clock.Now())
		e.attempts[k] = a
	}
	c.sendResponse(a, 0)
}

// admit returns the reason why the attempt can't start, or nil once it is
// queued. The caller holds the mutex.
func (e *Executor) admit(m messenger.Start) *messenger.Refused {
	if m.Incarnation != e.options.Incarnation {
		return e.newRefusal(m, messenger.RefusedOtherIncarnation, 0)
	}
	if e.leaving {
		return e.newRefusal(m, messenger.RefusedLeaving, retryAfterLeaving)
	}
	if v, ok := e.quarantine.Check(m.Fingerprint).(quarantiner.Refused); ok {
		return e.newRefusal(m, messenger.RefusedQuarantined, v.RetryAfter)
	}
	item := queueItemOf(m)
	if err := e.queue.Put(item); err != nil {
		return e.newRefusal(m, messenger.RefusedQueueFull, retryAfterFull)
	}
	return nil
}

func (e *Executor) newRefusal(m messenger.Start, reason messenger.RefusalReason, retryAfter time.Duration) *messenger.Refused {
	return &messenger.Refused{
		Request: m.Request, Attempt: m.Attempt, Incarnation: e.options.Incarnation,
		Reason: reason, RetryAfter: retryAfter,
	}
}

// handleCancel removes queued work from the queue or cancels running work,
// unless another entry follows it.
func (c *connection) handleCancel(m messenger.Cancel) {
	e := c.executor
	k := attemptKey{m.Request, m.Attempt}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a, ok := e.attempts[k]
	if !ok {
		c.send(e.traceOrTombstone(k))
		return
	}
	if _, linked := e.links[a.ownerLink]; linked && a.ownerLink != c.link {
		// Another entry has taken the work over.
		return
	}
	a.abandoned = true
	if e.queue.Remove(m.Request, m.Attempt) {
		e.finish(a, *e.newRefusal(a.start, messenger.RefusedNeverStarted, 0))
		return
	}
	a.cancel()
}

// handleResume sends an attempt's response from an offset.
func (c *connection) handleResume(m messenger.Resume) {
	e := c.executor
	k := attemptKey{m.Request, m.Attempt}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if a, ok := e.attempts[k]; ok {
		c.sendResponse(a, m.Offset)
		return
	}
	c.send(e.traceOrTombstone(k))
}

func (e *Executor) applyConfiguration(m messenger.Configuration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if m.Revision < e.configuration.Revision || m == e.configuration {
		return
	}
	e.configuration = m
	e.quarantine.SetCrashRetention(m.CrashQuarantine)
	e.queue.Resize(m.Slots, m.QueueLimit)
}

// confirmRevision applies a later revision at which the entry's last
// Configuration is in force, again or unchanged.
func (c *connection) confirmRevision(r identifier.Revision) {
	if r > c.lastConfiguration.Revision && c.lastConfiguration.Revision > 0 {
		c.lastConfiguration.Revision = r
		c.executor.applyConfiguration(c.lastConfiguration)
	}
}

func (e *Executor) locate(m messenger.Locate) messenger.Located {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	reply := messenger.Located{Incarnation: e.options.Incarnation}
	requested := make(map[string]bool, len(m.Samples))
	for _, s := range m.Samples {
		requested[string(s)] = true
	}
	for k, a := range e.attempts {
		if s := a.start.Sample; s != "" && requested[string(s)] && a.mayComplete() {
			reply.Samples = append(reply.Samples, messenger.HeldSample{Sample: s, Request: k.request, Attempt: k.attempt})
		}
	}
	return reply
}
