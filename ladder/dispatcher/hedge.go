package dispatcher

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// Requests are hedged against targets that become slow. Once an attempt has
// received no data for unusually long, a second target is asked if the request
// is idempotent, its caller has received nothing yet and the retry budget
// allows it. Samples are not hedged: they are long, so running them twice costs
// the most. `measurer tail` compares latency with and without hedging.

// defaultSilenceTimeout is used until the router has enough data to estimate
// the timeout.
const defaultSilenceTimeout = time.Second

// hedgeable reports whether a second attempt may run concurrently with the
// first.
func (r Request) hedgeable() bool { return r.Idempotent && r.Stream == nil && r.Sample == "" }

// runWithHedging runs an attempt, hedged if the request allows it. hedged
// reports whether two attempts were used.
func (d *Dispatcher) runWithHedging(ctx context.Context, r Request, p *peer, n identifier.AttemptNumber, s *progress) (o Outcome, hedged bool) {
	if !r.hedgeable() {
		return d.runAttempt(ctx, r, p, n, s), false
	}
	return d.runHedged(ctx, r, p, n, s)
}

// attemptOutcome is the outcome of one of two concurrent attempts.
type attemptOutcome struct {
	result   Outcome
	progress *progress
}

// runHedged runs an attempt, and a second one concurrently once the first
// exceeds the silence timeout. It returns the outcome as runAttempt does, and
// whether two attempts were used.
func (d *Dispatcher) runHedged(ctx context.Context, r Request, p *peer, n identifier.AttemptNumber, s *progress) (o Outcome, hedged bool) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	results := make(chan attemptOutcome, 2)
	start := func(p *peer, n identifier.AttemptNumber) {
		ownProgress := &progress{mayHaveRun: s.mayHaveRun, lastRefusal: s.lastRefusal}
		tasks.Go(func() {
			var o Outcome = Unknown{Code: CodeTargetLost, RetryAfter: d.options.RetryAfter}
			_ = recoverer.CatchPanic("attempt", func() { o = d.runAttempt(ctx, r, p, n, ownProgress) }) // a panic is logged by CatchPanic
			results <- attemptOutcome{o, ownProgress}
		})
	}
	start(p, n)
	var outcomes []attemptOutcome
	if first, ok := d.awaitSilence(results, r, p, n); ok {
		if _, ok := first.result.(Completed); ok {
			return first.result, false
		}
		outcomes = append(outcomes, first)
	} else if second := d.chooseHedgeTarget(r, s); second != nil {
		hedged = true
		start(second, n+1)
	}
	for len(outcomes) < 1 || (hedged && len(outcomes) < 2) {
		next := <-results
		if _, ok := next.result.(Completed); ok {
			return next.result, hedged
		}
		outcomes = append(outcomes, next)
	}
	return s.merge(outcomes), hedged
}

// awaitSilence waits until the attempt has ended or exceeds the silence
// timeout; it returns false in the latter case.
func (d *Dispatcher) awaitSilence(results <-chan attemptOutcome, r Request, p *peer, n identifier.AttemptNumber) (attemptOutcome, bool) {
	for {
		timeLeft := d.silenceTimeLeft(r, p, n)
		if timeLeft <= 0 {
			return attemptOutcome{}, false
		}
		select {
		case first := <-results:
			return first, true
		case <-d.clock.After(timeLeft):
		}
	}
}

// silenceTimeLeft returns how much longer an attempt may go without data.
func (d *Dispatcher) silenceTimeLeft(r Request, p *peer, n identifier.AttemptNumber) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a, ok := p.attempts[attemptKey{r.ID, n}]
	if !ok {
		return defaultSilenceTimeout
	}
	timeout := d.router.SilenceTimeout(r.Service, a.output.Length() > 0)
	if timeout == 0 {
		timeout = defaultSilenceTimeout
	}
	return timeout - d.clock.Since(a.lastChunkAt)
}

// chooseHedgeTarget picks a target for a second attempt. It returns nil if
// there is none, if the retry budget is used up, or if the request may not run
// concurrently with others.
func (d *Dispatcher) chooseHedgeTarget(r Request, s *progress) *peer {
	if _, free := d.quarantine.Check(fingerprintOf(r)).(quarantiner.Free); !free || !d.budget.TrySpend() {
		return nil
	}
	p := d.chooseTarget(r, s.tried)
	if p != nil {
		s.tried[p.target] = true
	}
	return p
}

// merge combines the progress of attempts of which none completed, and returns
// the outcome. If any of them may have run, the outcome is not NotRun.
func (s *progress) merge(outcomes []attemptOutcome) Outcome {
	var refused, unknown Outcome
	for _, e := range outcomes {
		s.mayHaveRun = s.mayHaveRun || e.progress.mayHaveRun
		s.lastRefusal = e.progress.lastRefusal
		switch o := e.result.(type) {
		case Unknown:
			unknown = o
		case NotRun:
			refused = o
		case Completed:
			return o
		}
	}
	if unknown != nil || s.mayHaveRun {
		return unknown
	}
	return refused
}
