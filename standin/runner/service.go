package runner

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// plainService simulates a service of kind plain. It counts how often it executed
// each request; tests read the counts at GET /ran.
type plainService struct {
	Listen  starter.Address `help:"Where to listen, IP:port." default:"127.0.0.1:0"`
	CallFor time.Duration   `help:"Time per call." default:"5ms"`

	bootID string
	mutex  sync.Mutex
	// executionCounts is the number of executions by request body.
	executionCounts map[string]int
}

func (p *plainService) run(ctx context.Context, _ io.Writer) error {
	p.bootID = uuid.NewString()
	p.executionCounts = make(map[string]int)
	app := server.NewApp("service", bodyLimit)
	addFaultInjection(app)
	app.Post("/calls/:call", p.call)
	app.Get("/ran", func(c fiber.Ctx) error {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return c.JSON(p.executionCounts)
	})
	app.Get("/state", func(c fiber.Ctx) error { return c.JSON(caller.State{BootID: p.bootID}) })
	return serve(ctx, "service", p.Listen, app)
}

func (p *plainService) call(c fiber.Ctx) error {
	body := string(c.Body())
	p.mutex.Lock()
	p.executionCounts[body]++
	times := p.executionCounts[body]
	p.mutex.Unlock()
	time.Sleep(p.CallFor)
	echo := json.RawMessage(body)
	if !json.Valid(echo) {
		return fiber.ErrBadRequest
	}
	return c.JSON(struct {
		Call  string          `json:"call"`
		Echo  json.RawMessage `json:"echo"`
		Times int             `json:"times"`
	}{c.Params("call"), echo, times})
}
