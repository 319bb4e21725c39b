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

// The promises, as the table names them.
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

// Promises lists every promise that is checked.
var Promises = []string{
	promiseLabels, promiseStaleness, promiseOnce, promiseWhole, promiseNotRun,
	promiseAtMostOnce, promiseLeaving, promiseStops, promiseConfiguration, promiseFinal, promiseRecovery,
}

// check looks at the whole world from outside, after everything has settled.
func (w *Simulation) check() {
	w.checkSamples()
	w.checkAnswers()
	w.checkNotRun()
	w.checkAtMostOnce()
	w.checkLeaving()
	w.checkStops()
	w.checkConfiguration()
}

// checkRecovery: once the faults are over, every entry that runs serves every
// service again. A fault that happens only now is no part of it.
func (w *Simulation) checkRecovery() {
	fired := len(w.injector.Fired())
	for _, name := range entryNames {
		if w.entry(name).stopping.Load() {
			continue
		}
		var asks []ask
		if len(w.options.Engines) > 0 {
			asks = append(asks, advice("recovered-"+name, 5), unstreamed("recovered-unstreamed-"+name, 5))
		}
		if w.options.PlainTargets > 0 {
			asks = append(asks, reservation("recovered-plain-"+name))
		}
		for _, a := range asks {
			o := w.send(name, a)
			if _, ok := o.(dispatcher.Completed); ok || len(w.injector.Fired()) != fired {
				continue
			}
			if r, ok := o.(dispatcher.NotRun); w.nothingKnown() && (!ok || r.Code != dispatcher.Code(authorizer.RefusalNotReady)) {
				w.violate(promiseRecovery, "%s at %s, which knows nothing: %+v", a.call, name, o)
			}
			w.unserved(promiseRecovery, "%s at %s after the faults: %+v", a.call, name, o)
		}
	}
}

// token is one token as the fake engine writes it.
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
			return nil, fmt.Errorf("token %q is no token", word)
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

// wholeText returns the tokens of an engine's answer, or what is wrong: it
// must be the whole of one run of the prompt.
func wholeText(text, prompt string, want int) ([]token, error) {
	tokens, err := parseTokens(text)
	if err != nil {
		return nil, err
	}
	if len(tokens) != want {
		return nil, fmt.Errorf("%d tokens, want %d", len(tokens), want)
	}
	for n, t := range tokens {
		if t.prompt != prompt || t.run != tokens[0].run || t.n != n {
			return nil, fmt.Errorf("token %d is %v", n, t)
		}
	}
	return tokens, nil
}

func (w *Simulation) checkSamples() {
	runs := w.ledger.Runs()
	seen := make(map[identifier.SampleID]bool)
	for _, t := range w.taken {
		if seen[t.sample.ID] {
			w.violate(promiseOnce, "sample %s was taken twice", t.sample.ID)
		}
		seen[t.sample.ID] = true
		tokens, err := wholeText(t.sample.Text, string(t.sample.Group), t.tokens)
		if err != nil {
			w.violate(promiseWhole, "sample %s: %v", t.sample.ID, err)
			continue
		}
		w.checkLabels(t, runs[tokens[0].run].Versions)
	}
	if len(seen) != w.wanted {
		w.unserved(promiseOnce, "%d samples were taken, %d asked for", len(seen), w.wanted)
	}
}

// checkLabels compares a sample's spans with the engine's own account.
func (w *Simulation) checkLabels(t TakenSample, truth []identifier.WeightVersion) {
	next := identifier.TokenCount(0)
	for _, s := range t.sample.Spans {
		if s.From != next || s.To <= s.From || int(s.To) > len(truth) {
			w.violate(promiseLabels, "sample %s has spans %v for %d tokens", t.sample.ID, t.sample.Spans, t.tokens)
			return
		}
		for n := s.From; n < s.To; n++ {
			if truth[n] != s.Version {
				w.violate(promiseLabels, "sample %s: token %d is labelled %d, version %d made it", t.sample.ID, n, s.Version, truth[n])
				return
			}
		}
		next = s.To
	}
	if int(next) != t.tokens {
		w.violate(promiseLabels, "sample %s has spans %v for %d tokens", t.sample.ID, t.sample.Spans, t.tokens)
	}
	for n, v := range truth[:t.tokens] {
		if uint64(t.version) > uint64(v)+w.options.StalenessBound {
			w.violate(promiseStaleness, "sample %s: token %d is of version %d, the trainer at %d, the bound %d", t.sample.ID, n, v, t.version, w.options.StalenessBound)
			return
		}
	}
}

