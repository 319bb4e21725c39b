package scheduler

import (
	"bytes"
	"context"
	"net/http"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/forwarder"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
)

// A whole text is scored at once: the trainer gets it only with its score.

// countFailure returns true if the item is given up.
func (t *task) countFailure(status int) bool {
	t.failures++
	if status == http.StatusUnprocessableEntity {
		t.failures = max(t.failures, t.maxAttempts())
	}
	if t.failures < t.maxAttempts() {
		return false
	}
	klog.InfoS("item given up", "job", t.key.job, "item", t.key.item, "status", status, "failures", t.failures)
	t.list(jobstorer.Result{Item: t.key.item, State: jobstorer.ResultFailed})
	t.text = nil
	return true
}

func (t *task) maxAttempts() int { return max(1, t.route.MaxAttempts) }

func (t *task) list(r jobstorer.Result) {
	s := t.scheduler
	s.mutex.Lock()
	t.listed = true
	s.mutex.Unlock()
	s.books.AddResult(jobstorer.JobResult{Job: t.key.job, Result: r})
}

// scoreWhole scores texts that were whole from the start. The caller holds the
// mutex.
func (s *Scheduler) scoreWhole(ctx context.Context, tasks *conc.WaitGroup) {
	for _, t := range s.tasks {
		if !t.texted || t.busy || t.listed || !t.wanted {
			continue
		}
		route, ok := s.routeOf(t)
		if !ok {
			continue
		}
		bounded := t.begin(ctx, route)
		tasks.Go(func() {
			t.guard(func() {
				t.score(bounded)
				t.rest(nil, 0)
			})
		})
	}
}

// score has the whole text scored and lists the result.
func (t *task) score(ctx context.Context) {
	if t.failures >= t.maxAttempts() {
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
	klog.InfoS("item done", "job", t.key.job, "item", t.key.item, "state", r.State, "events", t.last, "expected-tokens", t.item.ExpectedTokens,
		"versions", t.versions, "job-age", t.scheduler.clock.Since(t.job.accepted))
	t.list(r)
}

// callScorer asks until the scorer succeeds, or has failed as often as its route
// allows.
func (t *task) callScorer(ctx context.Context) (signature string, ok bool) {
	s, scorer := t.scheduler, t.item.Scorer
	for failures := 0; ctx.Err() == nil; {
		configuration := s.catalog.Configuration()
		route, routed := configuration.MatchRoute(scorer.Host, scorer.Path)
		if routed {
			o := s.forwarder.Forward(ctx, route, forwarder.Request{
				ID: scorer.ID, Method: http.MethodPost, Path: scorer.Path, Host: scorer.Host,
				Header: http.Header{}, Body: scorer.Body, TimeLeft: scoreTimeout,
			})
			if w, whole := o.(forwarder.Response); whole {
				if w.Status >= 200 && w.Status < 300 && w.Signature != "" {
					return w.Signature, true
				}
				// A whole answer of failure ends a forwarding only after as many
				// attempts as the route allows, or where none may follow.
				failures++
				klog.InfoS("scorer failed", "job", t.key.job, "item", t.key.item, "scorer", scorer.ID, "status", w.Status, "failures", failures)
				if failures >= max(1, route.MaxAttempts) {
					return "", false
				}
			}
		}
		select {
		case <-s.clock.After(scorePause):
		case <-ctx.Done():
		}
	}
	return "", false
}
