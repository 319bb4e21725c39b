package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/accumulator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

const (
	// maxAttempts bounds the targets tried for one request.
	maxAttempts = 4
	// cancelTimeout bounds the sending of a Cancel that nobody waits for.
	cancelTimeout = time.Second
)

// progress is what earlier attempts have left behind.
type progress struct {
	// mayHaveRun is set once an attempt may have run: from then on the
	// request is never called not run.
	mayHaveRun bool
	// streamed is set once the caller has been given bytes.
	streamed bool
	tried    map[identifier.TargetName]bool
	// last is the newest refusal.
	last NotRun
}

// Dispatch runs the request and returns its final outcome, at the latest when
// its deadline or ctx ends.
func (d *Dispatcher) Dispatch(ctx context.Context, r Request) Outcome {
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, r.Deadline)
	defer cancel()
	s := &progress{
		tried: make(map[identifier.TargetName]bool),
		last:  NotRun{Code: CodeNoTarget, RetryAfter: d.options.RetryAfter},
	}
	for n := identifier.Attempt(1); n <= maxAttempts; n++ {
		if n > 1 && !d.budget.Spend() {
			break
		}
		p := d.choose(r, s.tried)
		if p == nil {
			break
		}
		s.tried[p.target] = true
		if r.hedgeable() {
			o, hedged := d.race(ctx, r, p, n, s)
			if o != nil {
				return o
			}
			if hedged {
				n++
			}
			continue
		}
		if o := d.try(ctx, r, p, n, s); o != nil {
			return o
		}
	}
	if s.mayHaveRun {
		return Unknown{Code: CodeTargetLost, RetryAfter: d.options.RetryAfter}
	}
	return s.last
}

// choose picks a linked, staying target of the service that wasn't tried.
func (d *Dispatcher) choose(r Request, tried map[identifier.TargetName]bool) *peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var candidates []router.Candidate
	for _, p := range d.peers {
		if p.service != r.Service || !p.usable() || tried[p.target] {
			continue
		}
		candidates = append(candidates, router.Candidate{
			Target: p.target, Service: r.Service, Zone: p.zone, Reported: p.load.InFlight + p.load.Queued, ReportedAt: p.loadAt,
		})
	}
	target, ok := d.router.Choose(d.narrow(r, candidates), r.followed())
	if !ok {
		return nil
	}
	return d.peers[target]
}

// try runs one attempt. It returns nil if another target may be tried.
func (d *Dispatcher) try(ctx context.Context, r Request, p *peer, n identifier.Attempt, s *progress) (o Outcome) {
	v, refused := d.enter(ctx, r, s)
	if refused != nil {
		d.router.Done(p.target, r.followed())
		return refused
	}
	defer func() { d.leave(ctx, r, v, o) }()
	a := d.open(p, key{r.ID, n}, bool(r.followed()))
	sent := d.start(ctx, r, p, n, v)
	defer d.close(a)
	if !sent {
		d.router.Done(p.target, r.followed())
		return nil
	}
	err := d.follow(ctx, r, a, s)
	answer := d.answerOf(a)
	if answer == nil && err != nil {
		d.router.Done(p.target, r.followed())
		if r.Sample == "" || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.abandon(a)
		}
		return gaveUp(ctx, d.options.RetryAfter)
	}
	d.router.Done(p.target, r.followed())
	o = d.judge(r, a, answer, s)
	if _, ok := o.(Completed); ok {
		d.budget.Earn()
	}
	return o
}

// gaveUp is the outcome when the caller's time is over before an answer came.
func gaveUp(ctx context.Context, retryAfter time.Duration) Outcome {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return Unknown{Code: CodeStopping, RetryAfter: retryAfter}
	}
	if ctx.Err() == context.Canceled {
		return Unknown{Code: CodeCallerGone, RetryAfter: retryAfter}
	}
	return Unknown{Code: CodeTimeout, RetryAfter: retryAfter}
}

// judge turns a sidecar's answer into an outcome, or nil to try elsewhere.
func (d *Dispatcher) judge(r Request, a *attempt, answer messenger.Answer, s *progress) Outcome {
	switch m := answer.(type) {
	case messenger.Refused:
		s.last = notRunOf(m, d.options.RetryAfter)
		if m.Reason == messenger.RefusedQuarantined && !s.mayHaveRun {
			return s.last
		}
		return nil
	case messenger.End:
		if m.Reason == messenger.EndWhole {
			return Completed{
				Status: m.Status, Body: a.output.Bytes(), Checksum: m.Checksum,
				Spans: m.Spans, Target: a.peer.target,
			}
		}
		return d.mayHaveRun(r, s, codeByEnd[m.Reason])
	}
	return d.mayHaveRun(r, s, CodeTargetLost)
}

// codeByEnd names why a started attempt gave no whole answer.
var codeByEnd = map[messenger.EndReason]Code{
	messenger.EndTargetFailed: CodeTargetFailed,
	messenger.EndCancelled:    CodeTimeout,
	messenger.EndLabelUnknown: CodeLabelUnknown,
	messenger.EndDropped:      CodeAlreadyRan,
}

