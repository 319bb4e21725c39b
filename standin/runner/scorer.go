package runner

import (
	"context"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// scorer simulates a service that scores samples. The reward is the number of
// spaces in the text divided by 100, and at most 1.
type scorer struct {
	Listen   starter.Address `help:"Where to listen, IP:port." default:"127.0.0.1:0"`
	ScoreFor time.Duration   `help:"Time per score." default:"2ms"`
}

func (s *scorer) run(ctx context.Context, _ io.Writer) error {
	app := server.NewApp("scorer", bodyLimit)
	addFaultInjection(app)
	app.Post("/calls/score", s.score)
	return serve(ctx, "scorer", s.Listen, app)
}

func (s *scorer) score(c fiber.Ctx) error {
	var request struct {
		Text string `json:"text"`
	}
	if err := c.Bind().JSON(&request); err != nil {
		return fiber.ErrBadRequest
	}
	time.Sleep(s.ScoreFor)
	spaces := 0
	for _, r := range request.Text {
		if r == ' ' {
			spaces++
		}
	}
	return c.JSON(struct {
		Reward float64 `json:"reward"`
	}{min(1, float64(spaces)/100)})
}
