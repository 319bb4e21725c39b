package scheduler

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/forwarder"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
)

// Text is scored as soon as it is complete, because the trainer receives it only
// together with its score.

// Only an error that the target itself reports counts against an item, as 500. Other
// statuses say nothing about the item: 504 may just mean that the target was given too
// little time.

// countFailure returns true if the item has failed for good.
func (t *task) countFailure(ctx context.Context, status int) bool {
	switch status {
	case http.StatusUnprocessableEntity:
		t.failures++
	case http.StatusInternalServerError:
		t.failures++
		if t.failures < maxAttemptsOf(t.route) || !t.scheduler.attemptsUsedUp(ctx, t.job.Host, t.job.Path, t.failures) {
			return false
		}
	default:
		return false
	}
	klog.InfoS("item given up", "job", t.key.job, "item", t.key.item, "status", status, "failures", t.failures)
	t.failed = true
	t.addResult(jobstorer.Result{Item: t.key.item, State: jobstorer.ResultFailed})
	t.text = nil
	return true
}

func (t *task) addResult(r jobstorer.Result) {
	s := t.scheduler
	s.mutex.Lock()
	t.resultAdded = true
	s.mutex.Unlock()
	s.jobs.AddResult(jobstorer.JobResult{Job: t.key.job, Result: r})
}

// scoreCompleteTexts scores items whose text was already complete when they were
// added. The caller must hold the mutex.
func (s *Scheduler) scoreCompleteTexts(ctx context.Context, tasks *conc.WaitGroup) {
	for _, t := range s.tasks {
		if !t.textComplete || t.running || t.resultAdded || !t.wanted {
			continue
		}
		route, ok := s.routeOf(t)
		if !ok {
			continue
		}
		runCtx := t.begin(ctx, route)
		tasks.Go(func() {
			t.catchPanic(func() {
				t.score(runCtx)
				t.finish(nil, 0)
			})
		})
	}
}

// score has the complete text scored and records the result.
func (t *task) score(ctx context.Context) {
	if t.failed {
		return
	}
	r := jobstorer.Result{
		Item: t.key.item, State: jobstorer.ResultCompleted,
		Text: bytes.Join(t.text, []byte("\n")), Versions: t.versions,
	}
	if t.item.Scorer != nil {
		signature, ok := t.callScorer(ctx)
		if ctx.Err() != nil {
			return
		}
		if !ok {
			r = jobstorer.Result{Item: t.key.item, State: jobstorer.ResultFailed}
		}
		r.Score = signature
	}
	klog.InfoS("item done", "job", t.key.job, "item", t.key.item, "state", r.State, "events", t.lastEvent, "expected-tokens", t.item.ExpectedTokens,
		"versions", t.versions, "job-age", t.scheduler.clock.Since(t.job.acceptedAt))
	t.addResult(r)
}

// scorerCalls is the state of the calls of one scorer.
type scorerCalls struct {
	// timeout bounds the next call.
	timeout time.Duration
	// failures counts the calls that ended with an error of the scorer itself.
	failures int
	// backoff grows with each call in a row that no scorer takes, and is 0 after others.
	backoff time.Duration
}

// callScorer retries until the scorer succeeds or has failed as often as its route
// allows.
func (t *task) callScorer(ctx context.Context) (signature string, ok bool) {
	s, scorer := t.scheduler, t.item.Scorer
	calls := scorerCalls{timeout: scorerTimeout}
	groupLeft := t.groupLeft()
	for ctx.Err() == nil {
		configuration := s.catalog.Configuration()
		route, routed := configuration.MatchRoute(scorer.Host, scorer.Path)
		if routed {
			outcome := s.forwarder.Forward(ctx, route, forwarder.Request{
				ID: scorer.ID, Method: http.MethodPost, Path: scorer.Path, Host: scorer.Host,
				Header: http.Header{}, Body: scorer.Body, TimeLeft: calls.timeout, Owed: true,
				Due: t.due(), GroupLeft: groupLeft,
			})
			response, _ := outcome.(forwarder.Response)
			if response.Status >= 200 && response.Status < 300 && response.Signature != "" {
				return response.Signature, true
			}
			calls.record(outcome)
			if response.Status > 0 {
				klog.InfoS("scorer failed", "job", t.key.job, "item", t.key.item, "scorer", scorer.ID, "status", response.Status, "failures", calls.failures)
			}
			if calls.failures >= maxAttemptsOf(route) && s.attemptsUsedUp(ctx, scorer.Host, scorer.Path, calls.failures) {
				return "", false
			}
		}
		select {
		case <-s.clock.After(calls.pause()):
		case <-ctx.Done():
		}
	}
	return "", false
}

// record takes account of a call that has not succeeded.
func (c *scorerCalls) record(o forwarder.Outcome) {
	previous := c.backoff
	c.backoff = 0
	switch o := o.(type) {
	case forwarder.Response:
		switch o.Status {
		case http.StatusInternalServerError:
			c.failures++
		case http.StatusGatewayTimeout:
			c.allowMoreTime()
		default:
			c.backoff = min(max(scorerRetryDelay, 2*previous), maxScorerRetryDelay)
		}
	case forwarder.Unknown:
		if o.TimedOut {
			c.allowMoreTime()
		}
	case forwarder.NotRun:
		c.backoff = min(max(scorerRetryDelay, 2*previous), maxScorerRetryDelay)
	case forwarder.NotAllowed, *forwarder.Stream:
	}
}

// pause returns the time before the next call.
func (c *scorerCalls) pause() time.Duration { return max(scorerRetryDelay, c.backoff) }

func (c *scorerCalls) allowMoreTime() { c.timeout = min(2*c.timeout, maxScorerTimeout) }
