// Package engine simulates a model engine in virtual time, with the properties
// that affect routing, queueing and weight switches.
package engine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/measurer/scheduler"
)

// Batching is continuous: jobs join and leave the batch between two ticks, and
// in each tick every job in the batch generates one token. A fuller batch has
// longer ticks. Jobs beyond the number of slots are paused, those of the lowest
// priority first. A prompt that is not in the prefix cache takes some ticks of
// prefill before its first token.

// Options set the size and the speed of an engine.
type Options struct {
	// TickTime is the duration of a tick with an almost empty batch.
	TickTime time.Duration
	// FullBatchSlowdown is the fraction by which a full batch lengthens a tick.
	FullBatchSlowdown float64
	Slots             int
	// PrefillTicks is the number of ticks for the prefill of a prompt that is
	// not cached.
	PrefillTicks int
	// Jitter is the largest fraction by which a tick is shorter or longer than
	// usual.
	Jitter float64
	// PrefixCacheSize is the number of prompts that the prefix cache holds.
	PrefixCacheSize int
}

// Job is one request to generate tokens.
type Job struct {
	Tokens   int
	PromptID int
	// Model is the model that generates the tokens.
	Model identifier.ModelName
	// Priority orders jobs; a smaller value is served sooner.
	Priority int
	// OnStart, OnToken and OnEnd are called when the job first enters the
	// batch, at each token and after the last token. Each may be nil.
	OnStart func()
	OnToken func()
	OnEnd   func()

	started          bool
	remainingPrefill int
	generatedTokens  int
	// versions lists the weight versions that generated tokens, without
	// consecutive repeats.
	versions []identifier.WeightVersion
}

// GeneratedTokens returns the number of tokens generated so far.
func (j *Job) GeneratedTokens() int { return j.generatedTokens }

// OldestVersion returns the oldest weight version that generated a token, or 0
// if there is no token.
func (j *Job) OldestVersion() identifier.WeightVersion {
	if len(j.versions) == 0 {
		return 0
	}
	return j.versions[0]
}

// Engine is a simulated model engine.
type Engine struct {
	scheduler *scheduler.Scheduler
	random    *rand.Rand
	options   Options
	admitted  []*Job
	newJobs   []*Job
	// prefixCache holds the cached prompts, the most recently used last.
	prefixCache   []int
	slowdown      float64
	tickScheduled bool
	paused        bool
	// versions holds the weight version in use for each model.
	versions map[identifier.ModelName]identifier.WeightVersion
	// generatedTokens counts the tokens of all jobs, including discarded ones.
	generatedTokens int
	// discardedTokens counts the tokens of jobs that were removed or restarted.
	discardedTokens int
}

// New returns an idle engine.
func New(t *scheduler.Scheduler, random *rand.Rand, options Options) *Engine {
	return &Engine{scheduler: t, random: random, options: options, slowdown: 1, versions: make(map[identifier.ModelName]identifier.WeightVersion)}
}

// SetSlowdown multiplies the duration of later ticks by factor.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// GeneratedTokens returns the number of tokens generated for all jobs,
// including discarded ones.
func (e *Engine) GeneratedTokens() int { return e.generatedTokens }

// JobCount returns the number of jobs, including paused ones and those that
// join at the next tick.
func (e *Engine) JobCount() int { return len(e.admitted) + len(e.newJobs) }

// DiscardedTokens returns the number of tokens of jobs that were removed or
// restarted.
func (e *Engine) DiscardedTokens() int { return e.discardedTokens }

// RestartModel discards the tokens of all jobs of a model and starts them
// again.
func (e *Engine) RestartModel(model identifier.ModelName) {
	for _, j := range e.admitted {
		if j.Model == model {
			e.discardedTokens += j.generatedTokens
			j.generatedTokens, j.versions = 0, nil
		}
	}
}

// SwitchVersion pauses the engine for d, then sets the weight version of the
// model and calls done.
func (e *Engine) SwitchVersion(model identifier.ModelName, version identifier.WeightVersion, d time.Duration, done func()) {
	e.paused = true
	e.scheduler.After(d, func() {
		e.paused = false
		e.versions[model] = version
		e.scheduleTick()
		done()
	})
}

// Add adds the job to the batch at the next tick.
func (e *Engine) Add(j *Job) {
	e.newJobs = append(e.newJobs, j)
	e.scheduleTick()
}

// Remove cancels a job, whether it has started or not, and counts its tokens as
// discarded.
func (e *Engine) Remove(j *Job) {
	e.discardedTokens += j.generatedTokens
	e.remove(j)
}

func (e *Engine) remove(j *Job) {
	isJob := func(other *Job) bool { return other == j }
	e.admitted = slices.DeleteFunc(e.admitted, isJob)
	e.newJobs = slices.DeleteFunc(e.newJobs, isJob)
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
	occupancy := float64(min(len(e.admitted), e.options.Slots)) / float64(e.options.Slots)
	d := float64(e.options.TickTime) * (1 + e.options.FullBatchSlowdown*occupancy) * e.slowdown
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

// batch returns the jobs that generate tokens. The remaining admitted jobs are
// paused and keep their prefill.
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