// mayHaveRun notes that an attempt may have run. The request is tried again
// only if it may run twice and its caller has seen nothing of it.
func (d *Dispatcher) mayHaveRun(r Request, s *progress, code Code) Outcome {
	s.mayHaveRun = true
	if r.Idempotent && !s.streamed {
		return nil
	}
	return Unknown{Code: code, RetryAfter: d.options.RetryAfter}
}

// refusalByReason gives the caller's code for a sidecar's refusal.
var refusalByReason = map[messenger.RefusalReason]Code{
	messenger.RefusedQueueFull:    CodeQueueFull,
	messenger.RefusedLeaving:      CodeNoTarget,
	messenger.RefusedNeverStarted: CodeNoTarget,
	messenger.RefusedIncarnation:  CodeNoTarget,
	messenger.RefusedQuarantined:  CodeCrashes,
	messenger.RefusedByTarget:     CodeTargetRefused,
	messenger.RefusedTooLate:      CodeTimeout,
}

func notRunOf(m messenger.Refused, least time.Duration) NotRun {
	return NotRun{Code: refusalByReason[m.Reason], RetryAfter: max(m.RetryAfter, least)}
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

// start sends the request. It returns false only if it surely never left. An
// error of the link leaves that open; the answer to a Resume will tell.
func (d *Dispatcher) start(ctx context.Context, r Request, p *peer, n identifier.Attempt, v quarantiner.Verdict) bool {
	_, alone := v.(quarantiner.Alone)
	d.mutex.Lock()
	l, usable := p.link, p.usable()
	d.mutex.Unlock()
	if !usable || ctx.Err() != nil {
		return false
	}
	m := messenger.Start{
		Request: r.ID, Attempt: n, Incarnation: p.incarnation, Class: r.Class, Team: r.Team,
		Call: r.Call, Body: r.Body, Idempotent: r.Idempotent,
		Timeout: r.Deadline.Sub(d.clock.Now()), Expected: r.Expected, Sample: r.Sample,
		Fingerprint: identifier.NewFingerprint(r.Service, r.Call, r.Body),
		Urgency:     r.Urgency, Oldest: r.Oldest, Streamed: bool(r.followed()), Alone: alone, Keep: r.keep,
	}
	if d.beats.SendWithin(ctx, l, m) != nil {
		_ = l.Close()
	}
	return true
}

// follow gives the answer's bytes to the caller until the attempt has ended.
func (d *Dispatcher) follow(ctx context.Context, r Request, a *attempt, s *progress) error {
	var from uint64
	for {
		data, ended, err := a.output.Next(ctx, from)
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

func (d *Dispatcher) answerOf(a *attempt) messenger.Answer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return a.answer
}

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
		_ = d.beats.SendWithin(ctx, l, m)
	}()
}

// Locate asks every sidecar of the service which of the samples it holds, and
// waits for the answers until ctx ends.
func (d *Dispatcher) Locate(ctx context.Context, service identifier.ServiceName, samples []identifier.SampleID) map[identifier.SampleID]HeldAt {
	peers := d.linked(service)
	found := make(chan map[identifier.SampleID]HeldAt, len(peers))
	var tasks conc.WaitGroup
	for _, p := range peers {
		tasks.Go(func() { found <- d.locateAt(ctx, p, samples) })
	}
	tasks.Wait()
	close(found)
	all := make(map[identifier.SampleID]HeldAt)
	for held := range found {
		for sample, at := range held {
			all[sample] = at
		}
	}
	return all
}

// HeldAt says where a sample is held.
type HeldAt struct {
	Target  identifier.TargetName
	Request identifier.RequestID
	Attempt identifier.Attempt
}

func (d *Dispatcher) locateAt(ctx context.Context, p *peer, samples []identifier.SampleID) map[identifier.SampleID]HeldAt {
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l == nil || d.beats.SendWithin(ctx, l, messenger.Locate{Samples: samples}) != nil {
		return nil
	}
	held := make(map[identifier.SampleID]HeldAt)
	select {
	case m := <-p.located:
		for _, h := range m.Held {
			held[h.Sample] = HeldAt{Target: p.target, Request: h.Request, Attempt: h.Attempt}
		}
	case <-p.gone:
	case <-ctx.Done():
	}
	return held
}

// TakeOver follows an attempt that another entry has started, and returns its
// outcome, or nil if it can't be had.
func (d *Dispatcher) TakeOver(ctx context.Context, r Request, at HeldAt) Outcome {
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, r.Deadline)
	defer cancel()
	d.mutex.Lock()
	p := d.peers[at.Target]
	d.mutex.Unlock()
	if p == nil {
		return nil
	}
	o, err := d.join(ctx, r, p, key{at.Request, at.Attempt}, &progress{})
	if err != nil {
		return nil
	}
	return o
}

// join follows an attempt that is already known at the peer, and judges its
// answer. An error says that ctx has ended.
func (d *Dispatcher) join(ctx context.Context, r Request, p *peer, k key, s *progress) (Outcome, error) {
	a := d.open(p, k, bool(r.followed()))
	defer d.close(a)
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l != nil && d.beats.SendWithin(ctx, l, a.resumption()) != nil {
		_ = l.Close()
	}
	if err := d.follow(ctx, r, a, s); err != nil {
		return nil, err
	}
	return d.judge(r, a, d.answerOf(a), s), nil
}
