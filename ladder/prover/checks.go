package prover

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// The names of the promises in the table.
const (
	promiseHarness       = "harness"
	promiseLabels        = "true-labels"
	promiseStaleness     = "staleness-bound"
	promiseOnce          = "exactly-once"
	promiseWhole         = "whole-own-answer"
	promiseNotRun        = "truthful-not-run"
	promiseAtMostOnce    = "at-most-once"
	promiseLeaving       = "no-work-when-leaving"
	promiseStops         = "stops-cut-nothing"
	promiseConfiguration = "configuration-in-force"
	promiseFinal         = "final-outcome"
	promiseRecovery      = "recovery"
)

// Promises lists every promise that is checked in a run.
var Promises = []string{
	promiseLabels, promiseStaleness, promiseOnce, promiseWhole, promiseNotRun,
	promiseAtMostOnce, promiseLeaving, promiseStops, promiseConfiguration, promiseFinal, promiseRecovery,
}

// check runs every check except checkRecovery. The run must have settled.
func (sim *Simulation) check() {
	sim.checkSamples()
	sim.checkAnswers()
	sim.checkNotRun()
	sim.checkAtMostOnce()
	sim.checkLeaving()
	sim.checkStops()
	sim.checkConfiguration()
}

// checkRecovery checks that every running entry serves every service again once
// the faults are over. A call is not counted if a fault fires only now.
func (sim *Simulation) checkRecovery() {
	fired := len(sim.injector.Fired())
	for _, name := range entryNames {
		if sim.entry(name).stopping.Load() {
			continue
		}
		var calls []clientCall
		if len(sim.options.Engines) > 0 {
			calls = append(calls, generateCall("recovered-"+name, 5), unstreamedGenerateCall("recovered-unstreamed-"+name, 5))
		}
		if sim.options.PlainTargets > 0 {
			calls = append(calls, reserveCall("recovered-plain-"+name))
		}
		for _, a := range calls {
			o := sim.send(name, a)
			if _, ok := o.(dispatcher.Completed); ok || len(sim.injector.Fired()) != fired {
				continue
			}
			if r, ok := o.(dispatcher.NotRun); sim.configurationLost() && (!ok || r.Code != dispatcher.Code(authorizer.RefusalNotReady)) {
				sim.reportViolation(promiseRecovery, "%s at %s, which has no configuration: %+v", a.call, name, o)
			}
			sim.reportUnserved(promiseRecovery, "%s at %s after the faults: %+v", a.call, name, o)
		}
	}
}

// token is a token of the form that faker.Engine writes.
type token struct {
	prompt string
	run    faker.RunNumber
	n      int
}

func parseTokens(text string) ([]token, error) {
	var tokens []token
	for _, word := range strings.Fields(text) {
		parts := strings.Split(word, ":")
		if len(parts) != 3 {
			return nil, fmt.Errorf("token %q: want prompt:run:number", word)
		}
		run, err := strconv.Atoi(parts[1])
		if err != nil {
			return nil, err
		}
		n, err := strconv.Atoi(parts[2])
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, token{prompt: parts[0], run: faker.RunNumber(run), n: n})
	}
	return tokens, nil
}

// parseWholeAnswer returns the tokens of an engine's answer. It returns an error
// unless the answer is the complete text of one run of the prompt.
func parseWholeAnswer(text, prompt string, want int) ([]token, error) {
	tokens, err := parseTokens(text)
	if err != nil {
		return nil, err
	}
	if len(tokens) != want {
		return nil, fmt.Errorf("%d tokens, want %d", len(tokens), want)
	}
	for n, t := range tokens {
		if t.prompt != prompt || t.run != tokens[0].run || t.n != n {
			return nil, fmt.Errorf("token %d is %v, want number %d of prompt %q in run %d", n, t, n, prompt, tokens[0].run)
		}
	}
	return tokens, nil
}

