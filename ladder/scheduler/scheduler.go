// Package scheduler runs the items of batch jobs on targets and records their
// results.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/draftcacher"
	"github.com/lycheeladder/lycheeladder/ladder/forwarder"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/joiner"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// All items of a training step arrive at once and the trainer waits for nearly all of its
// groups, so the longest item determines how long the step takes. Items that have been
// started before go first, then those of the oldest job, and within a job those with the
// longest expected output. An item whose target is silent or much slower than its peers
// is resumed on another target after its last event: reading the prompt again takes a
// few milliseconds, generating the rest takes seconds. No item runs twice concurrently.

const (
	// scheduleInterval is the time between passes over the queue when nothing
	// changes.
	scheduleInterval = 100 * time.Millisecond
	// refusalCooldown keeps items away from a target that refused one because it is
	// full or is loading weights.
	refusalCooldown = 400 * time.Millisecond
	// failureCooldown keeps items away from a target that is unreachable or has
	// broken a stream off.
	failureCooldown = 500 * time.Millisecond
	// maxDelayAfterEnd bounds how long after the end of its job an item may still
	// reach a target. The users' requirements allow 3 s.
	maxDelayAfterEnd = 3 * time.Second
	// maxCopyAge is the age of the local copy of a job above which no items are sent,
	// because the job may have ended. A call sent before that is aborted after
	// firstEventTimeout.
	maxCopyAge = maxDelayAfterEnd - firstEventTimeout
)

// job is an open job that this process works on.
type job struct {
	jobstorer.Job
	// acceptedAt is the time of acceptance on the local clock.
	acceptedAt time.Time
	route      cataloger.Route
	// priority is 0 for the most urgent jobs.
	priority int
}

// Scheduler runs the items of the jobs owned by this process.
type Scheduler struct {
	clock     clockwork.Clock
	catalog   *cataloger.Cataloger
	jobs      *jobstorer.JobStorer
	owner     *joiner.Joiner
	sender    sender.Sender
	forwarder *forwarder.Forwarder
	drafts    DraftStore
	// published updates the catalog's configuration.
	published storer.Refresher
	router    *router.Router
	wake      chan struct{}

	mutex sync.Mutex
	// tasks holds every item that this process works on.
	tasks map[taskKey]*task
	// placedWithLimit counts the items that the current pass has placed on targets that
	// limit their requests.
	placedWithLimit map[identifier.TargetName]int
	// avoidedUntil is when a target may get items again.
	avoidedUntil map[identifier.TargetName]time.Time
	// reviewing is set while a review of jobs runs; nextReview is when the next one may start.
	reviewing  bool
	nextReview time.Time
}

// New returns a Scheduler for the partitions that owner holds. random breaks ties
// between targets and must be safe for concurrent use.
func New(clock clockwork.Clock, c *cataloger.Cataloger, p storer.Refresher, jobs *jobstorer.JobStorer, owner *joiner.Joiner, s sender.Sender, f *forwarder.Forwarder, d DraftStore, random router.Random) *Scheduler {
	return &Scheduler{
		clock: clock, catalog: c, published: p, jobs: jobs, owner: owner, sender: s, forwarder: f, drafts: d,
		router: router.New(clock, random, router.BatchAware{}), wake: make(chan struct{}, 1),
		tasks: make(map[taskKey]*task), avoidedUntil: make(map[identifier.TargetName]time.Time),
	}
}

// Wake triggers a pass over the queue.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run works on the jobs of the owned partitions until ctx ends, and then cancels
// running items.
func (s *Scheduler) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for ctx.Err() == nil {
		jobsChanged, targetsChanged := s.jobs.Changed(), s.catalog.Changed()
		_ = recoverer.CatchPanic("scheduling pass", func() { s.schedule(ctx, &tasks) }) // already logged
		select {
		case <-jobsChanged:
		case <-targetsChanged:
		case <-s.wake:
		case <-s.clock.After(scheduleInterval):
		case <-ctx.Done():
		}
	}
}

