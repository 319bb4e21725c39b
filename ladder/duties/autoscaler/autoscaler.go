package autoscaler

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/duties/pacer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/leaser"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// What a holder has ordered is not kept anywhere but in its memory: an order can be repeated
// without harm, and the targets that run are listed. A new holder takes their number for the
// one in force, and changes nothing for one boot time.

// Subject is what one order is about.
type Subject struct {
	Service identifier.ServiceName `json:"service"`
	Zone    identifier.ZoneName    `json:"zone"`
}

// Order sets the number of targets of a service in a zone.
type Order struct {
	Subject
	Targets int `json:"targets"`
}

// Platform starts and ends targets.
type Platform interface {
	// Scale sends an order. It calls authorize directly before that. A nil error means that
	// the order has arrived; the other errors are those of package pacer.
	Scale(ctx context.Context, o Order, authorize pacer.Authorize) error
}

// Lease returns the fencing token while this process holds the lease.
type Lease interface {
	Token() (identifier.FencingToken, bool)
}

// Counter counts events; *recorder.Recorder implements it.
type Counter interface{ Count(name string) }

// Outcome is what became of the order that was sent last.
type Outcome struct {
	Order
	Token identifier.FencingToken `json:"token"`
	// At is when, by this host's clock.
	At time.Time `json:"at"`
	// Error is empty if the order has arrived.
	Error string `json:"error,omitempty"`
}

// Autoscaler orders targets while this process holds the lease.
type Autoscaler struct {
	clock     clockwork.Clock
	bootClock leaser.BootTimeClock
	catalog   *cataloger.Cataloger
	demand    *Demand
	lease     Lease
	platform  Platform
	pacer     *pacer.Pacer
	holder    leaser.Holder
	counter   Counter

	// The fields below are used by Run only.

	token     identifier.FencingToken
	termBegan time.Duration
	states    map[Subject]State
	// unanswered has the orders that have not been acknowledged.
	unanswered map[Subject]Order

	mutex sync.Mutex
	last  *Outcome
}

// New returns an Autoscaler that orders nothing until Run is called.
func New(clock clockwork.Clock, bootClock leaser.BootTimeClock, c *cataloger.Cataloger, d *Demand, l Lease, p Platform, pace *pacer.Pacer, holder leaser.Holder, counter Counter) *Autoscaler {
	return &Autoscaler{clock: clock, bootClock: bootClock, catalog: c, demand: d, lease: l, platform: p, pacer: pace, holder: holder, counter: counter}
}

// Run orders targets until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) {
	for {
		token, held := a.lease.Token()
		if held && len(scaledServices(a.catalog.Configuration())) > 0 {
			a.takeOver(token)
			_ = recoverer.CatchPanic("scaling pass", func() { a.pass(ctx) }) // already logged
		}
		select {
		case <-a.clock.After(surveyInterval):
		case <-ctx.Done():
			return
		}
	}
}

// takeOver forgets what this host knows from an earlier term.
func (a *Autoscaler) takeOver(token identifier.FencingToken) {
	if token != a.token || a.states == nil {
		a.token, a.termBegan = token, a.bootClock.Elapsed()
		a.states, a.unanswered = make(map[Subject]State), make(map[Subject]Order)
	}
}

// pass decides about all services and sends the orders that have no answer.
func (a *Autoscaler) pass(ctx context.Context) {
	demands, complete := a.demand.survey(ctx)
	configuration := a.catalog.Configuration()
	for _, s := range scaledServices(configuration) {
		for subject, o := range a.observe(s, demands) {
			if _, waits := a.unanswered[subject]; waits {
				continue
			}
			o.Complete = complete
			a.decide(subject, o)
		}
	}
	for _, subject := range slices.SortedFunc(maps.Keys(a.unanswered), compareSubjects) {
		a.send(ctx, a.unanswered[subject])
	}
}

func compareNames[T ~string](a, b T) int { return cmp.Compare(a, b) }

func compareSubjects(a, b Subject) int {
	return cmp.Or(compareNames(a.Service, b.Service), compareNames(a.Zone, b.Zone))
}