func (sim *Simulation) checkSamples() {
	runs := sim.ledger.Runs()
	seen := make(map[identifier.SampleID]bool)
	for _, t := range sim.takenSamples {
		if seen[t.sample.ID] {
			sim.reportViolation(promiseOnce, "sample %s was received twice", t.sample.ID)
		}
		seen[t.sample.ID] = true
		tokens, err := parseWholeAnswer(t.sample.Text, string(t.sample.Group), t.tokens)
		if err != nil {
			sim.reportViolation(promiseWhole, "sample %s: %v", t.sample.ID, err)
			continue
		}
		sim.checkLabels(t, runs[tokens[0].run].Versions)
	}
	if len(seen) != sim.samplesRequested {
		sim.reportUnserved(promiseOnce, "%d samples were received, %d requested", len(seen), sim.samplesRequested)
	}
}

// checkLabels compares a sample's version labels with the versions that the engine
// recorded, and checks the staleness bound.
func (sim *Simulation) checkLabels(t TakenSample, actual []identifier.WeightVersion) {
	next := identifier.TokenCount(0)
	for _, s := range t.sample.Spans {
		if s.From != next || s.To <= s.From || int(s.To) > len(actual) {
			sim.reportViolation(promiseLabels, "sample %s has spans %v for %d tokens", t.sample.ID, t.sample.Spans, t.tokens)
			return
		}
		for n := s.From; n < s.To; n++ {
			if actual[n] != s.Version {
				sim.reportViolation(promiseLabels, "sample %s: token %d is labeled version %d, was produced by %d", t.sample.ID, n, s.Version, actual[n])
				return
			}
		}
		next = s.To
	}
	if int(next) != t.tokens {
		sim.reportViolation(promiseLabels, "sample %s has spans %v for %d tokens", t.sample.ID, t.sample.Spans, t.tokens)
	}
	for n, v := range actual[:t.tokens] {
		if uint64(t.version) > uint64(v)+sim.options.StalenessBound {
			sim.reportViolation(promiseStaleness, "sample %s: token %d is of version %d, trainer is at %d, bound is %d", t.sample.ID, n, v, t.version, sim.options.StalenessBound)
			return
		}
	}
}

func (sim *Simulation) checkAnswers() {
	for _, s := range sim.sent {
		c, ok := s.outcome.(dispatcher.Completed)
		if !ok {
			continue
		}
		if c.Checksum != xxhash.Sum64(c.Body) || s.stream && string(s.streamed) != string(c.Body) {
			sim.reportViolation(promiseWhole, "%s at %s: streamed %d bytes of %d, checksum %x", s.subject, s.entry, len(s.streamed), len(c.Body), c.Checksum)
		}
		if s.service == plainService {
			if string(c.Body) != faker.AnswerOf(s.body) {
				sim.reportViolation(promiseWhole, "%s at %s was answered %q", s.subject, s.entry, c.Body)
			}
			continue
		}
		if _, err := parseWholeAnswer(string(c.Body), s.subject, s.tokens); err != nil {
			sim.reportViolation(promiseWhole, "%s at %s: %v", s.subject, s.entry, err)
		}
	}
}

// checkNotRun checks that a subject whose every answer was not-run has never run,
// and that a subject that was sent again had not run when the first call was
// answered not-run.
func (sim *Simulation) checkNotRun() {
	otherOutcome := make(map[string]bool)
	for _, s := range sim.sent {
		if _, notRun := s.outcome.(dispatcher.NotRun); !notRun {
			otherOutcome[s.subject] = true
		}
	}
	for _, s := range sim.sent {
		if _, notRun := s.outcome.(dispatcher.NotRun); !notRun {
			continue
		}
		if n := sim.ledger.Count(s.subject); n > 0 && !otherOutcome[s.subject] {
			sim.reportViolation(promiseNotRun, "%s at %s was answered not-run but ran %d times", s.subject, s.entry, n)
		}
		if s.runs > 0 && sim.isFirstCall(s) {
			sim.reportViolation(promiseNotRun, "%s at %s was answered not-run after it had run", s.subject, s.entry)
		}
	}
}

