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
)

func (r *Receiver) open(c fiber.Ctx) error {
	var o deliverer.OpenRequest
	return r.withPlan(c, &o, func() identifier.ModelName { return o.Model }, func(p deliverer.ModelConfig) (any, error) {
		return struct{}{}, r.coordinator.Deliverer().Open(o, p)
	})
}

func (r *Receiver) submit(c fiber.Ctx) error {
	var s deliverer.SubmitRequest
	return r.withPlan(c, &s, func() identifier.ModelName { return s.Model }, func(deliverer.ModelConfig) (any, error) {
		return struct{}{}, r.coordinator.Deliverer().Submit(s)
	})
}

func (r *Receiver) fetch(c fiber.Ctx) error {
	var f deliverer.FetchRequest
	return r.withPlan(c, &f, func() identifier.ModelName { return f.Model }, func(deliverer.ModelConfig) (any, error) {
		ctx, cancel := context.WithTimeout(r.ctx, fetcher.LongPollTimeout)
		defer cancel()
		return r.coordinator.Deliverer().Fetch(ctx, f)
	})
}

func (r *Receiver) announce(c fiber.Ctx) error {
	var a deliverer.AnnounceRequest
	return r.withPlan(c, &a, func() identifier.ModelName { return a.Model }, func(deliverer.ModelConfig) (any, error) {
		r.coordinator.AnnounceWeights(a)
		return struct{}{}, nil
	})
}

// withPlan reads a trainer's call into v, checks that the caller trains the
// model, and answers with what act returns.
func (r *Receiver) withPlan(c fiber.Ctx, v any, model func() identifier.ModelName, act func(deliverer.ModelConfig) (any, error)) error {
	if err := json.Unmarshal(c.Body(), v); err != nil {
		return fail(c, "", dispatcher.NotRun{Code: codeBodyMalformed})
	}
	p, refusal := r.coordinator.TrainerPlan(bearer(c), model())
	if refusal != authorizer.RefusalNone {
		return fail(c, "", dispatcher.NotRun{Code: dispatcher.Code(refusal)})
	}
	answer, err := act(p)
	if errors.Is(err, deliverer.ErrSuperseded) {
		return c.Status(fiber.StatusConflict).JSON(Failure{Code: "session-superseded", Outcome: "not-run"})
	}
	if err != nil {
		return err
	}
	return c.JSON(answer)
}
