package server

import (
	"net"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/limitreader"
	"github.com/lycheeladder/lycheeladder/ladder/memory/bodyreader"
	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/connlimiter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/reporter"
)

// bodyCopies is how many times the size of its body a large request needs while it is
// decoded, encoded and passed on, beyond the body itself.
const bodyCopies = 3

// Bounds are the limits of memory of an application. The zero value has none.
type Bounds struct {
	Budgeter *budgeter.Budgeter
	Reporter *reporter.Reporter
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
}

// Bound makes the requests of an application draw on an account of memory. It must be
// called before routes are added. Handlers get the body from Body.
func Bound(app *fiber.App, b Bounds) {
	s := app.Server()
	// Bodies must be read by the handler below, under the account. Forms of several
	// parts would be read before it.
	s.StreamRequestBody, s.DisablePreParseMultipartForm = true, true
	s.ConnState = func(inner net.Conn, state fasthttp.ConnState) {
		if c, ok := inner.(*connlimiter.Conn); ok && state == fasthttp.StateIdle {
			c.RequestDone()
		}
	}
	app.Use(b.readBody)
}

// Body returns the body of a request. It is not a copy, and stays valid after the handler
// has returned.
func Body(c fiber.Ctx) []byte { return c.Request().Body() }

// readBody reads the body of a request before its handler runs, and holds its memory and
// that of the response until the response has been written.
func (b Bounds) readBody(c fiber.Ctx) error {
	connection, _ := c.RequestCtx().Conn().(*connlimiter.Conn)
	held := b.Budgeter.Open(nil)
	if connection != nil {
		connection.HeadDone()
		held = b.Budgeter.Open(connection)
		connection.Keep(held)
	} else {
		defer held.Release()
	}
	if c.RequestCtx().RequestBodyStream() != nil {
		if err := b.read(c, connection, held); err != nil {
			c.RequestCtx().SetConnectionClose()
			if connection != nil {
				connection.Linger()
			}
			held.Release()
			return b.refuse(c, err)
		}
	}
	err := c.Next()
	if !c.Response().IsBodyStream() {
		held.Hold(int64(len(c.Response().Body())))
	}
	return err
}

var errEncoded = errors.New("request body has a content encoding")

// read replaces the stream of a request's body by its bytes.
func (b Bounds) read(c fiber.Ctx, connection *connlimiter.Conn, held *budgeter.Reservation) error {
	// A body that is decoded could grow without a limit.
	if e := c.Get(fiber.HeaderContentEncoding); e != "" && e != "identity" {
		return errEncoded
	}
	d := bodyreader.Reader{Reservation: held, Connection: connection}
	if connection != nil {
		connection.BeginBody()
	}
	body, err := d.Read(c, c.RequestCtx().RequestBodyStream(), int64(c.Request().Header.ContentLength()), b.MaxBodyBytes)
	if connection != nil && !connection.EndBody() {
		err = connlimiter.ErrNoProgress
	}
	if err != nil {
		return err
	}
	if len(body) >= budgeter.SmallBytes {
		if err := held.Grow(c, bodyCopies*int64(len(body))); err != nil {
			return err
		}
	}
	c.Request().SetBodyRaw(body)
	return nil
}

// refuse returns the error that describes why a body was not read.
func (b Bounds) refuse(c fiber.Ctx, err error) error {
	switch {
	case errors.Is(err, limitreader.ErrTooLarge):
		b.Reporter.Report(reporter.LimitBodyBytes)
		return fiber.ErrRequestEntityTooLarge
	case errors.Is(err, budgeter.ErrExhausted):
		b.Reporter.Report(reporter.LimitMemory)
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(budgeter.RetryAfter.Seconds())))
		return fiber.ErrServiceUnavailable
	case errors.Is(err, connlimiter.ErrNoProgress):
		b.Reporter.Report(reporter.LimitProgress)
		return fiber.ErrRequestTimeout
	case errors.Is(err, errEncoded):
		return fiber.ErrUnsupportedMediaType
	default:
		return fiber.ErrBadRequest
	}
}
