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
	// faultLose takes effect and drops the connection.
	faultLose faultKind = "lose"
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

// faults holds the fault in force.
type faults struct {
	mutex   sync.Mutex
	current *fault
	left    int
}

// silence is how long a silent request is held.
const silence = time.Hour

func newFaults(app *fiber.App) *faults {
	f := &faults{}
	app.Post("/fault", func(c fiber.Ctx) error {
		var order fault
		if err := c.Bind().JSON(&order); err != nil {
			return fiber.ErrBadRequest
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.current, f.left = &order, order.Count
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

func (f *faults) apply(c fiber.Ctx) error {
	hit := f.hit(c.Path())
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
	case faultLose:
		_ = c.Next()
		return c.RequestCtx().Conn().Close()
	case faultSilent:
		_ = c.Next()
		time.Sleep(silence)
	}
	return nil
}

func (f *faults) hit(path string) *fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.current == nil || !strings.HasPrefix(path, f.current.Path) {
		return nil
	}
	hit := f.current
	if hit.Count > 0 {
		f.left--
		if f.left == 0 {
			f.current = nil
		}
	}
	return hit
}
