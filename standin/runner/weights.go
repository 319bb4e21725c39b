package runner

import (
	"context"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"golang.org/x/time/rate"

	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// weightStore simulates the rate-limited weight store. It has every version of
// every model.
type weightStore struct {
	Listen   starter.Address `help:"Where to listen, IP:port." default:"127.0.0.1:0"`
	Rate     float64         `help:"Loads a second." default:"50"`
	LoadTime time.Duration   `help:"Time per load." default:"20ms"`
}

func (w *weightStore) run(ctx context.Context, _ io.Writer) error {
	limiter := rate.NewLimiter(rate.Limit(w.Rate), max(1, int(w.Rate)))
	app := server.NewApp("weights", bodyLimit)
	addFaultInjection(app)
	app.Get("/weights/:model/:version", func(c fiber.Ctx) error {
		if !limiter.Allow() {
			c.Set("Retry-After", "1")
			return c.SendStatus(fiber.StatusTooManyRequests)
		}
		time.Sleep(w.LoadTime)
		return c.SendString("weights of " + c.Params("model") + " " + c.Params("version"))
	})
	return serve(ctx, "weights", w.Listen, app)
}