// decide makes an order if another number of targets is needed.
func (a *Autoscaler) decide(subject Subject, o Observation) {
	before, ok := a.states[subject]
	if !ok {
		before.ChangedAt = a.termBegan
	}
	state, targets, change := Decide(before, o)
	a.states[subject] = state
	if !change {
		return
	}
	klog.InfoS("number of targets decided", "service", subject.Service, "zone", subject.Zone, "targets", targets, "before", before.current(),
		"serving", o.Targets, "items", o.Items, "calls", o.Calls, "waiting", o.Waiting, "wait", o.Wait)
	a.unanswered[subject] = Order{subject, targets}
}

// observe returns what is known of a service in each zone that has targets of it. Work that waits
// is divided equally among the zones.
func (a *Autoscaler) observe(s cataloger.Service, demands map[identifier.Incarnation][]messenger.PlaceDemand) map[Subject]Observation {
	now, subjects := a.bootClock.Elapsed(), make(map[Subject]Observation)
	base := Observation{At: now, Bounds: *s.Scaling, PlacesEach: 1}
	if s.Engine != nil && s.Engine.Slots > 0 {
		base.PlacesEach = s.Engine.Slots
	}
	for subject := range a.states {
		if subject.Service == s.Name {
			subjects[subject] = base
		}
	}
	for _, t := range a.catalog.ReadyTargets(s.Name) {
		subject := Subject{s.Name, t.Zone}
		o, ok := subjects[subject]
		if !ok {
			o = base
		}
		o.Targets++
		if t.Slots > 0 {
			o.PlacesEach = t.Slots
		}
		subjects[subject] = o
	}
	addDemand(s.Name, subjects, demands)
	return subjects
}

// addDemand adds the demand of a service to the observations.
func addDemand(name identifier.ServiceName, subjects map[Subject]Observation, demands map[identifier.Incarnation][]messenger.PlaceDemand) {
	waiting, work, wait, places := 0, time.Duration(0), time.Duration(0), 0
	for _, list := range demands {
		for _, d := range list {
			if d.Service != name {
				continue
			}
			waiting, work, wait = waiting+max(0, d.Waiting), work+max(0, d.WaitingWork), max(wait, d.LongestWait)
			if o, ok := subjects[Subject{name, d.Zone}]; ok {
				o.Items, o.Calls = o.Items+max(0, d.Items), o.Calls+max(0, d.Calls)
				subjects[Subject{name, d.Zone}] = o
			}
		}
	}
	for _, o := range subjects {
		places += o.Targets * o.PlacesEach
	}
	if places > 0 {
		wait = max(wait, work/time.Duration(places))
	}
	for n, subject := range slices.SortedFunc(maps.Keys(subjects), compareSubjects) {
		o := subjects[subject]
		o.Waiting, o.Work = (waiting+len(subjects)-1-n)/len(subjects), work/time.Duration(len(subjects))
		if o.Waiting > 0 {
			o.Wait = wait
		}
		subjects[subject] = o
	}
}

// authorize returns the term's token if it may be used at this moment.
func (a *Autoscaler) authorize() (identifier.FencingToken, bool) {
	token, ok := a.lease.Token()
	return token, ok && token == a.token
}

// send sends an order. Without an answer it is sent again in the next pass.
func (a *Autoscaler) send(ctx context.Context, o Order) {
	err := a.pacer.Send(ctx, func() error { return a.platform.Scale(ctx, o, a.authorize) })
	if errors.Is(err, pacer.ErrNotHolder) || ctx.Err() != nil {
		return
	}
	done := err == nil || errors.Is(err, pacer.ErrRejected)
	klog.InfoS("order to scale sent", "service", o.Service, "zone", o.Zone, "targets", o.Targets, "holder", a.holder, "token", a.token, "again", !done, "err", err)
	outcome := &Outcome{Order: o, Token: a.token, At: a.clock.Now()}
	if done {
		delete(a.unanswered, o.Subject)
	}
	if errors.Is(err, pacer.ErrRejected) {
		// The number of listed targets is in force.
		a.states[o.Subject] = State{ChangedAt: a.bootClock.Elapsed()}
	}
	if err != nil {
		outcome.Error = err.Error()
		a.counter.Count("scale-orders-failed")
	} else {
		a.counter.Count("scale-orders-sent")
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.last = outcome
}

// Last returns what became of the order that was sent last, or nil.
func (a *Autoscaler) Last() *Outcome {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.last
}