// schedule adds new items, cancels those that are no longer needed and starts the
// ones that wait.
func (s *Scheduler) schedule(ctx context.Context, tasks *conc.WaitGroup) {
	configuration := s.catalog.Configuration()
	if configuration == nil {
		return
	}
	jobs, overdue := s.openJobs(configuration)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startReview(ctx, overdue, tasks)
	s.placedWithLimit = make(map[identifier.TargetName]int)
	for _, j := range jobs {
		if added := s.addTasks(j); len(added) > 0 {
			s.collectDrafts(ctx, j, added, tasks)
		}
	}
	s.cancelUnwanted()
	s.scoreCompleteTexts(ctx, tasks)
	for _, t := range s.readyTasks() {
		if !s.hasFreshCopy(t.key.job) {
			continue
		}
		s.place(ctx, t, configuration, tasks)
	}
}

// hasFreshCopy reports whether the copy of the job is recent enough to send its
// items: an end of the job would be known.
func (s *Scheduler) hasFreshCopy(id identifier.JobID) bool {
	return s.jobs.CopyAge(s.jobs.PartitionOf(id)) <= maxCopyAge
}

// openJobs returns the jobs whose items may run under a configuration, and those that
// can't be finished under it. A job that is past its time is in both lists.
func (s *Scheduler) openJobs(c *cataloger.Configuration) (jobs []*job, overdue []jobstorer.Job) {
	now := s.clock.Now()
	for _, n := range s.owner.Owned() {
		if s.jobs.CopyAge(n) > maxCopyAge {
			continue
		}
		for _, open := range s.jobs.OpenJobs(n) {
			route, routed := c.MatchRoute(open.Host, open.Path)
			if isOverdue(open, route, routed) {
				overdue = append(overdue, open)
			}
			if routed {
				jobs = append(jobs, &job{Job: open, acceptedAt: now.Add(-open.Age), route: route, priority: c.PriorityOf(route, open.Account)})
			}
		}
	}
	return jobs, overdue
}

// addTasks creates tasks for the items that have none and returns the new ones. The
// caller must hold the mutex.
func (s *Scheduler) addTasks(j *job) (added []identifier.ItemID) {
	now := s.clock.Now()
	var bounds lengthBounds
	for n := range j.Items {
		i := &j.Items[n]
		key := taskKey{j.ID, i.ID}
		if j.Recorded[i.ID] {
			continue
		}
		if _, ok := s.tasks[key]; !ok {
			if len(added) == 0 {
				bounds = lengthBoundsOf(j)
			}
			s.tasks[key] = &task{
				placement: placement{job: j, item: i.ID}, scheduler: s, key: key, item: i, position: n, lengthBounds: bounds, wanted: true, waitingSince: now, notBefore: now.Add(draftTimeout),
			}
			if progress, ok := s.jobs.Progress(j.ID, i.ID); ok {
				d := draftcacher.FromProgress(j.Account, i, progress)
				s.useDraft(j.ID, &d)
			}
			added = append(added, i.ID)
		}
	}
	return added
}

// cancelUnwanted cancels items that have a result, whose job has ended, or that
// belong to another owner and are not running. The caller must hold the mutex.
func (s *Scheduler) cancelUnwanted() {
	for key, t := range s.tasks {
		switch {
		case !s.jobs.AwaitsResult(key.job, key.item):
			t.abandon()
		case !t.running && !s.owner.Owns(s.jobs.PartitionOf(key.job)):
			t.abandon()
		}
		if !t.wanted && !t.running {
			s.storeDraft(t)
			delete(s.tasks, key)
		}
	}
}

// RunningItems returns how many items are being run or scored.
func (s *Scheduler) RunningItems() (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, t := range s.tasks {
		if t.running {
			count++
		}
	}
	return count
}
