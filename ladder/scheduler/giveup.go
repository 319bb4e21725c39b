package scheduler

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// Failed results are final. The jobs and the configuration come from different
// partitions of the store, in no order to each other, so that the local configuration
// may be older than the one under which a job was accepted. An item is therefore given
// up only if a configuration that was read after the reason was found confirms it.

const (
	// configurationTimeout bounds one read of the configuration.
	configurationTimeout = 1500 * time.Millisecond
	// reviewInterval is the time between reviews of jobs that can't be finished, and
	// between reads of the configuration that fail.
	reviewInterval = 500 * time.Millisecond
)

// readConfiguration returns a configuration that is at least as new as the newest one
// at the time of the call.
func (s *Scheduler) readConfiguration(ctx context.Context) (*cataloger.Configuration, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	if err := s.published.Refresh(timeoutCtx); err != nil {
		return nil, err
	}
	return s.catalog.Configuration(), nil
}

// isOverdue reports whether a job can't be finished under a configuration that has the
// given route for it, or none.
func isOverdue(j jobstorer.Job, route cataloger.Route, routed bool) bool {
	return !routed || (route.GiveUpAfter > 0 && j.Age > route.GiveUpAfter)
}

// startReview gives up those of the jobs that can't be finished under the newest
// configuration either. The caller must hold the mutex.
func (s *Scheduler) startReview(ctx context.Context, overdue []jobstorer.Job, tasks *conc.WaitGroup) {
	if len(overdue) == 0 || s.reviewing || s.nextReview.After(s.clock.Now()) {
		return
	}
	s.reviewing = true
	tasks.Go(func() {
		_ = recoverer.CatchPanic("review of batch jobs", func() { s.review(ctx, overdue) }) // already logged
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.reviewing, s.nextReview = false, s.clock.Now().Add(reviewInterval)
	})
}

func (s *Scheduler) review(ctx context.Context, overdue []jobstorer.Job) {
	c, err := s.readConfiguration(ctx)
	if err != nil {
		klog.InfoS("batch jobs not given up, the configuration can't be read", "count", len(overdue), "err", err)
		return
	}
	for _, j := range overdue {
		route, routed := c.MatchRoute(j.Host, j.Path)
		if isOverdue(j, route, routed) {
			s.failRemaining(j, routed)
		}
	}
}

// failRemaining records every item without a result as failed.
func (s *Scheduler) failRemaining(j jobstorer.Job, routed bool) {
	klog.InfoS("batch job given up", "job", j.ID, "age", j.Age, "routed", routed, "left", len(j.Items)-len(j.Recorded))
	for _, i := range j.Items {
		if !j.Recorded[i.ID] {
			s.jobs.AddResult(jobstorer.JobResult{Job: j.ID, Result: jobstorer.Result{Item: i.ID, State: jobstorer.ResultFailed}})
		}
	}
}

// attemptsUsedUp reports whether the number of failed attempts has reached the maximum of
// the route in the newest configuration. It retries until that configuration has been
// read, and returns false if ctx ends or there is no such route.
func (s *Scheduler) attemptsUsedUp(ctx context.Context, host, path string, failures int) bool {
	for ctx.Err() == nil {
		c, err := s.readConfiguration(ctx)
		if err == nil {
			route, routed := c.MatchRoute(host, path)
			return routed && failures >= maxAttemptsOf(route)
		}
		klog.InfoS("item not given up, the configuration can't be read", "host", host, "path", path, "err", err)
		select {
		case <-s.clock.After(reviewInterval):
		case <-ctx.Done():
		}
	}
	return false
}

func maxAttemptsOf(r cataloger.Route) int { return max(1, r.MaxAttempts) }
