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

// PublishedRecord is a record written by an operator or a trainer: a *Configuration or
// a DesiredVersion.
//
//sumtype:decl
type PublishedRecord interface{ published() }

// DesiredVersion is the weight version of a model that the targets should load.
type DesiredVersion struct {
	Model   identifier.ModelName
	Version identifier.WeightVersion
}

func (*Configuration) published() {}
func (DesiredVersion) published() {}

// Decoder decodes the platform's records.
type Decoder interface {
	// Published returns nil for a record that doesn't concern this system.
	Published(key string, value []byte) (PublishedRecord, error)
	// Target decodes a target's entry.
	Target(key string, value []byte) (Target, error)
}

// lapseGrace is how long after an outage of the store the entries of live targets may
// be missing: targets write their entries again within about 2 s of the store's return.
const lapseGrace = 2500 * time.Millisecond

// Cataloger holds the newest configuration, weight versions and target list.
type Cataloger struct {
	clock   clockwork.Clock
	decoder Decoder
	// configuration is nil until one has been read; its version never decreases.
	configuration atomic.Pointer[Configuration]

	mutex   sync.Mutex
	targets map[identifier.TargetName]Target
	// lapsed maps the targets whose entries disappeared during or shortly after an
	// outage of the store to the time when they count as gone unless they are listed
	// again.
	lapsed map[identifier.TargetName]time.Time
	// failedAt is when the store last failed to answer.
	failedAt time.Time
	// desired has the newest announced version of each model; versions never decrease.
	desired map[identifier.ModelName]identifier.WeightVersion
	// changed is closed and replaced at each change.
	changed chan struct{}
	// softwareSeen has, for each service, when a target of each software version was last
	// listed or changed its entry.
	softwareSeen map[identifier.ServiceName]map[identifier.SoftwareVersion]time.Time
	// formerStarts has the starts that were listed within softwareMemory and are not any more, and
	// longer ones until startsSweptAt is that long ago.
	formerStarts  map[Incarnation]formerStart
	startsSweptAt time.Time
	// saidLeaving has when targets first said in a response that they leave.
	saidLeaving map[Incarnation]time.Time
	// lastSaid has when a target of a name, whichever start of it, last said so.
	lastSaid map[identifier.TargetName]time.Time
	// confirmedAt has when targets that may have said so were last found to stay.
	confirmedAt map[Incarnation]time.Time
	// leaveGrace is how long such targets are used if their service has no other.
	leaveGrace time.Duration
	// listedSince is when the targets were listed without what was listed before. Entries may
	// have come and gone unseen until then.
	listedSince time.Time
	// software caches the results of ListedSoftware since the last change, by service.
	software map[identifier.ServiceName][]identifier.SoftwareVersion
	// ready caches the results of ReadyTargets since the last change, by service.
	ready map[identifier.ServiceName][]Target
}

// Option is a setting of a Cataloger.
type Option func(*Cataloger)

// New returns an empty Cataloger.
func New(clock clockwork.Clock, d Decoder, options ...Option) *Cataloger {
	c := &Cataloger{
		clock: clock, decoder: d,
		targets:      make(map[identifier.TargetName]Target),
		lapsed:       make(map[identifier.TargetName]time.Time),
		desired:      make(map[identifier.ModelName]identifier.WeightVersion),
		changed:      make(chan struct{}),
		softwareSeen: make(map[identifier.ServiceName]map[identifier.SoftwareVersion]time.Time),
		formerStarts: make(map[Incarnation]formerStart),
		saidLeaving:  make(map[Incarnation]time.Time),
		lastSaid:     make(map[identifier.TargetName]time.Time),
		confirmedAt:  make(map[Incarnation]time.Time),
		software:     make(map[identifier.ServiceName][]identifier.SoftwareVersion),
		ready:        make(map[identifier.ServiceName][]Target),
	}
	for _, set := range options {
		set(c)
	}
	return c
}

// Configuration returns the configuration in force, or nil.
func (c *Cataloger) Configuration() *Configuration { return c.configuration.Load() }

// Named returns the newest announced version of each model.
func (c *Cataloger) Named() map[identifier.ModelName]identifier.WeightVersion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.desired)
}

// Target returns a listed target.
func (c *Cataloger) Target(name identifier.TargetName) (Target, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removeLapsed()
	t, ok := c.targets[name]
	return t, ok
}

// StoreFailed records that the list of targets couldn't be read.
func (c *Cataloger) StoreFailed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failedAt = c.clock.Now()
}

// removeLapsed removes the targets that were not listed again in time. The caller holds
// the mutex.
func (c *Cataloger) removeLapsed() {
	now := c.clock.Now()
	for name, until := range c.lapsed {
		if now.After(until) {
			klog.InfoS("target gone, its entry isn't back", "target", name)
			c.drop(name)
			delete(c.lapsed, name)
			c.clearCaches()
		}
	}
}

