package receiver

import (
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/server"
)

// Failure is the JSON body of every error response that the entry itself
// produces.
type Failure struct {
	// Code is stable across releases; docs/OPERATIONS.md lists all codes.
	Code dispatcher.Code `json:"code"`
	// Outcome is "not-run" or "unknown".
	Outcome string               `json:"outcome"`
	Request identifier.RequestID `json:"request-id"`
	// RetryAfterSeconds is 0 if a retry can't succeed.
	RetryAfterSeconds int `json:"retry-after-seconds,omitempty"`
}

// codeBodyMalformed means that the request body is not valid JSON.
const codeBodyMalformed dispatcher.Code = "body-malformed"

// statusByCode maps codes to HTTP statuses; codes not listed here get 503.
var statusByCode = map[dispatcher.Code]int{
	dispatcher.Code(authorizer.RefusalKeyMissing):     fiber.StatusUnauthorized,
	dispatcher.Code(authorizer.RefusalKeyUnknown):     fiber.StatusUnauthorized,
	dispatcher.Code(authorizer.RefusalUnknownService): fiber.StatusNotFound,
	dispatcher.Code(authorizer.RefusalNotApproved):    fiber.StatusForbidden,
	dispatcher.Code(coordinator.RefusalNotTrainer):    fiber.StatusForbidden,
	coordinator.CodeTeamLimit:                         fiber.StatusTooManyRequests,
	coordinator.CodeBodyTooLarge:                      fiber.StatusRequestEntityTooLarge,
	codeBodyMalformed:                                 fiber.StatusBadRequest,
	dispatcher.CodeQueueFull:                          fiber.StatusTooManyRequests,
	dispatcher.CodeTimeout:                            fiber.StatusGatewayTimeout,
	dispatcher.CodeTargetFailed:                       fiber.StatusBadGateway,
	dispatcher.CodeTargetLost:                         fiber.StatusBadGateway,
	dispatcher.CodeAlreadyRan:                         fiber.StatusConflict,
	dispatcher.CodeKeyInvalid:                         fiber.StatusBadRequest,
	dispatcher.CodeKeyTooOld:                          fiber.StatusUnprocessableEntity,
	dispatcher.CodeKeyReused:                          fiber.StatusUnprocessableEntity,
}

func newApp(bodyLimit int) *fiber.App {
	app := server.NewApp("callers", bodyLimit)
	app.Use(func(c fiber.Ctx) error {
		err := c.Next()
		if err == nil {
			return nil
		}
		return writeUnhandledError(c, err)
	})
	return app
}

// writeUnhandledError responds to errors that no handler turned into a response,
// such as unknown paths, wrong methods and unacceptable bodies.
func writeUnhandledError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var httpError *fiber.Error
	if errors.As(err, &httpError) {
		status = httpError.Code
	} else {
		klog.ErrorS(err, "handler failed", "path", c.Path())
	}
	return c.Status(status).JSON(Failure{Code: "http-" + dispatcher.Code(strconv.Itoa(status)), Outcome: "not-run"})
}

// writeFailure responds with an outcome other than Completed.
func writeFailure(c fiber.Ctx, id identifier.RequestID, o dispatcher.Outcome) error {
	f, ok := newFailure(id, o)
	if !ok {
		return fiber.ErrInternalServerError
	}
	if f.RetryAfterSeconds > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(f.RetryAfterSeconds))
	}
	status, ok := statusByCode[f.Code]
	if !ok {
		status = fiber.StatusServiceUnavailable
	}
	return c.Status(status).JSON(f)
}

// newFailure returns false if the outcome is Completed.
func newFailure(id identifier.RequestID, o dispatcher.Outcome) (Failure, bool) {
	switch o := o.(type) {
	case dispatcher.Completed:
		return Failure{}, false
	case dispatcher.NotRun:
		return Failure{Code: o.Code, Outcome: "not-run", Request: id, RetryAfterSeconds: ceilSeconds(o.RetryAfter)}, true
	case dispatcher.Unknown:
		return Failure{Code: o.Code, Outcome: "unknown", Request: id, RetryAfterSeconds: ceilSeconds(o.RetryAfter)}, true
	}
	return Failure{}, false
}

// ceilSeconds rounds up: a retry before d has passed would be refused again.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
