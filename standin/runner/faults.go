package runner

import (
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// faultKind is a kind of failure that a stand-in can simulate.
type faultKind string

const (
	// faultSlow delays the request before it is handled.
	faultSlow faultKind = "slow"
	// faultRefuse answers 503 without handling the request.
	faultRefuse faultKind = "refuse"
	// faultDropConnection handles the request and closes the connection instead
	// of answering.
	faultDropConnection faultKind = "lose"
	// faultSilent handles the request and holds the answer back for silentHoldTime.
	faultSilent faultKind = "silent"
)

// fault is the body of POST /fault. It makes the stand-in fail on requests.
type fault struct {
	Kind faultKind `json:"kind"`
	// Path is the prefix of the request paths that the fault applies to.
	Path string `json:"path"`
	// Milliseconds is the delay of faultSlow.
	Milliseconds int `json:"milliseconds"`
	// Count is the number of requests that fail; 0 means all until DELETE /fault.
	Count int `json:"count"`
}

// faultInjector applies the current fault to the requests of a stand-in.
type faultInjector struct {
	mutex     sync.Mutex
	current   *fault
	remaining int
}

// silentHoldTime is how long faultSilent holds an answer back.
const silentHoldTime = time.Hour

func addFaultInjection(app *fiber.App) *faultInjector {
	f := &faultInjector{}
	app.Post("/fault", func(c fiber.Ctx) error {
		var requested fault
		if err := c.Bind().JSON(&requested); err != nil {
			return fiber.ErrBadRequest
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.current, f.remaining = &requested, requested.Count
		return c.SendStatus(fiber.StatusOK)
	})
	app.Delete("/fault", func(c fiber.Ctx) error {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.current = nil
		return c.SendStatus(fiber.StatusOK)
	})
	app.Use(f.apply)
	return f
}

func (f *faultInjector) apply(c fiber.Ctx) error {
	matched := f.match(c.Path())
	if matched == nil {
		return c.Next()
	}
	switch matched.Kind {
	case faultSlow:
		time.Sleep(time.Duration(matched.Milliseconds) * time.Millisecond)
		return c.Next()
	case faultRefuse:
		c.Set("Retry-After", "1")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	case faultDropConnection:
		_ = c.Next()
		return c.RequestCtx().Conn().Close()
	case faultSilent:
		_ = c.Next()
		time.Sleep(silentHoldTime)
	}
	return nil
}

// match returns the fault that applies to a request of path, or nil, and counts
// the request against the fault's Count.
func (f *faultInjector) match(path string) *fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.current == nil || !strings.HasPrefix(path, f.current.Path) {
		return nil
	}
	matched := f.current
	if matched.Count > 0 {
		f.remaining--
		if f.remaining == 0 {
			f.current = nil
		}
	}
	return matched
}
