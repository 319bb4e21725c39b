// Package publisher serves an entry's HTTP interface for operators, which
// ladderctl and operators' own programs use.
package publisher

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const (
	// bodyLimit is the largest request body in bytes. It must fit a document,
	// and the console's forms, which carry a whole draft.
	bodyLimit = 8 << 20
	// configurationWaitTimeout limits how long a POST to an entry that has just
	// started waits for the configuration in force.
	configurationWaitTimeout = 5 * time.Second
)

// New returns the HTTP application for operators. It sets the largest request body of
// bounds.
func New(c *coordinator.Coordinator, p *proposer.Proposer, h *historian.Historian, bounds server.Bounds) *fiber.App {
	routes := &handlers{coordinator: c, proposer: p, historian: h}
	app := server.NewApp("operators", bodyLimit)
	bounds.MaxBodyBytes = bodyLimit
	server.Bound(app, bounds)
	app.Get("/debug/vars", server.ServeMetrics)
	// No operator key is needed here: a withdrawal carries the owner's signature.
	app.Post("/v1/withdrawals", routes.withdraw)
	operators := app.Group("/v1", routes.authorize)
	operators.Get("/document", routes.document)
	operators.Get("/documents/:revision", routes.documentAtRevision)
	operators.Post("/documents", routes.publish)
	operators.Get("/history", routes.history)
	operators.Get("/requests/:id", routes.explain)
	operators.Get("/status", func(x fiber.Ctx) error { return x.JSON(c.Status()) })
	return app
}

type handlers struct {
	coordinator *coordinator.Coordinator
	proposer    *proposer.Proposer
	historian   *historian.Historian
}

// operatorLocalsKey is the key under which authorize stores the operator's name
// in the request's locals.
type operatorLocalsKey struct{}

func (h *handlers) authorize(c fiber.Ctx) error {
	state, inForce := h.coordinator.Follower().State()
	if !inForce && c.Method() == fiber.MethodPost {
		// The operators' keys are part of the configuration. Until it is known,
		// nobody can be authorized to publish.
		ctx, cancel := context.WithTimeout(c.Context(), configurationWaitTimeout)
		defer cancel()
		if state, inForce = h.coordinator.Follower().WaitForState(ctx); !inForce {
			return writeUndecided(c, "configuration in force not known yet")
		}
	}
	key, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	name, refusal := authorizer.AuthenticateOperator(state.Document, key)
	if refusal != authorizer.RefusalNone {
		return writeRefusal(c, fiber.StatusUnauthorized, string(refusal))
	}
	c.Locals(operatorLocalsKey{}, name)
	return c.Next()
}

func writeRefusal(c fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(proposer.Response{Verdict: "refused", Reason: reason})
}

// DocumentRevision is the response body of the requests for a document.
type DocumentRevision struct {
	Revision identifier.Revision `json:"revision"`
	Document *validator.Document `json:"document"`
}

func (h *handlers) document(c fiber.Ctx) error {
	state, _ := h.coordinator.Follower().State()
	if state.Document == nil {
		return writeRefusal(c, fiber.StatusNotFound, "no document is in force")
	}
	h.historian.CacheDocument(state)
	return c.JSON(DocumentRevision{state.Revision, state.Document})
}

func (h *handlers) documentAtRevision(c fiber.Ctx) error {
	n, err := strconv.ParseUint(c.Params("revision"), 10, 64)
	if err != nil {
		return writeRefusal(c, fiber.StatusBadRequest, "revision is not a number")
	}
	d, err := h.historian.At(c.Context(), identifier.Revision(n))
	if err != nil {
		return writeUndecided(c, err.Error())
	}
	if d == nil {
		return writeRefusal(c, fiber.StatusNotFound, "revision "+c.Params("revision")+" is not known here any more")
	}
	return c.JSON(DocumentRevision{identifier.Revision(n), d})
}

func (h *handlers) publish(c fiber.Ctx) error {
	d, err := validator.Parse(server.Body(c))
	if err != nil {
		var faults validator.Faults
		errors.As(err, &faults)
		return writeResult(c, proposer.Invalid{Faults: faults})
	}
	name, _ := c.Locals(operatorLocalsKey{}).(identifier.OperatorName)
	return writeResult(c, h.proposer.Propose(c.Context(), name, d))
}

func (h *handlers) withdraw(c fiber.Ctx) error {
	var w approver.Withdrawal
	if err := c.Bind().JSON(&w); err != nil {
		return writeRefusal(c, fiber.StatusBadRequest, "body is no withdrawal")
	}
	r, err := h.proposer.Withdraw(c.Context(), w)
	if err != nil {
		return writeRefusal(c, fiber.StatusForbidden, err.Error())
	}
	return writeResult(c, r)
}

func (h *handlers) history(c fiber.Ctx) error {
	entries, err := h.historian.Proposals(c.Context())
	if err != nil {
		return writeUndecided(c, err.Error())
	}
	return c.JSON(entries)
}

// Explanation is the decision about a request with the meaning of its code.
type Explanation struct {
	Entry    identifier.EntryName `json:"entry"`
	Decision explainer.Decision   `json:"decision"`
	Meaning  explainer.Meaning    `json:"meaning"`
}

func (h *handlers) explain(c fiber.Ctx) error {
	d, ok := h.coordinator.Explainer().Find(identifier.RequestID(c.Params("id")))
	if !ok {
		return writeRefusal(c, fiber.StatusNotFound, "this entry doesn't remember the request")
	}
	return c.JSON(Explanation{h.coordinator.Name(), d, explainer.MeaningByCode(d.Code)})
}

// writeUndecided responds when the log has not answered.
func writeUndecided(c fiber.Ctx, reason string) error {
	return writeResult(c, proposer.Undecided{Reason: reason})
}

func writeResult(c fiber.Ctx, r proposer.Result) error {
	status := fiber.StatusOK
	switch r.(type) {
	case proposer.Accepted:
	case proposer.Conflict:
		status = fiber.StatusConflict
	case proposer.Invalid:
		status = fiber.StatusUnprocessableEntity
	case proposer.Undecided:
		status = fiber.StatusServiceUnavailable
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(proposer.RetryAfter.Seconds())))
	}
	return c.Status(status).JSON(proposer.NewResponse(r))
}
