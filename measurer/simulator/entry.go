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

// These limits equal those of the dispatcher and the coordinator.
const (
	maxAttempts    = 4
	retryRatio     = 0.1
	maxRetryTokens = 20
)

// serviceName is the service that all workers belong to.
const serviceName identifier.ServiceName = "measured"

// Call is one call of a client.
type Call struct {
	Class  identifier.PriorityClass
	Tokens int
	// Expected is the client's estimate of Tokens, or 0 if it gives none.
	Expected identifier.TokenCount
	PromptID int
	// Model and Urgency apply to rollout calls.
	Model   identifier.ModelName
	Urgency int
	// Team and Limits limit the rate of calls; if Limits is nil, there is no
	// limit.
	Team   identifier.TeamName
	Limits *limiter.Limits
	// Timeout is how long the client waits; 0 means no timeout.
	Timeout time.Duration
	OnDone  func(Result)
}

// Result is the outcome of a call. If neither Completed nor Refused is set, the
// call timed out.
type Result struct {
	Completed bool
	// Refused is set if the call was not run; RetryAfter is the delay before
	// the client may retry.
	Refused    bool
	RetryAfter time.Duration
	// Latency is the time from sending the call to receiving the complete
	// answer or the refusal. QueueWait is the time from arrival at the entry
	// until an engine starts the call.
	Latency   time.Duration
	QueueWait time.Duration
	// OldestVersion is the oldest weight version that generated a token.
	OldestVersion identifier.WeightVersion
}

// Entry routes calls to the workers.
type Entry struct {
	cluster   *Cluster
	zone      identifier.ZoneName
	router    *router.Router
	budget    *limiter.RetryBudget
	limiter   *limiter.Limiter
	callCount int
}

func (c *Cluster) newEntry(zone identifier.ZoneName, seed uint64) *Entry {
	return &Entry{
		cluster: c, zone: zone, router: router.New(c.Scheduler.Clock(), router.NewRandom(seed), c.options.Policy),
		budget: limiter.NewRetryBudget(retryRatio, maxRetryTokens), limiter: limiter.New(c.Scheduler.Clock()),
	}
}

// pendingCall is a call without a result yet.
type pendingCall struct {
	entry        *Entry
	call         Call
	request      identifier.RequestID
	sentAt       time.Time
	arrivedAt    time.Time
	startedAt    time.Time
	triedTargets map[identifier.TargetName]bool
	attempts     map[identifier.AttemptNumber]*attempt
	lastAttempt  identifier.AttemptNumber
	finished     bool
}

// attempt is one dispatch of a call to a worker.
type attempt struct {
	worker *Worker
	// lastActivity is the time of the dispatch or of the latest token received.
	lastActivity time.Time
	streaming    bool
}

// Send sends a call from a client to the entry.
func (e *Entry) Send(c Call) {
	t := e.cluster.Scheduler
	e.callCount++
	p := &pendingCall{
		entry: e, call: c, sentAt: t.Now(),
		request:      identifier.RequestID(string(e.zone) + "/" + strconv.Itoa(e.callCount)),
		triedTargets: make(map[identifier.TargetName]bool),
		attempts:     make(map[identifier.AttemptNumber]*attempt),
	}
	t.After(e.cluster.options.Deployment.ClientLatency, func() {
		p.arrivedAt = t.Now()
		if !p.acquireLimit() {
			return
		}
		p.dispatch()
		if c.Timeout > 0 {
			t.After(c.Timeout, func() { p.finish(Result{}) })
		}
	})
}

// monitoring tells whether the router monitors the attempts for silence. As in
// the dispatcher, it does not for samples.
func (p *pendingCall) monitoring() router.Monitoring { return p.call.Class == identifier.ClassLive }

// acquireLimit checks the limits of the team. It finishes a call that they
// refuse and returns false.
func (p *pendingCall) acquireLimit() bool {
	e := p.entry
	if p.call.Limits == nil {
		return true
	}
	retryAfter, ok := e.limiter.TryAcquire(p.call.Team, *p.call.Limits)
	if !ok {
		p.call.Limits = nil
		p.finish(Result{Refused: true, RetryAfter: retryAfter, Latency: e.cluster.Scheduler.Now().Sub(p.sentAt)})
	}
	return ok
}

// dispatch sends the call to a target that has not been tried. It returns false
// if there is none.
func (p *pendingCall) dispatch() bool {
	e := p.entry
	target, ok := e.router.Choose(e.candidates(p.triedTargets), p.monitoring())
	if !ok {
		return false
	}
	p.triedTargets[target] = true
	p.lastAttempt++
	n := p.lastAttempt
	now := e.cluster.Scheduler.Now()
	a := &attempt{worker: e.cluster.worker(target), lastActivity: now}
	p.attempts[n] = a
	p.hedgeWhenSilent(n, a)
	e.cluster.Scheduler.After(e.cluster.latency(e.zone, a.worker.Zone), func() { p.handleArrival(n, a) })
	return true
}

