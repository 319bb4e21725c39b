package dispatcher

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// A call may be caught at a target that turns slow. Once its attempt has been
// silent for unusually long, a second target is asked, if the call may run
// twice, its caller has been given nothing yet, and the retry budget allows.
// Samples aren't hedged: they are long, and doubling them costs the most.
// `measurer tail` compares with and without.

// unknownPatience holds until the router knows what is usual.
const unknownPatience = time.Second

// hedgeable says whether a second attempt may run beside the first.
func (r Request) hedgeable() bool { return r.Idempotent && r.Stream == nil && r.Sample == "" }

// tryOrRace runs an attempt, hedged where that is allowed. It says whether it has
// used two attempts.
func (d *Dispatcher) tryOrRace(ctx context.Context, r Request, p *peer, n identifier.AttemptNumber, s *progress) (o Outcome, hedged bool) {
	if !r.hedgeable() {
		return d.try(ctx, r, p, n, s), false
	}
	return d.race(ctx, r, p, n, s)
}

// raced is what one of two attempts gave.
type raced struct {
	outcome  Outcome
	progress *progress
}

// race runs an attempt, and beside it one more once the first is silent for
// too long. It returns as try does, and whether it has used two attempts.
func (d *Dispatcher) race(ctx context.Context, r Request, p *peer, n identifier.AttemptNumber, s *progress) (o Outcome, hedged bool) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	results := make(chan raced, 2)
	run := func(p *peer, n identifier.AttemptNumber) {
		own := &progress{mayHaveRun: s.mayHaveRun, last: s.last}
		tasks.Go(func() {
			var o Outcome = Unknown{Code: CodeTargetLost, RetryAfter: d.options.RetryAfter}
			_ = recoverer.CatchPanic("attempt", func() { o = d.try(ctx, r, p, n, own) }) // it is logged there
			results <- raced{o, own}
		})
	}
	run(p, n)
	var ended []raced
	if first, ok := d.awaitSilence(results, r, p, n); ok {
		if _, ok := first.outcome.(Completed); ok {
			return first.outcome, false
		}
		ended = append(ended, first)
	} else if second := d.second(r, s); second != nil {
		hedged = true
		run(second, n+1)
	}
	for len(ended) < 1 || (hedged && len(ended) < 2) {
		next := <-results
		if _, ok := next.outcome.(Completed); ok {
			return next.outcome, hedged
		}
		ended = append(ended, next)
	}
	return s.merge(ended), hedged
}

// awaitSilence waits until the attempt has ended or was silent for too long.
func (d *Dispatcher) awaitSilence(results <-chan raced, r Request, p *peer, n identifier.AttemptNumber) (raced, bool) {
	for {
		left := d.patienceLeft(r, p, n)
		if left <= 0 {
			return raced{}, false
		}
		select {
		case first := <-results:
			return first, true
		case <-d.clock.After(left):
		}
	}
}

// patienceLeft is how much longer an attempt may be silent.
func (d *Dispatcher) patienceLeft(r Request, p *peer, n identifier.AttemptNumber) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a, ok := p.attempts[key{r.ID, n}]
	if !ok {
		return unknownPatience
	}
	patience := d.router.SilenceTimeout(r.Service, a.output.Length() > 0)
	if patience == 0 {
		patience = unknownPatience
	}
	return patience - d.clock.Since(a.heard)
}

// second chooses a target for a second attempt, nil if there is none or the
// budget doesn't allow it. What may only run alone gets none.
func (d *Dispatcher) second(r Request, s *progress) *peer {
	if _, free := d.quarantine.Check(fingerprintOf(r)).(quarantiner.Free); !free || !d.budget.TrySpend() {
		return nil
	}
	p := d.choose(r, s.tried)
	if p != nil {
		s.tried[p.target] = true
	}
	return p
}

// merge takes over what attempts have left behind when none has completed.
// If any may have run, the request isn't called not run.
func (s *progress) merge(ended []raced) Outcome {
	var refused, gaveUp Outcome
	for _, e := range ended {
		s.mayHaveRun = s.mayHaveRun || e.progress.mayHaveRun
		s.last = e.progress.last
		switch o := e.outcome.(type) {
		case Unknown:
			gaveUp = o
		case NotRun:
			refused = o
		case Completed:
			return o
		}
	}
	if gaveUp != nil || s.mayHaveRun {
		return gaveUp
	}
	return refused
}