// remove handles the removal of a target's entry. The caller holds the mutex.
func (c *Cataloger) remove(name identifier.TargetName, offset identifier.LogOffset) {
	if _, known := c.targets[name]; !known {
		return
	}
	if until := c.failedAt.Add(lapseGrace); !c.failedAt.IsZero() && until.After(c.clock.Now()) {
		klog.InfoS("entry of a target lapsed around an outage of the store", "target", name, "offset", offset, "kept-for", until.Sub(c.clock.Now()))
		c.lapsed[name] = until
		return
	}
	klog.InfoS("target gone", "target", name, "offset", offset)
	c.drop(name)
}

// drop removes a target from the list, and remembers its software version. The caller holds
// the mutex.
func (c *Cataloger) drop(name identifier.TargetName) {
	if t, known := c.targets[name]; known {
		c.seeSoftware(t)
		c.rememberStart(t)
		delete(c.targets, name)
	}
}

// ReadyTargets returns the listed targets of a service that accept work, ordered by
// name. The caller must not modify the list.
func (c *Cataloger) ReadyTargets(s identifier.ServiceName) []Target {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removeLapsed()
	list, ok := c.ready[s]
	if ok {
		return list
	}
	for _, t := range c.targets {
		if t.Service == s && t.State == StateReady && c.stays(t) {
			list = append(list, t)
		}
	}
	sortByName(list)
	c.ready[s] = list
	return list
}

func sortByName(list []Target) {
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// EngineCount returns the number of model engines that accept work.
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

// Changed returns a channel that is closed at the next change.
func (c *Cataloger) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// RecordWeights records a version seen in a target's answer, which can be newer than
// the target's listed entry.
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

func (c *Cataloger) clearCaches() {
	clear(c.ready)
	clear(c.software)
}

func (c *Cataloger) notify() {
	c.clearCaches()
	close(c.changed)
	c.changed = make(chan struct{})
}

// PublishedSink returns the sink for the partition of operators and trainers.
func (c *Cataloger) PublishedSink() storer.Sink { return publishedSink{c} }

// TargetSink returns the sink for the partition of targets.
func (c *Cataloger) TargetSink() storer.Sink { return targetSink{c} }

type publishedSink struct{ *Cataloger }

// Reset implements storer.Sink. Published records are never withdrawn.
func (s publishedSink) Reset(records []storer.Record) { s.Apply(records) }

// Apply implements storer.Sink.
func (s publishedSink) Apply(records []storer.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		storer.TryApply(r, func() { s.applyPublished(r) })
	}
	s.notify()
}

func (c *Cataloger) applyPublished(r storer.Record) {
	p, err := c.decoder.Published(r.Key, r.Value)
	if err != nil {
		klog.InfoS("unreadable record of the operator left out", "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	switch p := p.(type) {
	case nil:
	case *Configuration:
		current := c.configuration.Load()
		if current != nil && p.Version <= current.Version {
			return
		}
		c.configuration.Store(p)
		klog.InfoS("configuration in force", "version", p.Version, "offset", r.Offset, "routes", len(p.Routes))
		if p.HasAccounts() {
			klog.InfoS("client accounts in force", "version", p.Version, "accounts", p.Accounts.Len())
		}
	case DesiredVersion:
		if p.Version > c.desired[p.Model] {
			c.desired[p.Model] = p.Version
			klog.InfoS("weights named", "model", p.Model, "version", p.Version, "offset", r.Offset)
		}
	}
}

type targetSink struct{ *Cataloger }

// Reset implements storer.Sink.
func (s targetSink) Reset(records []storer.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listedSince = s.clock.Now()
	listed := make(map[identifier.TargetName]bool, len(records))
	for _, r := range records {
		s.applyRecovered(r)
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
		s.applyRecovered(r)
	}
	s.notify()
}

// applyRecovered applies one entry; an entry that causes a panic does not affect the others.
func (s targetSink) applyRecovered(r storer.Record) {
	if !storer.TryApply(r, func() { s.applyEntry(r) }) {
		s.drop(identifier.TargetName(r.Key))
	}
}

func (s targetSink) applyEntry(r storer.Record) {
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
		s.drop(name)
		return
	}
	if !known || old.State != t.State || old.StartID != t.StartID {
		klog.InfoS("target listed", "target", name, "service", t.Service, "address", t.Address, "software", t.Software, "state", t.State, "offset", r.Offset)
	}
	if known {
		s.seeSoftware(old)
	}
	if known && old.StartID != t.StartID {
		s.rememberStart(old)
	}
	s.targets[name] = t
}
