// Package scheduler runs the items of batch jobs on targets and lists their
// results.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/draftcacher"
	"github.com/lycheeladder/lycheeladder/ladder/forwarder"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/joiner"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// A step's items come all at once and the trainer waits for nearly all of its
// groups, so the longest item decides. Items start in the order of their
// expected length, longest first; a job that came earlier goes before. An item
// that is silent, or on a target much slower than its peers, goes on at another
// target after its last event: reading a prompt again takes some ms, the text
// that is left takes seconds. Nothing is doubled.

const (
	// lookPause is between two looks at the queue without news.
	lookPause = 100 * time.Millisecond
	// refusedPause keeps items from a target that has refused one, since it is
	// full or loads weights.
	refusedPause = 400 * time.Millisecond
	// failedPause keeps items from a target that can't be reached or has
	// broken off.
	failedPause = 500 * time.Millisecond
	// endBound is how long after its job's end an item may reach a target: the
	// users' sheets allow 3 s.
	endBound = 3 * time.Second
	// staleAge is the age of the copy of a job from which its items aren't
	// sent, since it may have been ended. What is sent then is given up after
	// firstTimeout.
	staleAge = endBound - firstTimeout
)

// job is one open job that this process works on.
type job struct {
	jobstorer.Job
	// accepted is when it was accepted, by the own clock.
	accepted time.Time
	route    cataloger.Route
}

// Scheduler runs the items of the jobs that this process owns.
type Scheduler struct {
	clock     clockwork.Clock
	catalog   *cataloger.Cataloger
	books     *jobstorer.JobStorer
	owner     *joiner.Joiner
	sender    sender.Sender
	forwarder *forwarder.Forwarder
	drafts    DraftStore
	router    *router.Router
	wake      chan struct{}

	mutex sync.Mutex
	// tasks has every item that this process works on.
	tasks map[taskKey]*task
	// avoided says until when a target gets no items.
	avoided map[identifier.TargetName]time.Time
}

// New returns a Scheduler for the owner's partitions. random breaks ties between
// targets; many tasks use it.
func New(clock clockwork.Clock, c *cataloger.Cataloger, k *jobstorer.JobStorer, owner *joiner.Joiner, s sender.Sender, f *forwarder.Forwarder, d DraftStore, random router.Random) *Scheduler {
	return &Scheduler{
		clock: clock, catalog: c, books: k, owner: owner, sender: s, forwarder: f, drafts: d,
		router: router.New(clock, random, router.BatchAware{}), wake: make(chan struct{}, 1),
		tasks: make(map[taskKey]*task), avoided: make(map[identifier.TargetName]time.Time),
	}
}

// Wake makes the scheduler look at its queue.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run works on the jobs of the owner's partitions until ctx ends. Items under
// way are broken off then.
func (s *Scheduler) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for ctx.Err() == nil {
		changed, listed := s.books.Changed(), s.catalog.Changed()
		_ = recoverer.CatchPanic("look at the queue", func() { s.look(ctx, &tasks) }) // it is logged there
		select {
		case <-changed:
		case <-listed:
		case <-s.wake:
		case <-s.clock.After(lookPause):
		case <-ctx.Done():
		}
	}
}

// look takes up new items, ends those that aren't wanted and places the others.
func (s *Scheduler) look(ctx context.Context, tasks *conc.WaitGroup) {
	configuration := s.catalog.Configuration()
	if configuration == nil {
		return
	}
	jobs := s.openJobs(configuration)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, j := range jobs {
		if begun := s.takeUp(j); len(begun) > 0 {
			s.collect(ctx, j, begun, tasks)
		}
	}
	s.endUnwanted()
	s.scoreWhole(ctx, tasks)
	for _, t := range s.queue() {
		if !s.knowsNews(t.key.job) {
			continue
		}
		s.place(ctx, t, configuration, tasks)
	}
}

// knowsNews says whether items of the job may be sent: nothing newer is known of
// it that would forbid that.
func (s *Scheduler) knowsNews(id identifier.JobID) bool {
	return s.books.CopyAge(s.books.PartitionOf(id)) <= staleAge
}

func (s *Scheduler) openJobs(c *cataloger.Configuration) (jobs []*job) {
	now := s.clock.Now()
	for _, n := range s.owner.Owned() {
		if s.books.CopyAge(n) > staleAge {
			continue
		}
		for _, open := range s.books.OpenJobs(n) {
			route, ok := c.MatchRoute(open.Host, open.Path)
			j := &job{Job: open, accepted: now.Add(-open.Age), route: route}
			if !ok || (route.GiveUpAfter > 0 && open.Age > route.GiveUpAfter) {
				s.giveUpAll(j, ok)
				continue
			}
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// giveUpAll lists every item as failed that has no result.
func (s *Scheduler) giveUpAll(j *job, routed bool) {
	klog.InfoS("batch job given up", "job", j.ID, "age", j.Age, "routed", routed, "left", len(j.Items)-len(j.Recorded))
	for _, i := range j.Items {
		if !j.Recorded[i.ID] {
			s.books.AddResult(jobstorer.JobResult{Job: j.ID, Result: jobstorer.Result{Item: i.ID, State: jobstorer.ResultFailed}})
		}
	}
}

// takeUp makes tasks of the items that have none, and returns these. The caller
// holds the mutex.
func (s *Scheduler) takeUp(j *job) (begun []identifier.ItemID) {
	now := s.clock.Now()
	var spread lengths
	for n := range j.Items {
		i := &j.Items[n]
		key := taskKey{j.ID, i.ID}
		if j.Recorded[i.ID] {
			continue
		}
		if _, ok := s.tasks[key]; !ok {
			if len(begun) == 0 {
				spread = lengthsOf(j)
			}
			s.tasks[key] = &task{
				scheduler: s, key: key, job: j, item: i, order: n, lengths: spread, wanted: true, waiting: now, notBefore: now.Add(draftsWait),
			}
			if g, ok := s.books.Progress(j.ID, i.ID); ok {
				d := draftcacher.FromProgress(i, g)
				s.adopt(j.ID, &d)
			}
			begun = append(begun, i.ID)
		}
	}
	return begun
}

// endUnwanted breaks off what is listed, ended or given to others before it has
// begun. The caller holds the mutex.
func (s *Scheduler) endUnwanted() {
	for key, t := range s.tasks {
		switch {
		case !s.books.AwaitsResult(key.job, key.item):
			t.end()
		case !t.busy && !s.owner.Owns(s.books.PartitionOf(key.job)):
			t.end()
		}
		if !t.wanted && !t.busy {
			s.keep(t)
			delete(s.tasks, key)
		}
	}
}

// RunningItems returns how many items are under way.
func (s *Scheduler) RunningItems() (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, t := range s.tasks {
		if t.busy {
			count++
		}
	}
	return count
}
