package dispatcher

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// attemptOf finds the open attempt that an answer belongs to. An answer must
// match on request, attempt and incarnation, or it is dropped and counted.
func (d *Dispatcher) attemptOf(p *peer, k key, incarnation identifier.Incarnation) *attempt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a, ok := p.attempts[k]
	if !ok || incarnation != p.incarnation || a.answer != nil {
		d.dropped++
		return nil
	}
	return a
}

func (d *Dispatcher) chunk(ctx context.Context, p *peer, l messenger.Link, m messenger.Chunk) error {
	a := d.attemptOf(p, key{m.Request, m.Attempt}, m.Incarnation)
	if a == nil {
		return nil
	}
	if a.streamed {
		d.heard(a, m.Offset == 0)
	}
	if a.output.WriteAt(m.Offset, m.Data) {
		return nil
	}
	return d.beats.SendWithDeadline(ctx, l, a.resumption())
}

// heard lets the router learn from the time a piece took.
func (d *Dispatcher) heard(a *attempt, first bool) {
	d.mutex.Lock()
	now := d.clock.Now()
	gap := now.Sub(a.heard)
	a.heard = now
	d.mutex.Unlock()
	d.router.RecordChunk(a.peer.target, gap, first)
}

func (d *Dispatcher) end(ctx context.Context, p *peer, l messenger.Link, m messenger.End) error {
	k := key{m.Request, m.Attempt}
	a := d.attemptOf(p, k, m.Incarnation)
	if a == nil {
		return nil
	}
	if m.Reason == messenger.EndComplete && a.output.Length() != m.Length {
		return d.beats.SendWithDeadline(ctx, l, a.resumption())
	}
	if m.Reason == messenger.EndComplete && a.output.Checksum() != m.Checksum {
		return errors.Errorf("checksum of request %s attempt %d differs", m.Request, m.Attempt)
	}
	d.answer(p, k, m.Incarnation, m)
	return d.beats.SendWithDeadline(ctx, l, messenger.Release{Request: m.Request, Attempt: m.Attempt})
}

func (d *Dispatcher) answer(p *peer, k key, incarnation identifier.Incarnation, m messenger.AttemptResult) {
	a := d.attemptOf(p, k, incarnation)
	if a == nil {
		return
	}
	d.mutex.Lock()
	a.answer = m
	d.mutex.Unlock()
	a.output.End()
}
