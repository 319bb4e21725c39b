// Package publisher is the HTTP interface of an entry for ladderctl and other
// programs of operators.
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
	// bodyLimit bounds a document, and the console's forms with a draft in
	// them.
	bodyLimit = 8 << 20
	// startTimeout bounds the wait of an entry that has just started.
	startTimeout = 5 * time.Second
)

// New returns the operators' application.
func New(c *coordinator.Coordinator, p *proposer.Proposer, h *historian.Historian) *fiber.App {
	u := &publisher{coordinator: c, proposer: p, historian: h}
	app := server.NewApp("operators", bodyLimit)
	app.Get("/debug/vars", server.ServeMetrics)
	// An owner's withdrawal carries its own proof.
	app.Post("/v1/withdrawals", u.withdraw)
	operators := app.Group("/v1", u.authorize)
	operators.Get("/document", u.document)
	operators.Get("/documents/:revision", u.earlier)
	operators.Post("/documents", u.publish)
	operators.Get("/history", u.history)
	operators.Get("/requests/:id", u.explain)
	operators.Get("/status", func(x fiber.Ctx) error { return x.JSON(c.Status()) })
	return app
}

type publisher struct {
	coordinator *coordinator.Coordinator
	proposer    *proposer.Proposer
	historian   *historian.Historian
}

// operatorKey is where authorize leaves the operator's name.
type operatorKey struct{}

func (u *publisher) authorize(c fiber.Ctx) error {
	state, inForce := u.coordinator.Follower().State()
	if !inForce && c.Method() == fiber.MethodPost {
		// Who may publish isn't known here yet.
		ctx, cancel := context.WithTimeout(c.Context(), startTimeout)
		defer cancel()
		if state, inForce = u.coordinator.Follower().WaitForState(ctx); !inForce {
			return later(c, "configuration in force not known yet")
		}
	}
	key, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	name, refusal := authorizer.AuthenticateOperator(state.Document, key)
	if refusal != authorizer.RefusalNone {
		return refused(c, fiber.StatusUnauthorized, string(refusal))
	}
	c.Locals(operatorKey{}, name)
	return c.Next()
}

func refused(c fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(proposer.Response{Verdict: "refused", Reason: reason})
}

// DocumentRevision is a document with its revision.
type DocumentRevision struct {
	Revision identifier.Revision `json:"revision"`
	Document *validator.Document `json:"document"`
}

func (u *publisher) document(c fiber.Ctx) error {
	state, _ := u.coordinator.Follower().State()
	if state.Document == nil {
		return refused(c, fiber.StatusNotFound, "no document is in force")
	}
	u.historian.CacheDocument(state)
	return c.JSON(DocumentRevision{state.Revision, state.Document})
}

func (u *publisher) earlier(c fiber.Ctx) error {
	n, err := strconv.ParseUint(c.Params("revision"), 10, 64)
	if err != nil {
		return refused(c, fiber.StatusBadRequest, "revision is not a number")
	}
	d, err := u.historian.At(c.Context(), identifier.Revision(n))
	if err != nil {
		return later(c, err.Error())
	}
	if d == nil {
		return refused(c, fiber.StatusNotFound, "revision "+c.Params("revision")+" is not known here any more")
	}
	return c.JSON(DocumentRevision{identifier.Revision(n), d})
}

func (u *publisher) publish(c fiber.Ctx) error {
	d, err := validator.Parse(c.Body())
	if err != nil {
		var faults validator.Faults
		errors.As(err, &faults)
		return answer(c, proposer.Invalid{Faults: faults})
	}
	name, _ := c.Locals(operatorKey{}).(identifier.OperatorName)
	return answer(c, u.proposer.Propose(c.Context(), name, d))
}

func (u *publisher) withdraw(c fiber.Ctx) error {
	var w approver.Withdrawal
	if err := c.Bind().JSON(&w); err != nil {
		return refused(c, fiber.StatusBadRequest, "body is no withdrawal")
	}
	r, err := u.proposer.Withdraw(c.Context(), w)
	if err != nil {
		return refused(c, fiber.StatusForbidden, err.Error())
	}
	return answer(c, r)
}

func (u *publisher) history(c fiber.Ctx) error {
	entries, err := u.historian.Proposals(c.Context())
	if err != nil {
		return later(c, err.Error())
	}
	return c.JSON(entries)
}

// Explanation is a decision with its code's meaning and the service's targets
// as they are now.
type Explanation struct {
	Entry    identifier.EntryName `json:"entry"`
	Decision explainer.Decision   `json:"decision"`
	Meaning  explainer.Meaning    `json:"meaning"`
}

func (u *publisher) explain(c fiber.Ctx) error {
	d, ok := u.coordinator.Explainer().Find(identifier.RequestID(c.Params("id")))
	if !ok {
		return refused(c, fiber.StatusNotFound, "this entry doesn't remember the request")
	}
	return c.JSON(Explanation{u.coordinator.Name(), d, explainer.MeaningByCode(d.Code)})
}

// later answers while the log doesn't.
func later(c fiber.Ctx, reason string) error {
	return answer(c, proposer.Undecided{Reason: reason})
}

func answer(c fiber.Ctx, r proposer.Result) error {
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
