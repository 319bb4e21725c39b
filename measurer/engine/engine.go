// Package engine is a model engine in virtual time, as far as the decisions
// under measure can tell one from a real engine.
package engine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/measurer/scheduler"
)

// Batching is continuous: work joins and leaves between two ticks, and in each
// tick every running piece of work makes one token. A fuller batch ticks more
// slowly. Work beyond the slots is paused, the least urgent first. A prompt that isn't in the prefix cache costs some ticks first.

// Options are an engine's speeds.
type Options struct {
	// TickTime is the time of a token in an all but empty batch.
	TickTime time.Duration
	// FullBatchSlowdown is the share by which a full batch slows a tick.
	FullBatchSlowdown float64
	Slots         int
	// PrefillTicks is the cost of a prompt that isn't cached.
	PrefillTicks int
	// Jitter is the share by which a tick is shorter or longer at most.
	Jitter float64
	// PrefixCacheSize is how many prompts the prefix cache holds.
	PrefixCacheSize int
}

// Job is one piece of work.
type Job struct {
	Tokens int
	PromptID int
	// Model is which of the engine's models makes the tokens.
	Model identifier.ModelName
	// Priority is smaller for work to be served sooner.
	Priority int
	// OnStart, Token and Ended are called as it happens; each may be nil.
	OnStart func()
	OnToken   func()
	OnEnd   func()

	started bool
	remainingPrefill int
	generatedTokens    int
	// versions has the version of each run of tokens.
	versions []identifier.WeightVersion
}

// GeneratedTokens returns how many tokens were made.
func (j *Job) GeneratedTokens() int { return j.generatedTokens }

// OldestVersion returns the oldest version that made a token, 0 if there is none.
func (j *Job) OldestVersion() identifier.WeightVersion {
	if len(j.versions) == 0 {
		return 0
	}
	return j.versions[0]
}

// Engine is one engine.
type Engine struct {
	scheduler   *scheduler.Scheduler
	random  *rand.Rand
	options Options
	admitted []*Job
	newJobs []*Job
	// prefixCache prompts, the one used last at the end.
	prefixCache  []int
	slowdown    float64
	tickScheduled bool
	paused  bool
	// versions of each model in use.
	versions map[identifier.ModelName]identifier.WeightVersion
	// generatedTokens counts every token.
	generatedTokens int
	// discardedTokens counts the tokens of work that was removed or begun again.
	discardedTokens int
}

// New returns an idle engine.
func New(t *scheduler.Scheduler, random *rand.Rand, options Options) *Engine {
	return &Engine{scheduler: t, random: random, options: options, slowdown: 1, versions: make(map[identifier.ModelName]identifier.WeightVersion)}
}

// SetSlowdown makes later ticks last factor times as long.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// GeneratedTokens returns how many tokens were made.
func (e *Engine) GeneratedTokens() int { return e.generatedTokens }

// JobCount returns how much work is in the batch.
func (e *Engine) JobCount() int { return len(e.admitted) + len(e.newJobs) }

// DiscardedTokens returns how many tokens of work that was removed or begun again there
// were.
func (e *Engine) DiscardedTokens() int { return e.discardedTokens }

// RestartModel begins all work of a model again.
func (e *Engine) RestartModel(model identifier.ModelName) {
	for _, j := range e.admitted {
		if j.Model == model {
			e.discardedTokens += j.generatedTokens
			j.generatedTokens, j.versions = 0, nil
		}
	}
}

// SwitchVersion makes no tokens for d, then uses version.
func (e *Engine) SwitchVersion(model identifier.ModelName, version identifier.WeightVersion, d time.Duration, done func()) {
	e.paused = true
	e.scheduler.After(d, func() {
		e.paused = false
		e.versions[model] = version
		e.scheduleTick()
		done()
	})
}

// Add lets the job join the batch at the next tick.
func (e *Engine) Add(j *Job) {
	e.newJobs = append(e.newJobs, j)
	e.scheduleTick()
}

// Remove takes a job out, whether it has begun or not.
func (e *Engine) Remove(j *Job) {
	e.discardedTokens += j.generatedTokens
	e.remove(j)
}

func (e *Engine) remove(j *Job) {
	is := func(other *Job) bool { return other == j }
	e.admitted = slices.DeleteFunc(e.admitted, is)
	e.newJobs = slices.DeleteFunc(e.newJobs, is)
}

func (e *Engine) scheduleTick() {
	if e.tickScheduled || e.paused {
		return
	}
	e.admitJoining()
	if len(e.admitted) == 0 {
		return
	}
	e.tickScheduled = true
	full := float64(min(len(e.admitted), e.options.Slots)) / float64(e.options.Slots)
	d := float64(e.options.TickTime) * (1 + e.options.FullBatchSlowdown*full) * e.slowdown
	d *= 1 + e.options.Jitter*(2*e.random.Float64()-1)
	e.scheduler.After(time.Duration(d), e.tick)
}

func (e *Engine) admitJoining() {
	joining := e.newJobs
	e.newJobs = nil
	for _, j := range joining {
		j.remainingPrefill = e.prefillTicks(j.PromptID)
		e.admitted = append(e.admitted, j)
	}
	slices.SortStableFunc(e.admitted, func(a, b *Job) int { return cmp.Compare(a.Priority, b.Priority) })
	for _, j := range e.batch() {
		if !j.started && j.OnStart != nil {
			j.OnStart()
		}
		j.started = true
	}
}

// batch is what makes tokens; the rest of the running work is paused and keeps
// its cache.
func (e *Engine) batch() []*Job { return e.admitted[:min(len(e.admitted), e.options.Slots)] }

func (e *Engine) prefillTicks(prompt int) int {
	at := slices.Index(e.prefixCache, prompt)
	if at >= 0 {
		e.prefixCache = slices.Delete(e.prefixCache, at, at+1)
	}
	e.prefixCache = append(e.prefixCache, prompt)
	if len(e.prefixCache) > e.options.PrefixCacheSize {
		e.prefixCache = e.prefixCache[1:]
	}
	if at >= 0 {
		return 0
	}
	return e.options.PrefillTicks
}

func (e *Engine) tick() {
	e.tickScheduled = false
	var ended []*Job
	for _, j := range slices.Clone(e.batch()) {
		if j.remainingPrefill > 0 {
			j.remainingPrefill--
			continue
		}
		j.generatedTokens++
		e.generatedTokens++
		if v := e.versions[j.Model]; len(j.versions) == 0 || j.versions[len(j.versions)-1] != v {
			j.versions = append(j.versions, v)
		}
		if j.OnToken != nil {
			j.OnToken()
		}
		if j.generatedTokens >= j.Tokens {
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		e.remove(j)
		if j.OnEnd != nil {
			j.OnEnd()
		}
	}
	e.scheduleTick()
}
