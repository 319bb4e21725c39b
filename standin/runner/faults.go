package runner

import (
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// faultKind is how a stand-in misbehaves.
type faultKind string

const (
	// faultSlow waits before the effect.
	faultSlow faultKind = "slow"
	// faultRefuse answers 503 without effect.
	faultRefuse faultKind = "refuse"
	// faultDropConnection takes effect and drops the connection.
	faultDropConnection faultKind = "lose"
	// faultSilent takes effect and never answers.
	faultSilent faultKind = "silent"
)

// fault is one order to misbehave, given by POST /fault.
type fault struct {
	Kind faultKind `json:"kind"`
	// Path is the prefix of the paths concerned.
	Path string `json:"path"`
	// Milliseconds is the wait of a slow one.
	Milliseconds int `json:"milliseconds"`
	// Count is how many requests are hit; 0 is until cleared.
	Count int `json:"count"`
}

// faultInjector holds the fault in force.
type faultInjector struct {
	mutex   sync.Mutex
	current *fault
	remaining    int
}

// silentHoldTime is how long a silent request is held.
const silentHoldTime = time.Hour

func addFaultInjection(app *fiber.App) *faultInjector {
	f := &faultInjector{}
	app.Post("/fault", func(c fiber.Ctx) error {
		var order fault
		if err := c.Bind().JSON(&order); err != nil {
			return fiber.ErrBadRequest
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.current, f.remaining = &order, order.Count
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
	hit := f.match(c.Path())
	if hit == nil {
		return c.Next()
	}
	switch hit.Kind {
	case faultSlow:
		time.Sleep(time.Duration(hit.Milliseconds) * time.Millisecond)
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

func (f *faultInjector) match(path string) *fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.current == nil || !strings.HasPrefix(path, f.current.Path) {
		return nil
	}
	hit := f.current
	if hit.Count > 0 {
		f.remaining--
		if f.remaining == 0 {
			f.current = nil
		}
	}
	return hit
}
