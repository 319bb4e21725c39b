package prover

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// TakenSample is a sample that the trainer received.
type TakenSample struct {
	sample deliverer.Sample
	// version is the trainer's version when it received the sample.
	version identifier.WeightVersion
	// tokens is the length of a complete sample.
	tokens int
}

// groupOf returns a request for samples of one prompt.
func groupOf(name string, samples, tokens int) deliverer.Group {
	return deliverer.Group{
		ID: identifier.GroupID(name), Samples: samples,
		Body: faker.Prompt{Prompt: name, MaxTokens: tokens}.Body(),
	}
}

// trainer is a trainer that uses the client of package fetcher.
type trainer struct {
	sim     *Simulation
	fetcher *fetcher.Fetcher
	version identifier.WeightVersion
	// tokens is the length of each group's samples.
	tokens map[identifier.GroupID]int
}

func (sim *Simulation) newTrainer(version identifier.WeightVersion) *trainer {
	var entries []fetcher.Entry
	for _, name := range entryNames {
		var e fetcher.Entry = &trainerEntry{sim: sim, name: name}
		if sim.hooks.Entry != nil {
			e = sim.hooks.Entry(e)
		}
		entries = append(entries, e)
	}
	options := fetcher.Options{Model: model, BatchLimit: 8, RetryDelay: 200 * time.Millisecond}
	return &trainer{
		sim: sim, fetcher: fetcher.New(sim.clock, entries, options), version: version,
		tokens: make(map[identifier.GroupID]int),
	}
}

// trainTimeout is enough for a training step under two faults.
const trainTimeout = 4 * time.Minute

// step requests the groups and receives all their samples.
func (t *trainer) step(groups ...deliverer.Group) {
	sim := t.sim
	ctx, cancel := context.WithTimeout(sim.ctx, trainTimeout)
	defer cancel()
	for _, g := range groups {
		sim.mutex.Lock()
		sim.samplesRequested += g.Samples
		sim.mutex.Unlock()
		var p faker.Prompt
		if err := json.Unmarshal(g.Body, &p); err != nil {
			sim.reportViolation(promiseHarness, "group %s: %v", g.ID, err)
		}
		t.tokens[g.ID] = p.MaxTokens
	}
	_ = t.fetcher.Submit(ctx, groups)
	for t.fetcher.Missing() > 0 {
		sample, err := t.fetcher.Next(ctx, t.version)
		if err != nil {
			sim.reportUnserved(promiseOnce, "%d samples are missing after %s", t.fetcher.Missing(), trainTimeout)
			return
		}
		sim.mutex.Lock()
		sim.takenSamples = append(sim.takenSamples, TakenSample{sample: sample, version: t.version, tokens: t.tokens[sample.Group]})
		sim.mutex.Unlock()
	}
}

// announce announces the next weight version to the entries.
func (t *trainer) announce() {
	t.version++
	ctx, cancel := context.WithTimeout(t.sim.ctx, trainTimeout)
	defer cancel()
	if err := t.fetcher.Announce(ctx, t.version); err != nil {
		t.sim.reportUnserved(promiseFinal, "announce version %d: %v", t.version, err)
	}
}

// trainerEntry replaces the HTTP client through which a trainer calls an entry.
type trainerEntry struct {
	sim  *Simulation
	name string
}

// callTimeout bounds a trainer's call in place of the HTTP client's time-out.
const callTimeout = fetcher.LongPollTimeout + 5*time.Second

func (t *trainerEntry) do(ctx context.Context, call string, act func(ctx context.Context, e *entry, p deliverer.ModelConfig) error) error {
	sim := t.sim
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := injector.Call{Port: t.name, Name: call, Kinds: injector.ExternalKinds(), RefusedError: errEntryUnreachable, LostError: errAnswerLost}
	return sim.outside.Do(ctx, c, func(ctx context.Context) error {
		return sim.withEntry(ctx, t.name, func(ctx context.Context, e *entry) error {
			p, refusal := e.coordinator.TrainerPlan(trainerKey, model)
			if refusal != authorizer.RefusalNone {
				return errors.Errorf("refused: %s", refusal)
			}
			return act(ctx, e, p)
		})
	})
}

// Open implements fetcher.Entry.
func (t *trainerEntry) Open(ctx context.Context, o deliverer.OpenRequest) error {
	return t.do(ctx, "open", func(_ context.Context, e *entry, p deliverer.ModelConfig) error {
		return e.coordinator.Deliverer().Open(o, p)
	})
}

// Submit implements fetcher.Entry.
func (t *trainerEntry) Submit(ctx context.Context, s deliverer.SubmitRequest) error {
	return t.do(ctx, "submit", func(_ context.Context, e *entry, _ deliverer.ModelConfig) error {
		return e.coordinator.Deliverer().Submit(s)
	})
}

// Fetch implements fetcher.Entry.
func (t *trainerEntry) Fetch(ctx context.Context, f deliverer.FetchRequest) (deliverer.Batch, error) {
	answer := make(chan deliverer.Batch, 1)
	err := t.do(ctx, "fetch", func(ctx context.Context, e *entry, _ deliverer.ModelConfig) error {
		bounded, cancel := context.WithTimeout(ctx, fetcher.LongPollTimeout)
		defer cancel()
		b, err := e.coordinator.Deliverer().Fetch(bounded, f)
		answer <- b
		return err
	})
	if err != nil {
		return deliverer.Batch{}, err
	}
	return <-answer, nil
}

// Announce implements fetcher.Entry.
func (t *trainerEntry) Announce(ctx context.Context, a deliverer.AnnounceRequest) error {
	return t.do(ctx, "announce", func(_ context.Context, e *entry, _ deliverer.ModelConfig) error {
		e.coordinator.AnnounceWeights(a)
		return nil
	})
}
