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
	// chunkBytes is small, so that a long stream doesn't block a short one.
	chunkBytes = 16 << 10
	// retryAfterFull is the wait that a full queue asks for.
	retryAfterFull = time.Second
	// retryAfterLeaving is short: other targets are there.
	retryAfterLeaving = 200 * time.Millisecond
)

// connection serves the messages of one link.
type connection struct {
	executor *Executor
	link     messenger.Link
	pumps    *conc.WaitGroup
	// ctx ends with the link.
	ctx context.Context
	// last is the newest Configuration that came on this link; a heartbeat's
	// revision speaks of it, and not of what another entry has sent since.
	last messenger.Configuration
}

func (c *connection) handle(m messenger.Message) error {
	e := c.executor
	switch m := m.(type) {
	case messenger.Hello:
		e.goals.Learn(m.Goals)
	case messenger.Heartbeat:
		e.goals.Learn(m.Goals)
		c.confirm(m.Revision)
	case messenger.Start:
		c.start(m)
	case messenger.Cancel:
		c.cancel(m)
	case messenger.Resume:
		c.resume(m)
	case messenger.Release:
		e.taken(key{m.Request, m.Attempt})
	case messenger.Configuration:
		c.last = m
		e.configure(m)
	case messenger.Locate:
		c.send(e.locate(m))
	case messenger.Crashed:
		if e.quarantine.RecordCrash(m) {
			c.pumps.Go(func() { e.broadcast(c.ctx, c.link, m) })
		}
	case messenger.Chunk, messenger.End, messenger.Refused, messenger.Located, messenger.Question, messenger.Reply:
		return errUnexpected
	}
	return nil
}

func (c *connection) send(m messenger.Message) {
	c.pumps.Go(func() { _ = c.executor.beats.SendWithDeadline(c.ctx, c.link, m) })
}

// start takes a new attempt, or joins the one already known under its name.
func (c *connection) start(m messenger.Start) {
	e := c.executor
	k := key{m.Request, m.Attempt}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if t, ok := e.traces[k]; ok {
		c.send(t.answer)
		return
	}
	j, ok := e.jobs[k]
	if !ok {
		m.Exclusive = m.Exclusive || e.suspected(m)
		if refused := e.admit(m); refused != nil {
			e.traces[k] = trace{since: e.clock.Now(), answer: *refused}
			c.send(*refused)
			return
		}
		j = newJob(m, e.clock.Now())
		e.jobs[k] = j
	}
	c.pump(j, 0)
}

// admit returns why the attempt can't start, or nil once it is queued. The
// caller holds the mutex.
func (e *Executor) admit(m messenger.Start) *messenger.Refused {
	if m.Incarnation != e.options.Incarnation {
		return e.refused(m, messenger.RefusedOtherIncarnation, 0)
	}
	if e.leaving {
		return e.refused(m, messenger.RefusedLeaving, retryAfterLeaving)
	}
	if v, ok := e.quarantine.Check(m.Fingerprint).(quarantiner.Refused); ok {
		return e.refused(m, messenger.RefusedQuarantined, v.RetryAfter)
	}
	i := itemOf(m)
	if err := e.queue.Put(i); err != nil {
		return e.refused(m, messenger.RefusedQueueFull, retryAfterFull)
	}
	return nil
}

func (e *Executor) refused(m messenger.Start, reason messenger.RefusalReason, retryAfter time.Duration) *messenger.Refused {
	return &messenger.Refused{
		Request: m.Request, Attempt: m.Attempt, Incarnation: e.options.Incarnation,
		Reason: reason, RetryAfter: retryAfter,
	}
}

// cancel takes waiting work out of the queue, or stops running work, unless
// another entry follows it.
func (c *connection) cancel(m messenger.Cancel) {
	e := c.executor
	k := key{m.Request, m.Attempt}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j, ok := e.jobs[k]
	if !ok {
		c.send(e.traceOrTombstone(k))
		return
	}
	if _, up := e.links[j.owner]; up && j.owner != c.link {
		// Another entry has taken the work over.
		return
	}
	j.abandoned = true
	if e.queue.Remove(m.Request, m.Attempt) {
		e.finish(j, *e.refused(j.start, messenger.RefusedNeverStarted, 0))
		return
	}
	j.cancel()
}

// resume sends an attempt's answer from an offset.
func (c *connection) resume(m messenger.Resume) {
	e := c.executor
	k := key{m.Request, m.Attempt}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if j, ok := e.jobs[k]; ok {
		c.pump(j, m.Offset)
		return
	}
	c.send(e.traceOrTombstone(k))
}

func (e *Executor) configure(m messenger.Configuration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if m.Revision < e.configuration.Revision || m == e.configuration {
		return
	}
	e.configuration = m
	e.quarantine.SetCrashRetention(m.CrashQuarantine)
	e.queue.Resize(m.Slots, m.QueueLimit)
}

// confirm takes a later revision under which the entry's last Configuration is
// in force again or still.
func (c *connection) confirm(r identifier.Revision) {
	if r > c.last.Revision && c.last.Revision > 0 {
		c.last.Revision = r
		c.executor.configure(c.last)
	}
}

func (e *Executor) locate(m messenger.Locate) messenger.Located {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	located := messenger.Located{Incarnation: e.options.Incarnation}
	wanted := make(map[string]bool, len(m.Samples))
	for _, s := range m.Samples {
		wanted[string(s)] = true
	}
	for k, j := range e.jobs {
		if s := j.start.Sample; s != "" && wanted[string(s)] && j.useful() {
			located.Samples = append(located.Samples, messenger.HeldSample{Sample: s, Request: k.request, Attempt: k.attempt})
		}
	}
	return located
}
