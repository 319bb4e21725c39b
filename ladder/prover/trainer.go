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

// TakenSample is a sample that the trainer took.
type TakenSample struct {
	sample deliverer.Sample
	// version is the trainer's when it took the sample.
	version identifier.WeightVersion
	// tokens is the length of a whole sample.
	tokens int
}

// groupOf asks for samples of one prompt.
func groupOf(name string, samples, tokens int) deliverer.Group {
	return deliverer.Group{
		ID: identifier.GroupID(name), Samples: samples,
		Body: faker.Prompt{Prompt: name, MaxTokens: tokens}.Body(),
	}
}

// trainer is a trainer that uses the library's own client.
type trainer struct {
	world   *Simulation
	fetcher *fetcher.Fetcher
	version identifier.WeightVersion
	// tokens is the length of each group's samples.
	tokens map[identifier.GroupID]int
}

func (w *Simulation) newTrainer(version identifier.WeightVersion) *trainer {
	var entries []fetcher.Entry
	for _, name := range entryNames {
		var e fetcher.Entry = &trainerEntry{world: w, name: name}
		if w.hooks.Entry != nil {
			e = w.hooks.Entry(e)
		}
		entries = append(entries, e)
	}
	options := fetcher.Options{Model: model, BatchLimit: 8, RetryDelay: 200 * time.Millisecond}
	return &trainer{
		world: w, fetcher: fetcher.New(w.clock, entries, options), version: version,
		tokens: make(map[identifier.GroupID]int),
	}
}

// trainTimeout is enough for a step under two faults.
const trainTimeout = 4 * time.Minute

// step asks for the groups and takes every sample of them.
func (t *trainer) step(groups ...deliverer.Group) {
	w := t.world
	ctx, cancel := context.WithTimeout(w.ctx, trainTimeout)
	defer cancel()
	for _, g := range groups {
		w.mutex.Lock()
		w.wanted += g.Samples
		w.mutex.Unlock()
		var p faker.Prompt
		if err := json.Unmarshal(g.Body, &p); err != nil {
			w.violate(promiseHarness, "group %s: %v", g.ID, err)
		}
		t.tokens[g.ID] = p.MaxTokens
	}
	_ = t.fetcher.Submit(ctx, groups)
	for t.fetcher.Missing() > 0 {
		sample, err := t.fetcher.Next(ctx, t.version)
		if err != nil {
			w.unserved(promiseOnce, "%d samples are still missing after %s", t.fetcher.Missing(), trainTimeout)
			return
		}
		w.mutex.Lock()
		w.taken = append(w.taken, TakenSample{sample: sample, version: t.version, tokens: t.tokens[sample.Group]})
		w.mutex.Unlock()
	}
}

// announce makes the next version and tells of it.
func (t *trainer) announce() {
	t.version++
	ctx, cancel := context.WithTimeout(t.world.ctx, trainTimeout)
	defer cancel()
	if err := t.fetcher.Announce(ctx, t.version); err != nil {
		t.world.unserved(promiseFinal, "version %d can't be announced: %v", t.version, err)
	}
}

// trainerEntry is an entry's HTTP side towards the trainer.
type trainerEntry struct {
	world *Simulation
	name  string
}

// callTimeout bounds a trainer's call, as the HTTP client does.
const callTimeout = fetcher.LongPollTimeout + 5*time.Second

func (t *trainerEntry) do(ctx context.Context, call string, act func(ctx context.Context, e *entry, p deliverer.ModelConfig) error) error {
	w := t.world
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := injector.Call{Port: t.name, Name: call, Kinds: injector.ExternalKinds(), RefusedError: errNoEntry, LostError: errAnswerLost}
	return w.outside.Do(ctx, c, func(ctx context.Context) error {
		return w.enter(ctx, t.name, func(ctx context.Context, e *entry) error {
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
