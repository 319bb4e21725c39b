package receiver

import (
	"context"
	"encoding/json"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/server"
)

func (r *Receiver) open(c fiber.Ctx) error {
	var o deliverer.OpenRequest
	return r.withModelConfig(c, &o, func() identifier.ModelName { return o.Model }, func(config deliverer.ModelConfig) (any, error) {
		return struct{}{}, r.coordinator.Deliverer().Open(o, config)
	})
}

func (r *Receiver) submit(c fiber.Ctx) error {
	var s deliverer.SubmitRequest
	return r.withModelConfig(c, &s, func() identifier.ModelName { return s.Model }, func(deliverer.ModelConfig) (any, error) {
		return struct{}{}, r.coordinator.Deliverer().Submit(s)
	})
}

func (r *Receiver) fetch(c fiber.Ctx) error {
	var f deliverer.FetchRequest
	return r.withModelConfig(c, &f, func() identifier.ModelName { return f.Model }, func(deliverer.ModelConfig) (any, error) {
		ctx, cancel := context.WithTimeout(r.ctx, fetcher.LongPollTimeout)
		defer cancel()
		return r.coordinator.Deliverer().Fetch(ctx, f)
	})
}

func (r *Receiver) announce(c fiber.Ctx) error {
	var a deliverer.AnnounceRequest
	return r.withModelConfig(c, &a, func() identifier.ModelName { return a.Model }, func(deliverer.ModelConfig) (any, error) {
		r.coordinator.AnnounceWeights(a)
		return struct{}{}, nil
	})
}

// withModelConfig decodes a trainer's request into v, checks that the caller is
// the model's trainer, and responds with what handle returns.
func (r *Receiver) withModelConfig(c fiber.Ctx, v any, model func() identifier.ModelName, handle func(deliverer.ModelConfig) (any, error)) error {
	if err := json.Unmarshal(server.Body(c), v); err != nil {
		return writeFailure(c, "", dispatcher.NotRun{Code: codeBodyMalformed})
	}
	config, refusal := r.coordinator.TrainerPlan(bearerKey(c), model())
	if refusal != authorizer.RefusalNone {
		return writeFailure(c, "", dispatcher.NotRun{Code: dispatcher.Code(refusal)})
	}
	response, err := handle(config)
	if errors.Is(err, deliverer.ErrSuperseded) {
		return c.Status(fiber.StatusConflict).JSON(Failure{Code: "session-superseded", Outcome: "not-run"})
	}
	if err != nil {
		return err
	}
	return c.JSON(response)
}
