// Package server runs HTTP listeners.
package server

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// NewApp returns a fiber application that accepts request bodies of up to bodyLimit
// bytes.
func NewApp(name string, bodyLimit int) *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:        name,
		BodyLimit:      bodyLimit,
		ReadBufferSize: 8 << 10,
		IdleTimeout:    time.Minute,
		// Handlers may keep request data after they return.
		Immutable:         true,
		ReduceMemoryUsage: true,
	})
	app.Use(func(c fiber.Ctx) (err error) {
		if recoverer.CatchPanic("handle a request", func() { err = c.Next() }) != nil {
			return fiber.ErrInternalServerError
		}
		return err
	})
	return app
}

// ServeMetrics serves expvar.
func ServeMetrics(c fiber.Ctx) error {
	expvarhandler.ExpvarHandler(c.RequestCtx())
	return nil
}

// Listen opens a TCP listener, so that an unusable address is reported early.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "listen")
}

// Serve runs app on l until ctx ends, then waits up to grace for requests in progress.
// It returns nil after a shutdown requested through ctx.
func Serve(ctx context.Context, app *fiber.App, l net.Listener, grace time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) }()
	select {
	case err := <-done:
		return errors.Wrapf(err, "serve %s", l.Addr())
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	err := app.ShutdownWithContext(shutdownCtx)
	if serveErr := <-done; err == nil {
		err = serveErr
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, fasthttp.ErrConnectionClosed) {
		return nil
	}
	return err
}
