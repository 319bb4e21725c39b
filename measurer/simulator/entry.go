package simulator

import (
	"strconv"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/measurer/engine"
)

// The same as the dispatcher's and the coordinator's.
const (
	maxAttempts = 4
	retryRatio  = 0.1
	maxRetryTokens   = 20
)

// serviceName is what all workers belong to.
const serviceName identifier.ServiceName = "measured"

// Call is one caller's call.
type Call struct {
	Class  identifier.PriorityClass
	Tokens int
	// Expected is what the caller says of Tokens, 0 if nothing.
	Expected identifier.TokenCount
	PromptID   int
	// Model and Urgency are for rollout work.
	Model   identifier.ModelName
	Urgency int
	// Team and Bounds limit the call; without Bounds there is no limit.
	Team   identifier.TeamName
	Limits *limiter.Limits
	// Timeout is how long the caller waits; 0 is for ever.
	Timeout time.Duration
	OnDone    func(Result)
}

// Result is what became of a call.
type Result struct {
	Completed bool
	// Refused says that it was not run, and RetryAfter when to come back.
	Refused    bool
	RetryAfter time.Duration
	// Latency is from the caller's sending to the whole answer, Wait from the
	// arrival at the entry until an engine took it.
	Latency time.Duration
	QueueWait  time.Duration
	// OldestVersion is the oldest version that made a token.
	OldestVersion identifier.WeightVersion
}

// Entry is one entry's choice of targets.
type Entry struct {
	cluster *Cluster
	zone   identifier.ZoneName
	router *router.Router
	budget *limiter.RetryBudget
	limiter *limiter.Limiter
	callCount  int
}

func (s *Cluster) newEntry(zone identifier.ZoneName, seed uint64) *Entry {
	return &Entry{
		cluster: s, zone: zone, router: router.New(s.Scheduler.Clock(), router.NewRandom(seed), s.options.Policy),
		budget: limiter.NewRetryBudget(retryRatio, maxRetryTokens), limiter: limiter.New(s.Scheduler.Clock()),
	}
}

// pendingCall is a call that has no answer yet.
type pendingCall struct {
	entry    *Entry
	call     Call
	request  identifier.RequestID
	sentAt   time.Time
	arrivedAt   time.Time
	startedAt  time.Time
	triedTargets    map[identifier.TargetName]bool
	attempts map[identifier.AttemptNumber]*attempt
	lastAttempt     identifier.AttemptNumber
	finished    bool
}

// attempt is one dispatch of a call.
type attempt struct {
	worker *Worker
	// lastActivity is when a piece of its answer came last, or the dispatch.
	lastActivity time.Time
	streaming bool
}

// Send sends a call from a client of the entry.
func (e *Entry) Send(c Call) {
	t := e.cluster.Scheduler
	e.callCount++
	o := &pendingCall{
		entry: e, call: c, sentAt: t.Now(),
		request:  identifier.RequestID(string(e.zone) + "/" + strconv.Itoa(e.callCount)),
		triedTargets:    make(map[identifier.TargetName]bool),
		attempts: make(map[identifier.AttemptNumber]*attempt),
	}
	t.After(e.cluster.options.Deployment.ClientLatency, func() {
		o.arrivedAt = t.Now()
		if !o.acquireLimit() {
			return
		}
		o.dispatch()
		if c.Timeout > 0 {
			t.After(c.Timeout, func() { o.finish(Result{}) })
		}
	})
}

// monitoring is as in the dispatcher: samples aren't followed.
func (o *pendingCall) monitoring() router.Monitoring { return o.call.Class == identifier.ClassLive }

// acquireLimit asks the team's limits; a call that is refused there is ended.
func (o *pendingCall) acquireLimit() bool {
	e := o.entry
	if o.call.Limits == nil {
		return true
	}
	retryAfter, ok := e.limiter.TryAcquire(o.call.Team, *o.call.Limits)
	if !ok {
		o.call.Limits = nil
		o.finish(Result{Refused: true, RetryAfter: retryAfter, Latency: e.cluster.Scheduler.Now().Sub(o.sentAt)})
	}
	return ok
}

// dispatch gives the call to a target that wasn't tried yet; it returns false if
// there is none.
func (o *pendingCall) dispatch() bool {
	e := o.entry
	target, ok := e.router.Choose(e.candidates(o.triedTargets), o.monitoring())
	if !ok {
		return false
	}
	o.triedTargets[target] = true
	o.lastAttempt++
	n := o.lastAttempt
	now := e.cluster.Scheduler.Now()
	a := &attempt{worker: e.cluster.worker(target), lastActivity: now}
	o.attempts[n] = a
	o.hedgeWhenSilent(n, a)
	e.cluster.Scheduler.After(e.cluster.latency(e.zone, a.worker.Zone), func() { o.handleArrival(n, a) })
	return true
}

