package executor

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accumulator"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
)

// attempt is a queued or running attempt, or an ended one whose response is
// still held.
type attempt struct {
	start  messenger.Start
	output *accumulator.Accumulator
	// deadline is when the caller stops waiting.
	deadline time.Time
	// ctx ends when the work is cancelled or has ended.
	ctx    context.Context
	cancel context.CancelFunc
	// queueTime is how long the attempt was queued.
	queueTime time.Duration
	// result is a Refused or an End, nil until the attempt has ended. It is set
	// before output ends.
	result  messenger.AttemptResult
	endedAt time.Time
	// bootID identifies the target process that runs the attempt; empty while
	// it is queued.
	bootID string
	// abandoned is set if nobody will receive the response.
	abandoned bool
	// delivered is set once an entry has the complete response. The response is
	// then kept for a repeat of the request.
	delivered bool
	// ownerLink is the link on which the response is sent, linkLostAt when it
	// failed.
	ownerLink  messenger.Link
	linkLostAt time.Time
	// stopSending ends the task that sends on ownerLink.
	stopSending context.CancelFunc
}

func newAttempt(m messenger.Start, now time.Time) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	return &attempt{
		start: m, output: accumulator.New(), deadline: now.Add(m.Timeout),
		ctx: ctx, cancel: cancel, stopSending: func() {},
	}
}

func queueItemOf(m messenger.Start) queuer.Item {
	return queuer.Item{
		Request: m.Request, Attempt: m.Attempt, Class: m.Class, Urgency: m.Urgency, ExpectedTokens: m.ExpectedTokens, Exclusive: m.Exclusive,
		TimeLeft: m.Timeout,
	}
}

// mayComplete reports whether the response is complete or may still become so.
func (a *attempt) mayComplete() bool {
	if a.result == nil {
		return a.ctx.Err() == nil
	}
	end, ok := a.result.(messenger.End)
	return ok && end.Reason == messenger.EndComplete
}

// sendResponse sends the response from offset on this link, and stops sending
// it on any other. The caller holds the executor's mutex.
func (c *connection) sendResponse(a *attempt, offset uint64) {
	a.stopSending()
	ctx, cancel := context.WithCancel(c.ctx)
	a.stopSending, a.ownerLink = cancel, c.link
	c.tasks.Go(func() {
		defer cancel()
		c.streamResponse(ctx, a, offset)
	})
}

// minChunkBytes returns how many bytes beyond offset are needed before a chunk
// is sent. The first byte is sent at once, since entries judge targets by the
// time to the first byte. After that a caller who does not stream gets full
// chunks: an engine generates a token at a time, and a frame for each would
// cost more than the token.
func (a *attempt) minChunkBytes(offset uint64) uint64 {
	if a.start.Streamed || offset == 0 {
		return 1
	}
	return chunkBytes
}

// streamResponse sends chunks as they are generated, then the result. It does
// not wait for an earlier task that may be blocked on a silent link: chunks
// carry offsets, so it is harmless if both send for a moment.
func (c *connection) streamResponse(ctx context.Context, a *attempt, offset uint64) {
	for {
		data, ended, err := a.output.ReadAtLeast(ctx, offset, a.minChunkBytes(offset))
		if err != nil {
			return
		}
		if ended {
			_ = c.executor.heartbeats.SendWithDeadline(ctx, c.link, c.executor.resultOf(a))
			return
		}
		data = data[:min(len(data), chunkBytes)]
		chunk := messenger.Chunk{
			Request: a.start.Request, Attempt: a.start.Attempt,
			Incarnation: c.executor.options.Incarnation, Offset: offset, Data: data,
		}
		if c.executor.heartbeats.SendWithDeadline(ctx, c.link, chunk) != nil {
			return
		}
		offset += uint64(len(data))
	}
}

func (e *Executor) resultOf(a *attempt) messenger.AttemptResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return a.result
}

// finish sets the result of an attempt, which ends the sending task. A refusal
// is recorded as a tombstone; a response that nobody will receive is not kept.
// The caller holds the mutex.
func (e *Executor) finish(a *attempt, result messenger.AttemptResult) {
	if a.result != nil {
		return
	}
	a.result = result
	a.endedAt = e.clock.Now()
	a.cancel()
	a.output.End()
	if _, ok := result.(messenger.Refused); ok || a.abandoned {
		e.release(attemptKey{a.start.Request, a.start.Attempt})
	}
}

// scheduleOrphanCancel cancels live work whose link failed if no other link has
// taken it over within OrphanTimeout. Samples continue, since another entry may
// take them over, and so do requests that are not idempotent.
func (e *Executor) scheduleOrphanCancel(l messenger.Link) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for k, a := range e.attempts {
		if a.ownerLink == l {
			a.linkLostAt = e.clock.Now()
		}
		if a.ownerLink != l || a.result != nil || a.start.Sample != "" || !a.start.Idempotent {
			continue
		}
		e.clock.AfterFunc(e.options.OrphanTimeout, func() { e.cancelOrphan(k, l) })
	}
}

func (e *Executor) cancelOrphan(k attemptKey, l messenger.Link) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a, ok := e.attempts[k]
	if !ok || a.ownerLink != l {
		return
	}
	if e.queue.Remove(k.request, k.attempt) {
		e.finish(a, *e.newRefusal(a.start, messenger.RefusedNeverStarted, 0))
		return
	}
	a.cancel()
}
