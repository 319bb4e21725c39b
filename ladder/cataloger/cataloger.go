package cataloger

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// PublishedRecord is what an operator's or a trainer's record holds: a
// *Configuration or a NamedVersion.
//
//sumtype:decl
type PublishedRecord interface{ published() }

// DesiredVersion says which version of a model the targets are to have.
type DesiredVersion struct {
	Model   identifier.ModelName
	Version identifier.WeightVersion
}

func (*Configuration) published() {}
func (DesiredVersion) published() {}

// Decoder reads the platform's records.
type Decoder interface {
	// Published returns nil for a record that doesn't concern the system.
	Published(key string, value []byte) (PublishedRecord, error)
	// Target reads a target's entry.
	Target(key string, value []byte) (Target, error)
}

// lapseTime is how long after an outage of the store entries may be missing of
// targets that live: they write anew within about 2 s of its return.
const lapseTime = 2500 * time.Millisecond

// Cataloger holds the newest of what was published and listed.
type Cataloger struct {
	clock   clockwork.Clock
	decoder Decoder
	// configuration is nil until one was read; its version never falls.
	configuration atomic.Pointer[Configuration]

	mutex   sync.Mutex
	targets map[identifier.TargetName]Target
	// lapsed has the targets whose entry went in or after an outage of the
	// store, and when they are taken as gone unless they are back.
	lapsed map[identifier.TargetName]time.Time
	// failedAt is when the store didn't answer last.
	failedAt time.Time
	// named never falls.
	named map[identifier.ModelName]identifier.WeightVersion
	// changed is closed at each change.
	changed chan struct{}
	// ready has, by service, what Targets has returned since the last change.
	ready map[identifier.ServiceName][]Target
}

// New returns a Cataloger that knows nothing.
func New(clock clockwork.Clock, d Decoder) *Cataloger {
	return &Cataloger{
		clock: clock, decoder: d,
		targets: make(map[identifier.TargetName]Target),
		lapsed:  make(map[identifier.TargetName]time.Time),
		named:   make(map[identifier.ModelName]identifier.WeightVersion),
		changed: make(chan struct{}),
		ready:   make(map[identifier.ServiceName][]Target),
	}
}

// Configuration returns the one in force, or nil.
func (c *Cataloger) Configuration() *Configuration { return c.configuration.Load() }

// Named returns the newest named version of each model.
func (c *Cataloger) Named() map[identifier.ModelName]identifier.WeightVersion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.named)
}

// Target returns a listed target.
func (c *Cataloger) Target(name identifier.TargetName) (Target, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropLapsed()
	t, ok := c.targets[name]
	return t, ok
}

// StoreFailed notes that the list of targets couldn't be read.
func (c *Cataloger) StoreFailed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failedAt = c.clock.Now()
}

// dropLapsed drops the targets that aren't back in time. The caller holds the
// mutex.
func (c *Cataloger) dropLapsed() {
	now := c.clock.Now()
	for name, until := range c.lapsed {
		if now.After(until) {
			klog.InfoS("target gone, its entry isn't back", "target", name)
			delete(c.targets, name)
			delete(c.lapsed, name)
			clear(c.ready)
		}
	}
}

// remove takes note that a target's entry is gone. The caller holds the mutex.
func (c *Cataloger) remove(name identifier.TargetName, offset identifier.LogOffset) {
	if _, known := c.targets[name]; !known {
		return
	}
	if until := c.failedAt.Add(lapseTime); !c.failedAt.IsZero() && until.After(c.clock.Now()) {
		klog.InfoS("entry of a target lapsed around an outage of the store", "target", name, "offset", offset, "kept-for", until.Sub(c.clock.Now()))
		c.lapsed[name] = until
		return
	}
	klog.InfoS("target gone", "target", name, "offset", offset)
	delete(c.targets, name)
}

