// Package receiver is the HTTP side of an entry towards callers and trainers.
package receiver

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
)

// Receiver takes the calls of callers and trainers.
type Receiver struct {
	coordinator *coordinator.Coordinator
	app         *fiber.App
	leaving     atomic.Bool
	// ctx ends when the calls in progress are given up.
	ctx    context.Context
	giveUp context.CancelCauseFunc
}

// New returns a Receiver whose bodies are at most bodyLimit bytes long.
func New(c *coordinator.Coordinator, bodyLimit int) *Receiver {
	r := &Receiver{coordinator: c}
	r.ctx, r.giveUp = context.WithCancelCause(context.Background())
	r.app = newApp(bodyLimit)
	r.app.Use(r.closeWhenLeaving)
	r.app.Get("/v1/ready", r.ready)
	r.app.Post("/v1/services/:service/calls/:call", r.call)
	r.app.Post(fetcher.PathOpen, r.open)
	r.app.Post(fetcher.PathSubmit, r.submit)
	r.app.Post(fetcher.PathFetch, r.fetch)
	r.app.Post(fetcher.PathAnnounce, r.announce)
	return r
}

// App returns the application to serve.
func (r *Receiver) App() *fiber.App { return r.app }

// Leave makes the balancer's readiness check fail, and has callers give up
// their connections after the answer. Calls are still taken: the balancer, and
// callers with open connections, find out only with time.
func (r *Receiver) Leave() { r.leaving.Store(true) }

// AbortCalls gives every call in progress its final answer now.
func (r *Receiver) AbortCalls() { r.giveUp(dispatcher.ErrStopping) }

// closeWhenLeaving announces the end of the connection in the answer: a server
// that closes one unannounced fails the call that the client sends just then.
func (r *Receiver) closeWhenLeaving(c fiber.Ctx) error {
	err := c.Next()
	if r.leaving.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	return err
}

func (r *Receiver) ready(c fiber.Ctx) error {
	switch {
	case r.leaving.Load():
		return c.Status(fiber.StatusServiceUnavailable).SendString("leaving")
	case !r.coordinator.Ready():
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready")
	}
	return c.SendString("ready")
}

// bearer returns the caller's key, or "".
func bearer(c fiber.Ctx) string {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return ""
	}
	return strings.Clone(key)
}
