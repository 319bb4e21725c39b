package deliverer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/labeler"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// session is one trainer's session at this entry.
type session struct {
	clock     clockwork.Clock
	generator Generator
	goals     Goals
	config    ModelConfig
	number    identifier.SessionNumber
	takeover  bool
	ctx       context.Context
	cancel    context.CancelFunc
	// slots limits the number of samples in progress.
	slots chan struct{}

	mutex    sync.Mutex
	received map[identifier.SampleID]bool
	// groups has every submitted group of which the trainer lacks samples.
	groups map[identifier.GroupID]*openGroup
	// pending counts the samples that are not ready yet.
	pending int
	// ready samples have no sequence number yet.
	ready []Sample
	// unacknowledged samples are numbered without gaps and not acknowledged by
	// the trainer yet.
	unacknowledged []Sample
	// acknowledged is the highest sequence number that the trainer has
	// processed.
	acknowledged identifier.SequenceNumber
	version      identifier.WeightVersion
	stale        int
	fetchWait    time.Duration
	lastFetch    time.Time
	readyChanged chan struct{}
}

// locateTimeout bounds the search for samples that other entries started.
const locateTimeout = time.Second

func newSession(clock clockwork.Clock, generator Generator, goals Goals, request OpenRequest, config ModelConfig) *session {
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{
		clock: clock, generator: generator, goals: goals, config: config, number: request.Session, takeover: request.Takeover,
		ctx: ctx, cancel: cancel, slots: make(chan struct{}, max(1, config.MaxInProgress)),
		received: make(map[identifier.SampleID]bool, len(request.Received)),
		groups:   make(map[identifier.GroupID]*openGroup), lastFetch: clock.Now(),
		readyChanged: make(chan struct{}),
	}
	for _, id := range request.Received {
		s.received[id] = true
	}
	return s
}

func (s *session) close() { s.cancel() }

func (s *session) idleFor() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.clock.Since(s.lastFetch)
}

func (s *session) status() SessionStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return SessionStatus{
		Model: s.config.Model, Session: s.number, Pending: s.pending, Ready: len(s.ready),
		Groups: len(s.groups), Unacknowledged: len(s.unacknowledged), Version: s.version, Stale: s.stale, Idle: s.fetchWait,
	}
}

// submit starts the samples that the trainer does not have.
func (s *session) submit(groups []Group) {
	var tasks []sampleTask
	s.mutex.Lock()
	for _, g := range groups {
		if _, known := s.groups[g.ID]; known {
			continue
		}
		open := &openGroup{Group: g}
		for n := range g.Samples {
			if id := SampleIDOf(g.ID, n); !s.received[id] {
				tasks = append(tasks, sampleTask{group: g, sample: id})
				open.missing++
			}
		}
		if open.missing > 0 {
			s.groups[g.ID] = open
		}
	}
	s.pending += len(tasks)
	s.mutex.Unlock()
	go s.generateAll(tasks)
}

// openGroup is a group of which the trainer lacks samples.
type openGroup struct {
	Group
	// missing is the number of samples that the trainer lacks; never 0.
	missing int
}

// markReceived records that the trainer has a sample, and removes a group that
// is complete. The caller holds the mutex.
func (s *session) markReceived(sample Sample) {
	g, ok := s.groups[sample.Group]
	if !ok || s.received[sample.ID] {
		return
	}
	s.received[sample.ID] = true
	g.missing--
	if g.missing > 0 {
		return
	}
	delete(s.groups, g.ID)
	for n := range g.Samples {
		delete(s.received, SampleIDOf(g.ID, n))
	}
}

// sampleTask is one sample to be generated.
type sampleTask struct {
	group  Group
	sample identifier.SampleID
	// location is set if another entry has started the sample.
	location *dispatcher.SampleLocation
}

func (s *session) generateAll(tasks []sampleTask) {
	if s.takeover && len(tasks) > 0 {
		s.locate(tasks)
	}
	SortLongestFirst(tasks, func(task sampleTask) identifier.TokenCount { return task.group.ExpectedTokens })
	for _, task := range tasks {
		select {
		case s.slots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		go func() {
			defer func() { <-s.slots }()
			_ = recoverer.CatchPanic("sample", func() { s.generate(task) }) // a panic is logged by CatchPanic
		}()
	}
}

func (s *session) locate(tasks []sampleTask) {
	ctx, cancel := clockwork.WithTimeout(s.ctx, s.clock, locateTimeout)
	defer cancel()
	ids := make([]identifier.SampleID, 0, len(tasks))
	for _, task := range tasks {
		ids = append(ids, task.sample)
	}
	locations := s.generator.Locate(ctx, s.config.Service, ids)
	for n := range tasks {
		if location, ok := locations[tasks[n].sample]; ok {
			tasks[n].location = &location
		}
	}
}

// generate retries until the sample is generated, labelled, fresh and scored.
func (s *session) generate(task sampleTask) {
	for s.ctx.Err() == nil {
		sample, delay := s.runAttempt(task)
		if sample != nil {
			s.addReady(*sample)
			return
		}
		task.location = nil
		select {
		case <-s.ctx.Done():
		case <-s.clock.After(delay):
		}
	}
}

// runAttempt returns the sample, or the delay before the next attempt.
func (s *session) runAttempt(task sampleTask) (*Sample, time.Duration) {
	const minDelay = 100 * time.Millisecond
	r := dispatcher.Request{
		ID: identifier.NewRequestID(), Team: s.config.Team, Class: identifier.ClassRollout,
		Service: s.config.Service, Call: "generate", Body: task.group.Body, Idempotent: true,
		Deadline: s.clock.Now().Add(s.config.AttemptTimeout), Sample: task.sample, ExpectedTokens: task.group.ExpectedTokens,
		OldestVersion: s.minUsableVersion(),
	}
	var o dispatcher.Outcome
	if task.location != nil {
		o = s.generator.TakeOver(s.ctx, r, *task.location)
	} else {
		o = s.generator.Generate(s.ctx, r)
	}
	c, ok := o.(dispatcher.Completed)
	if !ok {
		return nil, retryDelay(o, minDelay)
	}
	if len(c.Spans) == 0 || Stale(s.newestVersion(), labeler.OldestVersion(c.Spans), s.config.StalenessBound) {
		s.countStale()
		return nil, minDelay
	}
	reward, err := s.generator.Score(s.ctx, s.config, task.sample, string(c.Body))
	if err != nil {
		klog.V(1).InfoS("sample not scored", "sample", task.sample, "err", err)
		return nil, minDelay
	}
	return &Sample{ID: task.sample, Group: task.group.ID, Text: string(c.Body), Spans: c.Spans, Reward: reward}, 0
}

func retryDelay(o dispatcher.Outcome, minDelay time.Duration) time.Duration {
	if n, ok := o.(dispatcher.NotRun); ok {
		return max(minDelay, n.RetryAfter)
	}
	return minDelay
}

func (s *session) newestVersion() identifier.WeightVersion {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(s.version, s.goals.Newest(s.config.Model))
}

// minUsableVersion returns the oldest version that is within the staleness
// bound now.
func (s *session) minUsableVersion() identifier.WeightVersion {
	newest := s.newestVersion()
	if uint64(newest) <= s.config.StalenessBound {
		return 0
	}
	return newest - identifier.WeightVersion(s.config.StalenessBound)
}

func (s *session) countStale() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stale++
}

func (s *session) addReady(sample Sample) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending--
	s.ready = append(s.ready, sample)
	close(s.readyChanged)
	s.readyChanged = make(chan struct{})
}