// hedgeWhenSilent sends the call a second time once its attempt has been silent for too
// long.
func (o *pendingCall) hedgeWhenSilent(n identifier.AttemptNumber, a *attempt) {
	e := o.entry
	if !e.cluster.options.Hedge || n > 1 || o.call.Class == identifier.ClassRollout {
		return
	}
	patience := e.router.SilenceTimeout(serviceName, a.streaming)
	if patience == 0 {
		patience = time.Second
	}
	quiet := e.cluster.Scheduler.Now().Sub(a.lastActivity)
	if quiet < patience {
		e.cluster.Scheduler.After(patience-quiet, func() {
			if o.attempts[n] == a {
				o.hedgeWhenSilent(n, a)
			}
		})
		return
	}
	if e.budget.TrySpend() && o.dispatch() {
		e.cluster.Hedges++
	}
}

// handleArrival is at the worker.
func (o *pendingCall) handleArrival(n identifier.AttemptNumber, a *attempt) {
	t := o.entry.cluster.Scheduler
	back := o.entry.cluster.latency(o.entry.zone, a.worker.Zone)
	if o.attempts[n] != a {
		return
	}
	work := &engine.Job{Tokens: o.call.Tokens, PromptID: o.call.PromptID, Model: o.call.Model}
	work.OnStart = func() {
		if o.startedAt.IsZero() {
			o.startedAt = t.Now()
		}
	}
	if o.monitoring() {
		work.OnToken = func() { t.After(back, func() { o.handleToken(n, a) }) }
	}
	work.OnEnd = func() { t.After(back, func() { o.handleCompletion(n, a, work.OldestVersion()) }) }
	i := queuer.Item{Request: o.request, Attempt: n, Class: o.call.Class, ExpectedTokens: o.call.Expected, TimeLeft: o.call.Timeout, Urgency: o.call.Urgency}
	if err := a.worker.enqueue(i, work); err != nil {
		t.After(back, func() { o.handleRefusal(n, a, time.Second) })
	}
}

// handleToken is at the entry: a piece of an answer has come.
func (o *pendingCall) handleToken(n identifier.AttemptNumber, a *attempt) {
	if o.attempts[n] != a {
		return
	}
	now := o.entry.cluster.Scheduler.Now()
	o.entry.router.RecordChunk(a.worker.Name, now.Sub(a.lastActivity), !a.streaming)
	a.lastActivity, a.streaming = now, true
}

func (o *pendingCall) handleCompletion(n identifier.AttemptNumber, a *attempt, oldest identifier.WeightVersion) {
	if o.attempts[n] != a {
		return
	}
	e := o.entry
	now := e.cluster.Scheduler.Now()
	delete(o.attempts, n)
	e.router.Done(a.worker.Name, o.monitoring())
	e.budget.RecordSuccess()
	o.finish(Result{
		Completed: true, OldestVersion: oldest, QueueWait: o.startedAt.Sub(o.arrivedAt),
		Latency: now.Sub(o.sentAt) + e.cluster.options.Deployment.ClientLatency,
	})
}

func (o *pendingCall) handleRefusal(n identifier.AttemptNumber, a *attempt, retryAfter time.Duration) {
	if o.attempts[n] != a {
		return
	}
	e := o.entry
	delete(o.attempts, n)
	e.router.Done(a.worker.Name, o.monitoring())
	if len(o.attempts) > 0 {
		return
	}
	if o.lastAttempt < maxAttempts && e.budget.TrySpend() && o.dispatch() {
		e.cluster.Retries++
		return
	}
	o.finish(Result{Refused: true, RetryAfter: retryAfter, Latency: e.cluster.Scheduler.Now().Sub(o.sentAt)})
}

// finish gives the caller its answer and gives up what is still open.
func (o *pendingCall) finish(r Result) {
	if o.finished {
		return
	}
	o.finished = true
	if o.call.Limits != nil {
		o.entry.limiter.Release(o.call.Team)
	}
	for n, a := range o.attempts {
		delete(o.attempts, n)
		o.entry.router.Done(a.worker.Name, o.monitoring())
		o.entry.cluster.Scheduler.After(o.entry.cluster.latency(o.entry.zone, a.worker.Zone), func() { a.worker.cancel(o.request, n) })
	}
	if o.call.OnDone != nil {
		o.call.OnDone(r)
	}
}

func (e *Entry) candidates(tried map[identifier.TargetName]bool) []router.Candidate {
	var candidates []router.Candidate
	for _, w := range e.cluster.Workers {
		if !tried[w.Name] {
			candidates = append(candidates, router.Candidate{
				Target: w.Name, Service: serviceName, Zone: w.Zone, ReportedLoad: w.reportedLoad, LoadReportedAt: w.reportedAt,
			})
		}
	}
	return candidates
}

func (s *Cluster) worker(name identifier.TargetName) *Worker {
	for _, w := range s.Workers {
		if w.Name == name {
			return w
		}
	}
	return nil
}
