package deliverer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Exactly-once delivery is end to end: the trainer reports the samples that it
// has, and rejects duplicates by sample id. A new session supersedes the old
// one, so entries need no agreement. docs/DESIGN.md, "Delivery", compares this
// with keeping records in the log.

// ErrSuperseded means that the session is not open at this entry.
var ErrSuperseded = errors.New("session not open at this entry")

// Generator generates and scores samples.
type Generator interface {
	// Generate runs one attempt at a sample.
	Generate(ctx context.Context, r dispatcher.Request) dispatcher.Outcome
	// Locate finds samples that other entries have started.
	Locate(ctx context.Context, service identifier.ServiceName, samples []identifier.SampleID) map[identifier.SampleID]dispatcher.SampleLocation
	// TakeOver follows an attempt found by Locate.
	TakeOver(ctx context.Context, r dispatcher.Request, at dispatcher.SampleLocation) dispatcher.Outcome
	// Score returns the reward of a sample, nil if the model has no scorer.
	Score(ctx context.Context, config ModelConfig, sample identifier.SampleID, text string) (*float64, error)
}

// ModelConfig is the part of the accepted document about a trainer's model.
type ModelConfig struct {
	Team    identifier.TeamName
	Model   identifier.ModelName
	Service identifier.ServiceName
	Scorer  identifier.ServiceName
	// StalenessBound is how many versions a sample may be behind.
	StalenessBound uint64
	// MaxInProgress limits the number of samples in progress.
	MaxInProgress int
	// AttemptTimeout bounds one attempt at a sample.
	AttemptTimeout time.Duration
}

// Goals returns the newest announced weight versions.
type Goals interface {
	Newest(m identifier.ModelName) identifier.WeightVersion
}

// Deliverer manages the trainer sessions of one entry.
type Deliverer struct {
	clock     clockwork.Clock
	generator Generator
	goals     Goals

	mutex sync.Mutex
	// sessions has one session per model, the one with the highest number
	// opened here.
	sessions map[identifier.ModelName]*session
	// leaving is set permanently once this entry stops.
	leaving bool
}

// sessionIdleTimeout is how long a session stays open without a fetch.
const sessionIdleTimeout = 2 * time.Minute

// New returns a Deliverer without sessions.
func New(clock clockwork.Clock, generator Generator, goals Goals) *Deliverer {
	return &Deliverer{clock: clock, generator: generator, goals: goals, sessions: make(map[identifier.ModelName]*session)}
}

// Open opens a session and closes an older one of the same model. Opening the
// current session again has no effect.
func (d *Deliverer) Open(request OpenRequest, config ModelConfig) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.leaving {
		return ErrSuperseded
	}
	if old, ok := d.sessions[request.Model]; ok {
		if old.number > request.Session {
			return ErrSuperseded
		}
		if old.number == request.Session {
			return nil
		}
		old.close()
	}
	d.sessions[request.Model] = newSession(d.clock, d.generator, d.goals, request, config)
	klog.InfoS("trainer session opened", "model", request.Model, "session", request.Session, "have", len(request.Received))
	return nil
}

// Submit adds groups to the session.
func (d *Deliverer) Submit(s SubmitRequest) error {
	current, err := d.session(s.Model, s.Session)
	if err != nil {
		return err
	}
	current.submit(s.Groups)
	return nil
}

// Fetch returns the next samples, at least one unless ctx ends first.
func (d *Deliverer) Fetch(ctx context.Context, f FetchRequest) (Batch, error) {
	s, err := d.session(f.Model, f.Session)
	if err != nil {
		return Batch{}, err
	}
	return s.fetch(ctx, f)
}

func (d *Deliverer) session(m identifier.ModelName, n identifier.SessionNumber) (*session, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, ok := d.sessions[m]
	if !ok || s.number != n {
		return nil, ErrSuperseded
	}
	return s, nil
}

// SessionStatus is the status of one session.
type SessionStatus struct {
	Model   identifier.ModelName     `json:"model"`
	Session identifier.SessionNumber `json:"session"`
	// Groups counts the groups of which the trainer lacks samples.
	Groups int `json:"groups"`
	// Pending, Ready and Unacknowledged count samples.
	Pending        int `json:"pending"`
	Ready          int `json:"ready"`
	Unacknowledged int `json:"unacknowledged"`
	// Version is the trainer's weight version at its last fetch.
	Version identifier.WeightVersion `json:"version"`
	// Stale counts samples discarded as stale or without a known weight
	// version, and generated again.
	Stale int `json:"stale"`
	// Idle is the total time that fetches have waited for a first sample.
	Idle time.Duration `json:"idle"`
}

// Sessions returns the status of every session.
func (d *Deliverer) Sessions() []SessionStatus {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := make([]SessionStatus, 0, len(d.sessions))
	for _, s := range d.sessions {
		list = append(list, s.status())
	}
	return list
}

// Run closes sessions that have been idle for sessionIdleTimeout, until ctx
// ends; then it closes all sessions.
func (d *Deliverer) Run(ctx context.Context) {
	const interval = 5 * time.Second
	ticker := d.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.closeIdle(0)
			return
		case <-ticker.Chan():
			d.closeIdle(sessionIdleTimeout)
		}
	}
}

// CloseSessions closes every session and opens no more. Fetches return the
// samples that are ready and then redirect the trainer to another entry, which
// takes over the samples held by sidecars.
func (d *Deliverer) CloseSessions() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leaving = true
	for _, s := range d.sessions {
		s.close()
	}
}

func (d *Deliverer) closeIdle(limit time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for m, s := range d.sessions {
		if s.idleFor() >= limit {
			klog.InfoS("trainer session closed", "model", m, "session", s.number)
			s.close()
			delete(d.sessions, m)
		}
	}
}
