package runner

import (
	"context"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// scorer stands in for a service that scores samples: the reward is the
// share of words, of a hundred, that the text has.
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
	words := 0
	for _, r := range request.Text {
		if r == ' ' {
			words++
		}
	}
	return c.JSON(struct {
		Reward float64 `json:"reward"`
	}{min(1, float64(words)/100)})
}
