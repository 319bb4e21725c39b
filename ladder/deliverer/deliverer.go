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

// Exactly once is end to end: the trainer says what it has, and refuses a
// second copy by its sample id. A new session supersedes the old one; nothing
// is agreed between entries. docs/DESIGN.md, "Delivery", weighs that against
// records in the log.

// ErrSuperseded says that the session is not the one in force here.
var ErrSuperseded = errors.New("session not open at this entry")

// Generator generates and scores samples.
type Generator interface {
	// Generate runs one attempt at a sample.
	Generate(ctx context.Context, r dispatcher.Request) dispatcher.Outcome
	// Locate finds samples that other entries have started.
	Locate(ctx context.Context, service identifier.ServiceName, samples []identifier.SampleID) map[identifier.SampleID]dispatcher.SampleLocation
	// TakeOver follows one of them.
	TakeOver(ctx context.Context, r dispatcher.Request, at dispatcher.SampleLocation) dispatcher.Outcome
	// Score returns the reward of a sample, nil for none.
	Score(ctx context.Context, plan ModelConfig, sample identifier.SampleID, text string) (*float64, error)
}

// ModelConfig is what the accepted document says of a trainer's model.
type ModelConfig struct {
	Team    identifier.TeamName
	Model   identifier.ModelName
	Service identifier.ServiceName
	Scorer  identifier.ServiceName
	// StalenessBound is how many versions a sample may be behind.
	StalenessBound uint64
	// MaxInProgress bounds the samples in progress.
	MaxInProgress int
	// AttemptTimeout bounds one attempt at a sample.
	AttemptTimeout time.Duration
}

// Goals tells the newest announced weights.
type Goals interface {
	Newest(m identifier.ModelName) identifier.WeightVersion
}

// Deliverer keeps the sessions of one entry.
type Deliverer struct {
	clock     clockwork.Clock
	generator Generator
	goals     Goals

	mutex sync.Mutex
	// sessions has one per model, the one with the highest number opened here.
	sessions map[identifier.ModelName]*session
	// leaving is set for good once this entry stops.
	leaving bool
}

// idleLimit is how long a session lives without a fetch.
const idleLimit = 2 * time.Minute

// New returns a Deliverer.
func New(clock clockwork.Clock, g Generator, goals Goals) *Deliverer {
	return &Deliverer{clock: clock, generator: g, goals: goals, sessions: make(map[identifier.ModelName]*session)}
}

// Open opens a session and ends an older one of the same model. Opening the
// session in force again changes nothing.
func (d *Deliverer) Open(o OpenRequest, plan ModelConfig) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.leaving {
		return ErrSuperseded
	}
	if old, ok := d.sessions[o.Model]; ok {
		if old.number > o.Session {
			return ErrSuperseded
		}
		if old.number == o.Session {
			return nil
		}
		old.close()
	}
	d.sessions[o.Model] = newSession(d.clock, d.generator, d.goals, o, plan)
	klog.InfoS("trainer session opened", "model", o.Model, "session", o.Session, "have", len(o.Received))
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

// SessionStatus is the state of one session.
type SessionStatus struct {
	Model   identifier.ModelName     `json:"model"`
	Session identifier.SessionNumber `json:"session"`
	// Groups counts those that the trainer lacks samples of.
	Groups int `json:"groups"`
	// Pending, Ready and Unacknowledged count samples.
	Pending        int `json:"pending"`
	Ready          int `json:"ready"`
	Unacknowledged int `json:"unacknowledged"`
	// Version is the trainer's at its last fetch.
	Version identifier.WeightVersion `json:"version"`
	// Stale counts samples that were generated again.
	Stale int `json:"stale"`
	// FetchWait is how long fetches have waited for a first sample.
	FetchWait time.Duration `json:"idle"`
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

// Run ends sessions whose trainer is gone, until ctx ends; then it ends all.
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
			d.closeIdle(idleLimit)
		}
	}
}

// CloseSessions ends every session: fetches hand over what is ready, and then send
// the trainer to another entry, which takes over what sidecars hold.
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
