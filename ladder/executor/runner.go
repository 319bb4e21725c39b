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
	// forgetInterval is the time between two looks for old traces.
	forgetInterval = 30 * time.Second
	// stateTimeout bounds a read of the target's state.
	stateTimeout = 2 * time.Second
)

// priorityByClass is what the engine is told; smaller is sooner.
var priorityByClass = map[identifier.PriorityClass]int{
	identifier.ClassLive:    0,
	identifier.ClassRollout: 10,
}

// Run hands waiting work to the target until ctx ends; work that runs then is
// cancelled.
func (e *Executor) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	forgetting, stop := context.WithCancel(ctx)
	defer stop()
	tasks.Go(func() { recoverer.RestartOnPanic(forgetting, e.clock, "old traces", e.forgetNowAndThen) })
	for {
		i, err := e.queue.Take(ctx)
		if err != nil {
			return
		}
		tasks.Go(func() {
			defer e.queue.Done(i)
			e.run(ctx, key{i.Request, i.Attempt})
		})
	}
}

func (e *Executor) forgetNowAndThen(ctx context.Context) {
	ticker := e.clock.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.forget()
		}
	}
}

func (e *Executor) run(ctx context.Context, k key) {
	e.mutex.Lock()
	j := e.jobs[k]
	e.mutex.Unlock()
	if j == nil || e.putBack(j) {
		return
	}
	j.waited = e.clock.Since(j.deadline.Add(-j.start.Timeout))
	workCtx, cancel := clockwork.WithDeadline(j.ctx, e.clock, j.deadline)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	var answer messenger.AttemptResult
	if err := recoverer.CatchPanic("work at the target", func() { answer = e.perform(workCtx, j) }); err != nil {
		answer = e.broken(workCtx, j, err)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.finish(j, answer)
}

// perform runs the work and says how it ended.
func (e *Executor) perform(ctx context.Context, j *job) messenger.AttemptResult {
	if ctx.Err() != nil {
		return *e.refused(j.start, messenger.RefusedTooLate, 0)
	}
	before, err := e.state(ctx)
	if err != nil {
		klog.InfoS("target doesn't answer, work refused", "request", j.start.Request, "err", err)
		return *e.refused(j.start, messenger.RefusedByTarget, retryAfterFull)
	}
	e.setBootID(j, before.BootID)
	l := labeler.New(before)
	status, err := e.target.Do(ctx, e.workOf(j), func(p caller.Chunk) error {
		l.Add(p)
		j.output.Append(p.Data)
		return ctx.Err()
	})
	if errors.Is(err, caller.ErrRefused) {
		return *e.refused(j.start, messenger.RefusedByTarget, retryAfterFull)
	}
	if err != nil {
		e.reportCrash(ctx, before.BootID)
		return e.broken(ctx, j, err)
	}
	e.reportWhole(ctx, j)
	return e.whole(ctx, j, status, l)
}

func (e *Executor) workOf(j *job) caller.Work {
	return caller.Work{
		Request: j.start.Request, Call: j.start.Call, Body: j.start.Body,
		Priority: priorityByClass[j.start.Class], Deadline: j.deadline,
	}
}

func (e *Executor) state(ctx context.Context) (s caller.State, err error) {
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

func (e *Executor) broken(ctx context.Context, j *job, err error) messenger.AttemptResult {
	klog.InfoS("work broke off", "request", j.start.Request, "attempt", j.start.Attempt, "err", err)
	end := e.endOf(j, messenger.EndTargetFailed)
	if ctx.Err() != nil {
		end.Reason = messenger.EndCancelled
		if e.options.ModelEngine {
			stop, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), e.clock, stateTimeout)
			defer cancel()
			_ = e.target.Cancel(stop, j.start.Request)
		}
	}
	return end
}

func (e *Executor) whole(ctx context.Context, j *job, status int, l *labeler.Labeler) messenger.AttemptResult {
	end := e.endOf(j, messenger.EndComplete)
	end.Status = status
	if !e.options.ModelEngine {
		return end
	}
	after, err := e.state(context.WithoutCancel(ctx))
	if err == nil {
		if spans, ok := l.Finish(after); ok {
			end.Spans = spans
			return end
		}
	}
	if j.start.Sample != "" {
		end.Reason = messenger.EndLabelUnknown
	}
	return end
}

func (e *Executor) endOf(j *job, reason messenger.EndReason) messenger.End {
	return messenger.End{
		Request: j.start.Request, Attempt: j.start.Attempt, Incarnation: e.options.Incarnation,
		Reason: reason, Length: j.output.Length(), Checksum: j.output.Checksum(), QueueTime: j.waited,
	}
}
