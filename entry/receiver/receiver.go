// Package receiver serves an entry's HTTP interface for callers and trainers.
package receiver

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
	"github.com/lycheeladder/lycheeladder/ladder/server"
)

// Receiver handles the requests of callers and trainers.
type Receiver struct {
	coordinator *coordinator.Coordinator
	app         *fiber.App
	leaving     atomic.Bool
	// ctx is cancelled when the calls in progress are aborted.
	ctx        context.Context
	abortCalls context.CancelCauseFunc
}

// New returns a Receiver whose requests keep to bounds.
func New(c *coordinator.Coordinator, bounds server.Bounds) *Receiver {
	r := &Receiver{coordinator: c}
	r.ctx, r.abortCalls = context.WithCancelCause(context.Background())
	r.app = newApp(int(bounds.MaxBodyBytes))
	server.Bound(r.app, bounds)
	r.app.Use(r.closeWhenLeaving)
	r.app.Get("/v1/ready", r.ready)
	r.app.Post("/v1/services/:service/calls/:call", r.call)
	r.app.Post(fetcher.PathOpen, r.open)
	r.app.Post(fetcher.PathSubmit, r.submit)
	r.app.Post(fetcher.PathFetch, r.fetch)
	r.app.Post(fetcher.PathAnnounce, r.announce)
	return r
}

// App returns the HTTP application that serves the requests.
func (r *Receiver) App() *fiber.App { return r.app }

// Leave makes the load balancer's readiness check fail and closes each
// connection after its next response. Calls are still accepted, since the load
// balancer and callers with open connections notice only after some time.
func (r *Receiver) Leave() { r.leaving.Store(true) }

// AbortCalls ends every call in progress at once with a final response.
func (r *Receiver) AbortCalls() { r.abortCalls(dispatcher.ErrStopping) }

// closeWhenLeaving announces in the response that the connection closes. If a
// server closes a connection unannounced, a request that the client is sending
// at that moment fails.
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

// bearerKey returns the caller's key, or "" if there is none.
func bearerKey(c fiber.Ctx) string {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return ""
	}
	return strings.Clone(key)
}