func (w *Simulation) checkAnswers() {
	for _, s := range w.sent {
		c, ok := s.outcome.(dispatcher.Completed)
		if !ok {
			continue
		}
		if c.Checksum != xxhash.Sum64(c.Body) || s.stream && string(s.streamed) != string(c.Body) {
			w.violate(promiseWhole, "%s at %s: streamed %d bytes of %d, checksum %x", s.subject, s.entry, len(s.streamed), len(c.Body), c.Checksum)
		}
		if s.service == plainService {
			if string(c.Body) != faker.AnswerOf(s.body) {
				w.violate(promiseWhole, "%s at %s was answered %q", s.subject, s.entry, c.Body)
			}
			continue
		}
		if _, err := wholeText(string(c.Body), s.subject, s.tokens); err != nil {
			w.violate(promiseWhole, "%s at %s: %v", s.subject, s.entry, err)
		}
	}
}

// checkNotRun: a subject of which every answer was not-run has never run. If
// it was sent again, it had not run when the first answer came.
func (w *Simulation) checkNotRun() {
	others := make(map[string]bool)
	for _, s := range w.sent {
		if _, notRun := s.outcome.(dispatcher.NotRun); !notRun {
			others[s.subject] = true
		}
	}
	for _, s := range w.sent {
		if _, notRun := s.outcome.(dispatcher.NotRun); !notRun {
			continue
		}
		if n := w.ledger.Count(s.subject); n > 0 && !others[s.subject] {
			w.violate(promiseNotRun, "%s at %s was called not run, and ran %d times", s.subject, s.entry, n)
		}
		if s.runs > 0 && w.firstOf(s) {
			w.violate(promiseNotRun, "%s at %s was called not run after it had run", s.subject, s.entry)
		}
	}
}

// firstOf says whether no other call of the subject began before s ended.
func (w *Simulation) firstOf(s SentCall) bool {
	for _, other := range w.sent {
		if other.subject == s.subject && other.began != s.began && other.began.Before(s.ended) {
			return false
		}
	}
	return true
}

func (w *Simulation) checkAtMostOnce() {
	for _, s := range w.sent {
		if n := w.ledger.Count(s.subject); s.call == callReserve && n > 1 {
			w.violate(promiseAtMostOnce, "%s ran %d times", s.subject, n)
		}
	}
}

// leaveGrace is the few seconds after which a leaving target gets no work.
const leaveGrace = 4 * time.Second

func (w *Simulation) checkLeaving() {
	asked := make(map[string]time.Time)
	for _, s := range w.sent {
		asked[s.subject] = s.began
	}
	for _, r := range w.ledger.Runs() {
		since, ok := w.leaving[r.Target]
		if !ok || r.At.Sub(since) <= leaveGrace {
			continue
		}
		// Work handed over before may still wait in the slow or paused call.
		began, known := asked[r.Subject]
		late := w.faulted("sidecar-"+string(r.Target)+".target.", injector.Slow, injector.Paused, injector.PausedBriefly)
		if known && began.Sub(since) > leaveGrace || !known && !late {
			w.violate(promiseLeaving, "%s was started at %s %s after it began to leave", r.Subject, r.Target, r.At.Sub(since))
		}
	}
}

// checkStops: a call during a planned stop may only be cut by a fault that
// cuts calls by itself.
func (w *Simulation) checkStops() {
	for _, f := range w.injector.Fired() {
		switch f.Kind {
		case injector.KilledBefore, injector.KilledAfter, injector.Paused:
			return
		case injector.Refused, injector.AnswerLost, injector.Slow, injector.PausedBriefly, injector.Silent, injector.TargetCrashed:
		}
		if strings.Contains(f.Step, ".target.") || strings.HasPrefix(f.Step, "outside.") {
			return
		}
	}
	for _, s := range w.sent {
		if !s.stopping {
			continue
		}
		if _, unknown := s.outcome.(dispatcher.Unknown); unknown || s.outcome == nil {
			w.violate(promiseStops, "%s at %s was cut off: %+v", s.subject, s.entry, s.outcome)
		}
	}
}

// checkConfiguration: what an operator was told is what is in force, and by
// now everywhere.
func (w *Simulation) checkConfiguration() {
	var newest identifier.Revision
	for revision := range w.inForce {
		newest = max(newest, revision)
	}
	for _, a := range w.accepted {
		if d, seen := w.inForce[a.revision]; a.revision > newest || seen && d != a.document {
			w.violate(promiseConfiguration, "%s was accepted as revision %d, in force is %s", a.document, a.revision, w.inForce[a.revision])
		}
	}
	for name, e := range w.entries {
		if s, _ := e.coordinator.Follower().State(); !e.stopping.Load() && s.Revision != newest {
			w.unserved(promiseConfiguration, "%s has revision %d, the newest is %d", name, s.Revision, newest)
		}
	}
	for name, s := range w.sidecars {
		if _, leaving := w.leaving[s.target]; leaving {
			continue
		}
		if r := s.supervisor.Executor().Configuration().Revision; r != newest {
			w.unserved(promiseConfiguration, "%s has revision %d, the newest is %d", name, r, newest)
		}
	}
}