// ReadyTargets returns the listed targets of a service that take work, ordered by
// name. The caller must not change the list.
func (c *Cataloger) ReadyTargets(s identifier.ServiceName) []Target {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropLapsed()
	list, ok := c.ready[s]
	if ok {
		return list
	}
	for _, t := range c.targets {
		if t.Service == s && t.State == StateReady {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	c.ready[s] = list
	return list
}

// EngineCount returns how many targets take work that are model engines.
func (c *Cataloger) EngineCount() (count int) {
	configuration := c.Configuration()
	if configuration == nil {
		return 0
	}
	for _, s := range configuration.Services {
		if s.Engine != nil {
			count += len(c.ReadyTargets(s.Name))
		}
	}
	return count
}

// Changed is closed at the next change.
func (c *Cataloger) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// RecordWeights notes a version that a target's answer has shown. Lists lag.
func (c *Cataloger) RecordWeights(name identifier.TargetName, m identifier.ModelName, v identifier.WeightVersion) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	t, ok := c.targets[name]
	if !ok || t.Weights[m] >= v {
		return
	}
	t.Weights = maps.Clone(t.Weights)
	if t.Weights == nil {
		t.Weights = make(map[identifier.ModelName]identifier.WeightVersion)
	}
	t.Weights[m] = v
	c.targets[name] = t
	c.notify()
}

func (c *Cataloger) notify() {
	clear(c.ready)
	close(c.changed)
	c.changed = make(chan struct{})
}

// PublishedSink takes the partition of operators and trainers.
func (c *Cataloger) PublishedSink() storer.Sink { return publishedSink{c} }

// TargetSink takes the partition of targets.
func (c *Cataloger) TargetSink() storer.Sink { return targetSink{c} }

type publishedSink struct{ *Cataloger }

// Reset implements storer.Sink. What was published is never withdrawn.
func (s publishedSink) Reset(records []storer.Record) { s.Apply(records) }

// Apply implements storer.Sink.
func (s publishedSink) Apply(records []storer.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		storer.TryApply(r, func() { s.publish(r) })
	}
	s.notify()
}

func (c *Cataloger) publish(r storer.Record) {
	p, err := c.decoder.Published(r.Key, r.Value)
	if err != nil {
		klog.InfoS("unreadable record of the operator left out", "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	switch p := p.(type) {
	case nil:
	case *Configuration:
		before := c.configuration.Load()
		if before != nil && p.Version <= before.Version {
			return
		}
		c.configuration.Store(p)
		klog.InfoS("configuration in force", "version", p.Version, "offset", r.Offset, "routes", len(p.Routes))
	case DesiredVersion:
		if p.Version > c.named[p.Model] {
			c.named[p.Model] = p.Version
			klog.InfoS("weights named", "model", p.Model, "version", p.Version, "offset", r.Offset)
		}
	}
}

type targetSink struct{ *Cataloger }

// Reset implements storer.Sink.
func (s targetSink) Reset(records []storer.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listed := make(map[identifier.TargetName]bool, len(records))
	for _, r := range records {
		s.list(r)
		listed[identifier.TargetName(r.Key)] = true
	}
	for name := range s.targets {
		if _, lapsed := s.lapsed[name]; !listed[name] && !lapsed {
			s.remove(name, 0)
		}
	}
	s.notify()
}

// Apply implements storer.Sink.
func (s targetSink) Apply(records []storer.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, r := range records {
		s.list(r)
	}
	s.notify()
}

// list takes one entry; one that can't be taken hurts no other.
func (s targetSink) list(r storer.Record) {
	if !storer.TryApply(r, func() { s.take(r) }) {
		delete(s.targets, identifier.TargetName(r.Key))
	}
}

func (s targetSink) take(r storer.Record) {
	name := identifier.TargetName(r.Key)
	old, known := s.targets[name]
	if len(r.Value) == 0 {
		s.remove(name, r.Offset)
		return
	}
	delete(s.lapsed, name)
	t, err := s.decoder.Target(r.Key, r.Value)
	if err != nil {
		klog.InfoS("unreadable entry of a target left out", "target", name, "offset", r.Offset, "err", err)
		delete(s.targets, name)
		return
	}
	if !known || old.State != t.State || old.StartID != t.StartID {
		klog.InfoS("target listed", "target", name, "service", t.Service, "address", t.Address, "state", t.State, "offset", r.Offset)
	}
	s.targets[name] = t
}
