package executor

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accumulator"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
)

// job is one attempt that is held: waiting, running, or ended and not taken.
type job struct {
	start  messenger.Start
	output *accumulator.Accumulator
	// deadline is when the caller stops waiting.
	deadline time.Time
	// ctx ends when the work is given up.
	ctx    context.Context
	cancel context.CancelFunc
	// waited is how long the work was in the queue.
	waited time.Duration
	// answer is a Refused or an End, nil until the attempt has ended. It is
	// set before output ends.
	answer  messenger.AttemptResult
	endedAt time.Time
	// bootID names the target's process that the work was handed to; empty
	// while it waits.
	bootID string
	// abandoned says that nobody will take the answer.
	abandoned bool
	// taken says that an entry has the whole answer; it is kept for whoever
	// sends the request again.
	taken bool
	// owner is the link that the answer goes to, and lostAt when it was lost.
	owner  messenger.Link
	lostAt time.Time
	// stopPump ends the task that sends to owner.
	stopPump context.CancelFunc
}

func newJob(m messenger.Start, now time.Time) *job {
	ctx, cancel := context.WithCancel(context.Background())
	return &job{
		start: m, output: accumulator.New(), deadline: now.Add(m.Timeout),
		ctx: ctx, cancel: cancel, stopPump: func() {},
	}
}

func itemOf(m messenger.Start) queuer.Item {
	return queuer.Item{
		Request: m.Request, Attempt: m.Attempt, Class: m.Class, Urgency: m.Urgency, ExpectedTokens: m.ExpectedTokens, Exclusive: m.Exclusive,
		TimeLeft: m.Timeout,
	}
}

// useful says whether the job's answer is, or may still become, a whole one.
func (j *job) useful() bool {
	if j.answer == nil {
		return j.ctx.Err() == nil
	}
	end, ok := j.answer.(messenger.End)
	return ok && end.Reason == messenger.EndComplete
}

// pump sends the job's answer from offset on this link, and on no other any
// longer. The caller holds the executor's mutex.
func (c *connection) pump(j *job, offset uint64) {
	j.stopPump()
	ctx, cancel := context.WithCancel(c.ctx)
	j.stopPump, j.owner = cancel, c.link
	c.pumps.Go(func() {
		defer cancel()
		c.follow(ctx, j, offset)
	})
}

// leastOf is how many bytes beyond offset are worth a frame: the first at once,
// since the entry judges targets by when they begin, then, for a caller who
// doesn't follow it, a full chunk. An engine makes a token at a time, and
// a frame for each would cost more than the token.
func (j *job) leastOf(offset uint64) uint64 {
	if j.start.Streamed || offset == 0 {
		return 1
	}
	return chunkBytes
}

// follow sends chunks as they come, then the answer. It doesn't wait for an
// earlier task that may be stuck on a silent link: offsets make it harmless
// that both send for a moment.
func (c *connection) follow(ctx context.Context, j *job, offset uint64) {
	for {
		data, ended, err := j.output.ReadAtLeast(ctx, offset, j.leastOf(offset))
		if err != nil {
			return
		}
		if ended {
			_ = c.executor.beats.SendWithDeadline(ctx, c.link, c.executor.answerOf(j))
			return
		}
		data = data[:min(len(data), chunkBytes)]
		chunk := messenger.Chunk{
			Request: j.start.Request, Attempt: j.start.Attempt,
			Incarnation: c.executor.options.Incarnation, Offset: offset, Data: data,
		}
		if c.executor.beats.SendWithDeadline(ctx, c.link, chunk) != nil {
			return
		}
		offset += uint64(len(data))
	}
}

func (e *Executor) answerOf(j *job) messenger.AttemptResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return j.answer
}

// finish sets the answer of a job and lets its pump send it. A refusal leaves
// a tombstone; an answer that nobody will take isn't kept. The caller holds the mutex.
func (e *Executor) finish(j *job, answer messenger.AttemptResult) {
	if j.answer != nil {
		return
	}
	j.answer = answer
	j.endedAt = e.clock.Now()
	j.cancel()
	j.output.End()
	if _, ok := answer.(messenger.Refused); ok || j.abandoned {
		e.release(key{j.start.Request, j.start.Attempt})
	}
}

// orphan gives up, after a while, live work whose link failed and that no
// other link has taken over. Samples go on: another entry may take them.
func (e *Executor) orphan(l messenger.Link) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for k, j := range e.jobs {
		if j.owner == l {
			j.lostAt = e.clock.Now()
		}
		if j.owner != l || j.answer != nil || j.start.Sample != "" || !j.start.Idempotent {
			continue
		}
		e.clock.AfterFunc(e.options.OrphanTimeout, func() { e.giveUp(k, l) })
	}
}

func (e *Executor) giveUp(k key, l messenger.Link) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j, ok := e.jobs[k]
	if !ok || j.owner != l {
		return
	}
	if e.queue.Remove(k.request, k.attempt) {
		e.finish(j, *e.refused(j.start, messenger.RefusedNeverStarted, 0))
		return
	}
	j.cancel()
}
