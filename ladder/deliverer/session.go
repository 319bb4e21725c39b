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
	plan      ModelConfig
	number    identifier.SessionNumber
	takeover  bool
	ctx       context.Context
	cancel    context.CancelFunc
	// slots bounds the samples in progress.
	slots chan struct{}

	mutex sync.Mutex
	have  map[identifier.SampleID]bool
	// groups has every group submitted whose samples aren't all taken.
	groups map[identifier.GroupID]*openGroup
	// pending counts samples not ready yet.
	pending int
	// ready samples have no number yet.
	ready []Sample
	// handed samples are numbered densely and wait for the trainer's word.
	handed []Sample
	// acknowledged is the highest number that the trainer has taken.
	acknowledged identifier.SequenceNumber
	version      identifier.WeightVersion
	stale        int
	idle         time.Duration
	lastFetch    time.Time
	changed      chan struct{}
}

// locateTimeout bounds the search for samples that another entry started.
const locateTimeout = time.Second

func newSession(clock clockwork.Clock, g Generator, goals Goals, o OpenRequest, plan ModelConfig) *session {
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{
		clock: clock, generator: g, goals: goals, plan: plan, number: o.Session, takeover: o.Takeover,
		ctx: ctx, cancel: cancel, slots: make(chan struct{}, max(1, plan.MaxInProgress)),
		have:   make(map[identifier.SampleID]bool, len(o.Received)),
		groups: make(map[identifier.GroupID]*openGroup), lastFetch: clock.Now(),
		changed: make(chan struct{}),
	}
	for _, id := range o.Received {
		s.have[id] = true
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
		Model: s.plan.Model, Session: s.number, Pending: s.pending, Ready: len(s.ready),
		Groups: len(s.groups), Unacknowledged: len(s.handed), Version: s.version, Stale: s.stale, FetchWait: s.idle,
	}
}

// submit starts the samples that the trainer doesn't have.
func (s *session) submit(groups []Group) {
	var wanted []work
	s.mutex.Lock()
	for _, g := range groups {
		if _, known := s.groups[g.ID]; known {
			continue
		}
		open := &openGroup{Group: g}
		for n := range g.Samples {
			if id := SampleIDOf(g.ID, n); !s.have[id] {
				wanted = append(wanted, work{group: g, sample: id})
				open.missing++
			}
		}
		if open.missing > 0 {
			s.groups[g.ID] = open
		}
	}
	s.pending += len(wanted)
	s.mutex.Unlock()
	go s.startAll(wanted)
}

// openGroup is a group of which the trainer lacks samples.
type openGroup struct {
	Group
	// missing is how many it lacks; never 0.
	missing int
}

// take notes that the trainer has a sample, and forgets a group that is whole.
// The caller holds the mutex.
func (s *session) take(sample Sample) {
	g, ok := s.groups[sample.Group]
	if !ok || s.have[sample.ID] {
		return
	}
	s.have[sample.ID] = true
	g.missing--
	if g.missing > 0 {
		return
	}
	delete(s.groups, g.ID)
	for n := range g.Samples {
		delete(s.have, SampleIDOf(g.ID, n))
	}
}

// work is one sample to be made.
type work struct {
	group  Group
	sample identifier.SampleID
	// held is set if another entry had it started.
	held *dispatcher.SampleLocation
}

func (s *session) startAll(wanted []work) {
	if s.takeover && len(wanted) > 0 {
		s.locate(wanted)
	}
	SortLongestFirst(wanted, func(w work) identifier.TokenCount { return w.group.ExpectedTokens })
	for _, w := range wanted {
		select {
		case s.slots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		go func() {
			defer func() { <-s.slots }()
			_ = recoverer.CatchPanic("sample", func() { s.generate(w) }) // it is logged there
		}()
	}
}

func (s *session) locate(wanted []work) {
	ctx, cancel := clockwork.WithTimeout(s.ctx, s.clock, locateTimeout)
	defer cancel()
	ids := make([]identifier.SampleID, 0, len(wanted))
	for _, w := range wanted {
		ids = append(ids, w.sample)
	}
	held := s.generator.Locate(ctx, s.plan.Service, ids)
	for n := range wanted {
		if at, ok := held[wanted[n].sample]; ok {
			wanted[n].held = &at
		}
	}
}

// generate tries until the sample is generated, labelled, fresh and scored.
func (s *session) generate(w work) {
	for s.ctx.Err() == nil {
		sample, wait := s.attempt(w)
		if sample != nil {
			s.add(*sample)
			return
		}
		w.held = nil
		select {
		case <-s.ctx.Done():
		case <-s.clock.After(wait):
		}
	}
}

// attempt returns the sample, or how long to wait before the next attempt.
func (s *session) attempt(w work) (*Sample, time.Duration) {
	const pause = 100 * time.Millisecond
	r := dispatcher.Request{
		ID: identifier.NewRequestID(), Team: s.plan.Team, Class: identifier.ClassRollout,
		Service: s.plan.Service, Call: "generate", Body: w.group.Body, Idempotent: true,
		Deadline: s.clock.Now().Add(s.plan.AttemptTimeout), Sample: w.sample, ExpectedTokens: w.group.ExpectedTokens,
		OldestVersion: s.oldestUseful(),
	}
	var o dispatcher.Outcome
	if w.held != nil {
		o = s.generator.TakeOver(s.ctx, r, *w.held)
	} else {
		o = s.generator.Generate(s.ctx, r)
	}
	c, ok := o.(dispatcher.Completed)
	if !ok {
		return nil, waitAfter(o, pause)
	}
	if len(c.Spans) == 0 || Stale(s.newest(), labeler.OldestVersion(c.Spans), s.plan.StalenessBound) {
		s.countStale()
		return nil, pause
	}
	reward, err := s.generator.Score(s.ctx, s.plan, w.sample, string(c.Body))
	if err != nil {
		klog.V(1).InfoS("sample not scored", "sample", w.sample, "err", err)
		return nil, pause
	}
	return &Sample{ID: w.sample, Group: w.group.ID, Text: string(c.Body), Spans: c.Spans, Reward: reward}, 0
}

func waitAfter(o dispatcher.Outcome, pause time.Duration) time.Duration {
	if n, ok := o.(dispatcher.NotRun); ok {
		return max(pause, n.RetryAfter)
	}
	return pause
}

func (s *session) newest() identifier.WeightVersion {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(s.version, s.goals.Newest(s.plan.Model))
}

// oldestUseful is the oldest version that is within the bound now.
func (s *session) oldestUseful() identifier.WeightVersion {
	newest := s.newest()
	if uint64(newest) <= s.plan.StalenessBound {
		return 0
	}
	return newest - identifier.WeightVersion(s.plan.StalenessBound)
}

func (s *session) countStale() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stale++
}

func (s *session) add(sample Sample) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending--
	s.ready = append(s.ready, sample)
	close(s.changed)
	s.changed = make(chan struct{})
}
