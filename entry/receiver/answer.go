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

// Failure is the body of every answer that is not a target's.
type Failure struct {
	// Code is stable; docs/OPERATIONS.md lists them all.
	Code dispatcher.Code `json:"code"`
	// Outcome is "not-run" or "unknown".
	Outcome string               `json:"outcome"`
	Request identifier.RequestID `json:"request-id"`
	// RetryAfterSeconds is when to come back; 0 where it is no use.
	RetryAfterSeconds int `json:"retry-after-seconds,omitempty"`
}

// codeBodyMalformed says that the body can't be read.
const codeBodyMalformed dispatcher.Code = "body-malformed"

// statusByCode gives each code its HTTP status; others get 503.
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
		return fallback(c, err)
	})
	return app
}

// fallback answers what no handler did: wrong paths, methods and bodies.
func fallback(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var e *fiber.Error
	if errors.As(err, &e) {
		status = e.Code
	} else {
		klog.ErrorS(err, "handler failed", "path", c.Path())
	}
	return c.Status(status).JSON(Failure{Code: "http-" + dispatcher.Code(strconv.Itoa(status)), Outcome: "not-run"})
}

// fail answers with an outcome that is not Completed.
func fail(c fiber.Ctx, id identifier.RequestID, o dispatcher.Outcome) error {
	f, ok := failureOf(id, o)
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

func failureOf(id identifier.RequestID, o dispatcher.Outcome) (Failure, bool) {
	switch o := o.(type) {
	case dispatcher.Completed:
		return Failure{}, false
	case dispatcher.NotRun:
		return Failure{Code: o.Code, Outcome: "not-run", Request: id, RetryAfterSeconds: seconds(o.RetryAfter)}, true
	case dispatcher.Unknown:
		return Failure{Code: o.Code, Outcome: "unknown", Request: id, RetryAfterSeconds: seconds(o.RetryAfter)}, true
	}
	return Failure{}, false
}

// seconds rounds up: coming back sooner would be refused again.
func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
