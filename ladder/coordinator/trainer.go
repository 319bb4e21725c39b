package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// RefusalNotTrainer means that the team is not the trainer of the model.
const RefusalNotTrainer authorizer.Refusal = "team-not-trainer"

// TrainerPlan returns the configuration of a trainer's model, or the refusal.
func (c *Coordinator) TrainerPlan(key string, m identifier.ModelName) (deliverer.ModelConfig, authorizer.Refusal) {
	index := c.index()
	t, refusal := index.AuthenticateTeam(key)
	if refusal != authorizer.RefusalNone {
		return deliverer.ModelConfig{}, refusal
	}
	model, ok := index.Document().ModelByName(m)
	if !ok || model.Trainer != t.Name {
		return deliverer.ModelConfig{}, RefusalNotTrainer
	}
	s, ok := serviceOfModel(index.Document(), m)
	if !ok {
		return deliverer.ModelConfig{}, authorizer.RefusalUnknownService
	}
	if _, refusal := index.AuthorizeService(t.Name, s.Name, c.clock.Now()); refusal != authorizer.RefusalNone {
		return deliverer.ModelConfig{}, refusal
	}
	return deliverer.ModelConfig{
		Team: t.Name, Model: m, Service: s.Name, Scorer: model.Scorer, StalenessBound: model.StalenessBound,
		MaxInProgress: t.InFlightLimit, AttemptTimeout: c.options.SampleTimeout,
	}, authorizer.RefusalNone
}

func serviceOfModel(d *validator.Document, m identifier.ModelName) (validator.Service, bool) {
	for _, s := range d.Services {
		if s.Model == m {
			return s, true
		}
	}
	return validator.Service{}, false
}

// Deliverer returns the manager of trainer sessions.
func (c *Coordinator) Deliverer() *deliverer.Deliverer { return c.deliverer }

// AnnounceWeights handles a trainer's announcement of new weights.
func (c *Coordinator) AnnounceWeights(a deliverer.AnnounceRequest) {
	c.goals.Learn([]messenger.WeightGoal{{Model: a.Model, Version: a.Version}})
}

// generator generates samples through the dispatcher.
type generator struct{ coordinator *Coordinator }

// Generate implements deliverer.Generator.
func (g *generator) Generate(ctx context.Context, r dispatcher.Request) dispatcher.Outcome {
	c := g.coordinator
	start := c.clock.Now()
	o := c.dispatcher.Dispatch(ctx, r)
	c.recordTimes(r.Team, r.Class, start, o)
	return c.countOutcome(o)
}

// Locate implements deliverer.Generator.
func (g *generator) Locate(ctx context.Context, service identifier.ServiceName, samples []identifier.SampleID) map[identifier.SampleID]dispatcher.SampleLocation {
	return g.coordinator.dispatcher.Locate(ctx, service, samples)
}

// TakeOver implements deliverer.Generator.
func (g *generator) TakeOver(ctx context.Context, r dispatcher.Request, at dispatcher.SampleLocation) dispatcher.Outcome {
	return g.coordinator.dispatcher.TakeOver(ctx, r, at)
}

// scoreTimeout bounds the scoring of one sample.
const scoreTimeout = 10 * time.Second

// Score implements deliverer.Generator. Scoring is idempotent.
func (g *generator) Score(ctx context.Context, p deliverer.ModelConfig, sample identifier.SampleID, text string) (reward *float64, err error) {
	if p.Scorer == "" {
		return nil, nil
	}
	c := g.coordinator
	body, err := json.Marshal(struct {
		Sample identifier.SampleID `json:"sample-id"`
		Text   string              `json:"text"`
	}{sample, text})
	if err != nil {
		return nil, err
	}
	o := c.dispatcher.Dispatch(ctx, dispatcher.Request{
		ID: identifier.NewRequestID(), Team: p.Team, Class: identifier.ClassRollout, Service: p.Scorer,
		Call: "score", Body: body, Idempotent: true, Deadline: c.clock.Now().Add(scoreTimeout),
	})
	completed, ok := o.(dispatcher.Completed)
	if !ok || completed.Status != 200 {
		return nil, errors.Errorf("score of %s: %+v", sample, o)
	}
	var answer struct {
		Reward float64 `json:"reward"`
	}
	if err := json.Unmarshal(completed.Body, &answer); err != nil {
		return nil, errors.Wrapf(err, "score of %s", sample)
	}
	return &answer.Reward, nil
}