// isFirstCall returns whether no other call of the subject began before s ended.
func (sim *Simulation) isFirstCall(s SentCall) bool {
	for _, other := range sim.sent {
		if other.subject == s.subject && other.began != s.began && other.began.Before(s.ended) {
			return false
		}
	}
	return true
}

func (sim *Simulation) checkAtMostOnce() {
	for _, s := range sim.sent {
		if n := sim.ledger.Count(s.subject); s.call == callReserve && n > 1 {
			sim.reportViolation(promiseAtMostOnce, "%s ran %d times", s.subject, n)
		}
	}
}

// leaveGrace is how long a leaving target may still be given work.
const leaveGrace = 4 * time.Second

func (sim *Simulation) checkLeaving() {
	sentAt := make(map[string]time.Time)
	for _, s := range sim.sent {
		sentAt[s.subject] = s.began
	}
	for _, r := range sim.ledger.Runs() {
		since, ok := sim.leaving[r.Target]
		if !ok || r.At.Sub(since) <= leaveGrace {
			continue
		}
		// Work that was dispatched before may be delayed by a slow call to the target
		// or a pause of the sidecar.
		began, known := sentAt[r.Subject]
		delayed := sim.faultFired("sidecar-"+string(r.Target)+".target.", injector.Slow, injector.Paused, injector.PausedBriefly)
		if known && began.Sub(since) > leaveGrace || !known && !delayed {
			sim.reportViolation(promiseLeaving, "%s began at %s %s after that target began to leave", r.Subject, r.Target, r.At.Sub(since))
		}
	}
}

// checkStops checks that no call was interrupted by a planned stop. It is skipped
// after faults that interrupt calls by themselves.
func (sim *Simulation) checkStops() {
	for _, f := range sim.injector.Fired() {
		switch f.Kind {
		case injector.KilledBefore, injector.KilledAfter, injector.Paused:
			return
		case injector.Refused, injector.AnswerLost, injector.Slow, injector.PausedBriefly, injector.Silent, injector.TargetCrashed:
		}
		if strings.Contains(f.Step, ".target.") || strings.HasPrefix(f.Step, "outside.") {
			return
		}
	}
	for _, s := range sim.sent {
		if !s.duringStop {
			continue
		}
		if _, unknown := s.outcome.(dispatcher.Unknown); unknown || s.outcome == nil {
			sim.reportViolation(promiseStops, "%s at %s was interrupted: %+v", s.subject, s.entry, s.outcome)
		}
	}
}

// checkConfiguration checks that every accepted document is in force under its
// revision, and that all processes have the newest revision.
func (sim *Simulation) checkConfiguration() {
	var newest identifier.Revision
	for revision := range sim.documents {
		newest = max(newest, revision)
	}
	for _, a := range sim.accepted {
		if d, seen := sim.documents[a.revision]; a.revision > newest || seen && d != a.document {
			sim.reportViolation(promiseConfiguration, "%s was accepted as revision %d, but %s is in force under it", a.document, a.revision, sim.documents[a.revision])
		}
	}
	for name, e := range sim.entries {
		if s, _ := e.coordinator.Follower().State(); !e.stopping.Load() && s.Revision != newest {
			sim.reportUnserved(promiseConfiguration, "%s has revision %d, the newest is %d", name, s.Revision, newest)
		}
	}
	for name, s := range sim.sidecars {
		if _, leaving := sim.leaving[s.target]; leaving {
			continue
		}
		if r := s.supervisor.Executor().Configuration().Revision; r != newest {
			sim.reportUnserved(promiseConfiguration, "%s has revision %d, the newest is %d", name, r, newest)
		}
	}
}
