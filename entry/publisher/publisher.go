// Package publisher is the HTTP side of an entry towards operators.
package publisher

import (
	"context"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const (
	// bodyLimit bounds a document.
	bodyLimit = 8 << 20
	// publishTimeout bounds the wait for a verdict.
	publishTimeout = 8 * time.Second
	// startTimeout bounds the wait of an entry that has just started.
	startTimeout = 5 * time.Second
	// retryAfterSeconds is asked while the log is down.
	retryAfterSeconds = "5"
)

// Result answers a publication.
type Result struct {
	// Verdict is accepted, conflict, invalid or undecided.
	Verdict  string              `json:"verdict"`
	Revision identifier.Revision `json:"revision,omitempty"`
	Faults   validator.Faults    `json:"faults,omitempty"`
	Reason   string              `json:"reason,omitempty"`
}

// New returns the operators' application.
func New(c *coordinator.Coordinator) *fiber.App {
	p := &publisher{coordinator: c}
	app := server.NewApp("operators", bodyLimit)
	app.Get("/debug/vars", server.Metrics)
	app.Use(p.authorize)
	app.Get("/v1/document", p.document)
	app.Post("/v1/documents", p.publish)
	app.Get("/v1/status", func(x fiber.Ctx) error { return x.JSON(c.Status()) })
	return app
}

type publisher struct{ coordinator *coordinator.Coordinator }

func (p *publisher) authorize(c fiber.Ctx) error {
	state, inForce := p.coordinator.Follower().State()
	if !inForce && c.Method() == fiber.MethodPost {
		// Who may publish isn't known here yet.
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		state, inForce = p.coordinator.Follower().Wait(ctx)
	}
	if !inForce && c.Method() == fiber.MethodPost {
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
		return c.Status(fiber.StatusServiceUnavailable).JSON(Result{Verdict: "refused", Reason: "configuration in force not known yet"})
	}
	key, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if _, refusal := authorizer.Operator(state.Document, key); refusal != authorizer.RefusalNone {
		return c.Status(fiber.StatusUnauthorized).JSON(Result{Verdict: "refused", Reason: string(refusal)})
	}
	return c.Next()
}

func (p *publisher) document(c fiber.Ctx) error {
	state, _ := p.coordinator.Follower().State()
	if state.Document == nil {
		return c.Status(fiber.StatusNotFound).JSON(Result{Verdict: "none", Reason: "no document is in force"})
	}
	return c.JSON(struct {
		Revision identifier.Revision `json:"revision"`
		Document validator.Document  `json:"document"`
	}{state.Revision, *state.Document})
}

func (p *publisher) publish(c fiber.Ctx) error {
	d, err := validator.Parse(c.Body())
	if err != nil {
		var faults validator.Faults
		errors.As(err, &faults)
		return c.Status(fiber.StatusUnprocessableEntity).JSON(Result{Verdict: "invalid", Faults: faults})
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	v, err := p.coordinator.Follower().Publish(ctx, d)
	if err != nil {
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
		return c.Status(fiber.StatusServiceUnavailable).JSON(Result{Verdict: "undecided", Reason: err.Error()})
	}
	switch v := v.(type) {
	case accepter.Accepted:
		return c.JSON(Result{Verdict: "accepted", Revision: v.Revision})
	case accepter.Conflict:
		return c.Status(fiber.StatusConflict).JSON(Result{Verdict: "conflict", Revision: v.Current})
	case accepter.Invalid:
		return c.Status(fiber.StatusUnprocessableEntity).JSON(Result{Verdict: "invalid", Faults: v.Faults})
	case accepter.Ignored:
		return c.Status(fiber.StatusConflict).JSON(Result{Verdict: "ignored", Reason: v.Reason})
	}
	return fiber.ErrInternalServerError
}
