package dispatcher

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accumulator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
)

// attempt is one dispatch of a request to a sidecar.
type attempt struct {
	key    attemptKey
	peer   *peer
	output *accumulator.Accumulator
	// streamed is set if chunks are sent as they are generated. Otherwise the
	// intervals between chunks depend on the queue time and the chunk size and
	// say nothing about the speed of the target.
	streamed bool
	// lastChunkAt is the arrival time of the last chunk, or the time of
	// dispatch.
	lastChunkAt time.Time
	// waiters counts the calls that wait for the attempt: a caller may repeat
	// a keyed call through the same entry.
	waiters int
	// result is an End or a Refused that matches the output, set before output
	// ends. It is nil if the sidecar is lost.
	result messenger.AttemptResult
}

func (a *attempt) resumeMessage() messenger.Resume {
	return messenger.Resume{Request: a.key.request, Attempt: a.key.attempt, Offset: a.output.Length()}
}

// openAttempt returns the record of the attempt, creating it unless another
// call already follows the attempt.
func (d *Dispatcher) openAttempt(p *peer, k attemptKey, streamed bool) *attempt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a, ok := p.attempts[k]
	if !ok {
		a = &attempt{key: k, peer: p, streamed: streamed, output: accumulator.New(), lastChunkAt: d.clock.Now()}
		p.attempts[k] = a
	}
	a.waiters++
	return a
}

func (d *Dispatcher) releaseAttempt(a *attempt) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a.waiters--
	if a.waiters == 0 {
		delete(a.peer.attempts, a.key)
	}
}

// sendState says whether a Start message was sent.
type sendState int

const (
	// notSent: the message was certainly not sent.
	notSent sendState = iota
	// maybeSent: the link failed during the send; the reply to a Resume tells
	// whether the message arrived.
	maybeSent
	// sent: the link accepted the message.
	sent
)

// sendStart sends the request to the sidecar.
func (d *Dispatcher) sendStart(ctx context.Context, r Request, p *peer, n identifier.AttemptNumber, v quarantiner.Verdict) sendState {
	_, exclusive := v.(quarantiner.Alone)
	d.mutex.Lock()
	l, acceptsWork := p.link, p.acceptsWork()
	d.mutex.Unlock()
	if !acceptsWork || ctx.Err() != nil {
		return notSent
	}
	m := messenger.Start{
		Request: r.ID, Attempt: n, Incarnation: p.incarnation, Class: r.Class, Team: r.Team,
		Call: r.Call, Body: r.Body, Idempotent: r.Idempotent,
		Timeout: r.Deadline.Sub(d.clock.Now()), ExpectedTokens: r.ExpectedTokens, Sample: r.Sample,
		Fingerprint: identifier.NewFingerprint(r.Service, r.Call, r.Body),
		Urgency:     r.Urgency, OldestVersion: r.OldestVersion, Streamed: bool(r.monitoring()), Exclusive: exclusive, RetainResponse: r.retainResponse,
	}
	if d.heartbeats.SendWithDeadline(ctx, l, m) != nil {
		_ = l.Close()
		return maybeSent
	}
	return sent
}

// awaitEnd passes the response to the caller's stream until the attempt has
// ended.
func (d *Dispatcher) awaitEnd(ctx context.Context, r Request, a *attempt, s *progress) error {
	var offset uint64
	for {
		data, ended, err := a.output.ReadFromOffset(ctx, offset)
		if err != nil || ended {
			return err
		}
		offset += uint64(len(data))
		if r.Stream == nil {
			continue
		}
		s.responseStarted = true
		if err := r.Stream(data); err != nil {
			return err
		}
	}
}

func (d *Dispatcher) resultOf(a *attempt) messenger.AttemptResult {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return a.result
}

// cancelTimeout bounds the sending of a Cancel in the background.
const cancelTimeout = time.Second

// cancelAttempt tells the sidecar in the background that nobody waits for the
// attempt any longer, so that Dispatch can return at once. It is not used for
// samples whose session ends: they continue at the sidecar, where the trainer's
// next entry finds them.
func (d *Dispatcher) cancelAttempt(a *attempt) {
	d.mutex.Lock()
	l := a.peer.link
	d.mutex.Unlock()
	if l == nil {
		return
	}
	m := messenger.Cancel{Request: a.key.request, Attempt: a.key.attempt}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = d.heartbeats.SendWithDeadline(ctx, l, m)
	}()
}
