package dispatcher

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accumulator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
)

// attempt is one open dispatch of a request.
type attempt struct {
	key    key
	peer   *peer
	output *accumulator.Accumulator
	// streamed says that pieces come as they are made; else their times tell how
	// long it waited and how much they hold, and not how fast the target is.
	streamed bool
	// heard is when a piece of the answer came last, or the dispatch.
	heard time.Time
	// users is how many calls follow the attempt: a caller may send a keyed
	// call again through the same entry.
	users int
	// answer is an End or a Refused that fits the output, set before output
	// ends; nil if the sidecar is lost.
	answer messenger.AttemptResult
}

func (a *attempt) resumption() messenger.Resume {
	return messenger.Resume{Request: a.key.request, Attempt: a.key.attempt, Offset: a.output.Length()}
}

// open returns the attempt's record, which a call that follows it already may
// have opened.
func (d *Dispatcher) open(p *peer, k key, streamed bool) *attempt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a, ok := p.attempts[k]
	if !ok {
		a = &attempt{key: k, peer: p, streamed: streamed, output: accumulator.New(), heard: d.clock.Now()}
		p.attempts[k] = a
	}
	a.users++
	return a
}

func (d *Dispatcher) close(a *attempt) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a.users--
	if a.users == 0 {
		delete(a.peer.attempts, a.key)
	}
}

// sending says whether a Start has left.
type sending int

const (
	// notSent: it surely never left.
	notSent sending = iota
	// maybeSent: the link failed meanwhile; the answer to a Resume will tell.
	maybeSent
	// sent: the link took it.
	sent
)

// start sends the request.
func (d *Dispatcher) start(ctx context.Context, r Request, p *peer, n identifier.AttemptNumber, v quarantiner.Verdict) sending {
	_, alone := v.(quarantiner.Alone)
	d.mutex.Lock()
	l, usable := p.link, p.usable()
	d.mutex.Unlock()
	if !usable || ctx.Err() != nil {
		return notSent
	}
	m := messenger.Start{
		Request: r.ID, Attempt: n, Incarnation: p.incarnation, Class: r.Class, Team: r.Team,
		Call: r.Call, Body: r.Body, Idempotent: r.Idempotent,
		Timeout: r.Deadline.Sub(d.clock.Now()), ExpectedTokens: r.ExpectedTokens, Sample: r.Sample,
		Fingerprint: identifier.NewFingerprint(r.Service, r.Call, r.Body),
		Urgency:     r.Urgency, OldestVersion: r.OldestVersion, Streamed: bool(r.followed()), Exclusive: alone, RetainResponse: r.keep,
	}
	if d.beats.SendWithDeadline(ctx, l, m) != nil {
		_ = l.Close()
		return maybeSent
	}
	return sent
}

// follow gives the answer's bytes to the caller until the attempt has ended.
func (d *Dispatcher) follow(ctx context.Context, r Request, a *attempt, s *progress) error {
	var from uint64
	for {
		data, ended, err := a.output.ReadFromOffset(ctx, from)
		if err != nil || ended {
			return err
		}
		from += uint64(len(data))
		if r.Stream == nil {
			continue
		}
		s.streamed = true
		if err := r.Stream(data); err != nil {
			return err
		}
	}
}

func (d *Dispatcher) answerOf(a *attempt) messenger.AttemptResult {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return a.answer
}

// cancelTimeout bounds the sending of a Cancel that nobody waits for.
const cancelTimeout = time.Second

// abandon is for work that nobody takes over: a sample whose session ends here
// goes on at its sidecar, where the trainer's next entry finds it. abandon tells
// the sidecar that nobody waits any longer. The caller of Dispatch doesn't wait
// for it.
func (d *Dispatcher) abandon(a *attempt) {
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
		_ = d.beats.SendWithDeadline(ctx, l, m)
	}()
}
