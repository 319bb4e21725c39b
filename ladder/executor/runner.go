package executor

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/labeler"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

const (
	// cleanupInterval is the interval at which expired traces and responses are
	// deleted.
	cleanupInterval = 30 * time.Second
	// stateTimeout bounds a read of the target's state.
	stateTimeout = 2 * time.Second
)

// priorityByClass has the priorities passed to the engine; smaller runs sooner.
var priorityByClass = map[identifier.PriorityClass]int{
	identifier.ClassLive:    0,
	identifier.ClassRollout: 10,
}

// Run runs queued work on the target until ctx ends; work still running then is
// cancelled.
func (e *Executor) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	cleanupCtx, stop := context.WithCancel(ctx)
	defer stop()
	tasks.Go(func() { recoverer.RestartOnPanic(cleanupCtx, e.clock, "old traces", e.cleanUpPeriodically) })
	for {
		item, err := e.queue.Take(ctx)
		if err != nil {
			return
		}
		tasks.Go(func() {
			defer e.queue.Done(item)
			e.runAttempt(ctx, attemptKey{item.Request, item.Attempt})
		})
	}
}

func (e *Executor) cleanUpPeriodically(ctx context.Context) {
	ticker := e.clock.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.cleanUp()
		}
	}
}

func (e *Executor) runAttempt(ctx context.Context, k attemptKey) {
	e.mutex.Lock()
	a := e.attempts[k]
	e.mutex.Unlock()
	if a == nil || e.requeueIfSuspect(a) {
		return
	}
	a.queueTime = e.clock.Since(a.deadline.Add(-a.start.Timeout))
	workCtx, cancel := clockwork.WithDeadline(a.ctx, e.clock, a.deadline)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	var result messenger.AttemptResult
	if err := recoverer.CatchPanic("work at the target", func() { result = e.execute(workCtx, a) }); err != nil {
		result = e.failedEnd(workCtx, a, err)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.finish(a, result)
}

// execute runs the work on the target and returns its result.
func (e *Executor) execute(ctx context.Context, a *attempt) messenger.AttemptResult {
	if ctx.Err() != nil {
		return *e.newRefusal(a.start, messenger.RefusedTooLate, 0)
	}
	before, err := e.targetState(ctx)
	if err != nil {
		klog.InfoS("target state not readable, attempt refused", "request", a.start.Request, "err", err)
		return *e.newRefusal(a.start, messenger.RefusedByTarget, retryAfterFull)
	}
	e.setBootID(a, before.BootID)
	l := labeler.New(before)
	status, err := e.target.Do(ctx, e.workOf(a), func(chunk caller.Chunk) error {
		l.Add(chunk)
		a.output.Append(chunk.Data)
		return ctx.Err()
	})
	if errors.Is(err, caller.ErrRefused) {
		return *e.newRefusal(a.start, messenger.RefusedByTarget, retryAfterFull)
	}
	if err != nil {
		e.reportCrash(ctx, before.BootID)
		return e.failedEnd(ctx, a, err)
	}
	e.reportSafe(ctx, a)
	return e.completedEnd(ctx, a, status, l)
}

func (e *Executor) workOf(a *attempt) caller.Work {
	return caller.Work{
		Request: a.start.Request, Call: a.start.Call, Body: a.start.Body,
		Priority: priorityByClass[a.start.Class], Deadline: a.deadline,
	}
}

func (e *Executor) targetState(ctx context.Context) (s caller.State, err error) {
	if !e.options.ModelEngine {
		return s, nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.clock, stateTimeout)
	defer cancel()
	s, err = e.target.State(ctx)
	if err == nil {
		e.SetVersion(s.Version)
	}
	return s, err
}

func (e *Executor) failedEnd(ctx context.Context, a *attempt, err error) messenger.AttemptResult {
	klog.InfoS("attempt failed or was cancelled", "request", a.start.Request, "attempt", a.start.Attempt, "err", err)
	end := e.newEnd(a, messenger.EndTargetFailed)
	if ctx.Err() != nil {
		end.Reason = messenger.EndCancelled
		if e.options.ModelEngine {
			cancelCtx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), e.clock, stateTimeout)
			defer cancel()
			_ = e.target.Cancel(cancelCtx, a.start.Request)
		}
	}
	return end
}

func (e *Executor) completedEnd(ctx context.Context, a *attempt, status int, l *labeler.Labeler) messenger.AttemptResult {
	end := e.newEnd(a, messenger.EndComplete)
	end.Status = status
	if !e.options.ModelEngine {
		return end
	}
	after, err := e.targetState(context.WithoutCancel(ctx))
	if err == nil {
		if spans, ok := l.Finish(after); ok {
			end.Spans = spans
			return end
		}
	}
	if a.start.Sample != "" {
		end.Reason = messenger.EndLabelUnknown
	}
	return end
}

func (e *Executor) newEnd(a *attempt, reason messenger.EndReason) messenger.End {
	return messenger.End{
		Request: a.start.Request, Attempt: a.start.Attempt, Incarnation: e.options.Incarnation,
		Reason: reason, Length: a.output.Length(), Checksum: a.output.Checksum(), QueueTime: a.queueTime,
	}
}
