package dispatcher

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// matchAttempt returns the open attempt that a sidecar message belongs to. The
// message must match on request, attempt and incarnation, otherwise it is
// dropped and counted.
func (d *Dispatcher) matchAttempt(p *peer, k attemptKey, incarnation identifier.Incarnation) *attempt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a, ok := p.attempts[k]
	if !ok || incarnation != p.incarnation || a.result != nil {
		d.droppedResponses++
		return nil
	}
	return a
}

func (d *Dispatcher) handleChunk(ctx context.Context, p *peer, l messenger.Link, m messenger.Chunk) error {
	a := d.matchAttempt(p, attemptKey{m.Request, m.Attempt}, m.Incarnation)
	if a == nil {
		return nil
	}
	if a.streamed {
		d.recordChunk(a, m.Offset == 0)
	}
	if a.output.WriteAt(m.Offset, m.Data) {
		return nil
	}
	return d.heartbeats.SendWithDeadline(ctx, l, a.resumeMessage())
}

// recordChunk reports the time since the previous chunk to the router.
func (d *Dispatcher) recordChunk(a *attempt, first bool) {
	d.mutex.Lock()
	now := d.clock.Now()
	interval := now.Sub(a.lastChunkAt)
	a.lastChunkAt = now
	d.mutex.Unlock()
	d.router.RecordChunk(a.peer.target, interval, first)
}

func (d *Dispatcher) handleEnd(ctx context.Context, p *peer, l messenger.Link, m messenger.End) error {
	k := attemptKey{m.Request, m.Attempt}
	a := d.matchAttempt(p, k, m.Incarnation)
	if a == nil {
		return nil
	}
	if m.Reason == messenger.EndComplete && a.output.Length() != m.Length {
		return d.heartbeats.SendWithDeadline(ctx, l, a.resumeMessage())
	}
	if m.Reason == messenger.EndComplete && a.output.Checksum() != m.Checksum {
		return errors.Errorf("checksum mismatch in the response to request %s, attempt %d", m.Request, m.Attempt)
	}
	d.setResult(p, k, m.Incarnation, m)
	return d.heartbeats.SendWithDeadline(ctx, l, messenger.Release{Request: m.Request, Attempt: m.Attempt})
}

func (d *Dispatcher) setResult(p *peer, k attemptKey, incarnation identifier.Incarnation, m messenger.AttemptResult) {
	a := d.matchAttempt(p, k, incarnation)
	if a == nil {
		return
	}
	d.mutex.Lock()
	a.result = m
	d.mutex.Unlock()
	a.output.End()
}