// hedgeWhenSilent sends a second attempt once the first has been silent for
// longer than the silence timeout of the router.
func (p *pendingCall) hedgeWhenSilent(n identifier.AttemptNumber, a *attempt) {
	e := p.entry
	if !e.cluster.options.Hedge || n > 1 || p.call.Class == identifier.ClassRollout {
		return
	}
	silenceTimeout := e.router.SilenceTimeout(serviceName, a.streaming)
	if silenceTimeout == 0 {
		silenceTimeout = time.Second
	}
	silence := e.cluster.Scheduler.Now().Sub(a.lastActivity)
	if silence < silenceTimeout {
		e.cluster.Scheduler.After(silenceTimeout-silence, func() {
			if p.attempts[n] == a {
				p.hedgeWhenSilent(n, a)
			}
		})
		return
	}
	if e.budget.TrySpend() && p.dispatch() {
		e.cluster.Hedges++
	}
}

// handleArrival runs when the attempt arrives at the worker.
func (p *pendingCall) handleArrival(n identifier.AttemptNumber, a *attempt) {
	t := p.entry.cluster.Scheduler
	returnLatency := p.entry.cluster.latency(p.entry.zone, a.worker.Zone)
	if p.attempts[n] != a {
		return
	}
	job := &engine.Job{Tokens: p.call.Tokens, PromptID: p.call.PromptID, Model: p.call.Model}
	job.OnStart = func() {
		if p.startedAt.IsZero() {
			p.startedAt = t.Now()
		}
	}
	if p.monitoring() {
		job.OnToken = func() { t.After(returnLatency, func() { p.handleToken(n, a) }) }
	}
	job.OnEnd = func() { t.After(returnLatency, func() { p.handleCompletion(n, a, job.OldestVersion()) }) }
	i := queuer.Item{Request: p.request, Attempt: n, Class: p.call.Class, ExpectedTokens: p.call.Expected, TimeLeft: p.call.Timeout, Urgency: p.call.Urgency}
	if err := a.worker.enqueue(i, job); err != nil {
		t.After(returnLatency, func() { p.handleRefusal(n, a, time.Second) })
	}
}

// handleToken runs when a token arrives at the entry.
func (p *pendingCall) handleToken(n identifier.AttemptNumber, a *attempt) {
	if p.attempts[n] != a {
		return
	}
	now := p.entry.cluster.Scheduler.Now()
	p.entry.router.RecordChunk(a.worker.Name, now.Sub(a.lastActivity), !a.streaming)
	a.lastActivity, a.streaming = now, true
}

func (p *pendingCall) handleCompletion(n identifier.AttemptNumber, a *attempt, oldest identifier.WeightVersion) {
	if p.attempts[n] != a {
		return
	}
	e := p.entry
	now := e.cluster.Scheduler.Now()
	delete(p.attempts, n)
	e.router.Done(a.worker.Name, p.monitoring())
	e.budget.RecordSuccess()
	p.finish(Result{
		Completed: true, OldestVersion: oldest, QueueWait: p.startedAt.Sub(p.arrivedAt),
		Latency: now.Sub(p.sentAt) + e.cluster.options.Deployment.ClientLatency,
	})
}

func (p *pendingCall) handleRefusal(n identifier.AttemptNumber, a *attempt, retryAfter time.Duration) {
	if p.attempts[n] != a {
		return
	}
	e := p.entry
	delete(p.attempts, n)
	e.router.Done(a.worker.Name, p.monitoring())
	if len(p.attempts) > 0 {
		return
	}
	if p.lastAttempt < maxAttempts && e.budget.TrySpend() && p.dispatch() {
		e.cluster.Retries++
		return
	}
	p.finish(Result{Refused: true, RetryAfter: retryAfter, Latency: e.cluster.Scheduler.Now().Sub(p.sentAt)})
}

// finish returns the result to the client and cancels the remaining attempts.
func (p *pendingCall) finish(r Result) {
	if p.finished {
		return
	}
	p.finished = true
	if p.call.Limits != nil {
		p.entry.limiter.Release(p.call.Team)
	}
	for n, a := range p.attempts {
		delete(p.attempts, n)
		p.entry.router.Done(a.worker.Name, p.monitoring())
		p.entry.cluster.Scheduler.After(p.entry.cluster.latency(p.entry.zone, a.worker.Zone), func() { a.worker.cancel(p.request, n) })
	}
	if p.call.OnDone != nil {
		p.call.OnDone(r)
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

func (c *Cluster) worker(name identifier.TargetName) *Worker {
	for _, w := range c.Workers {
		if w.Name == name {
			return w
		}
	}
	return nil
}
