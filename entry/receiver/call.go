package receiver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// timeoutHeader is how long the caller waits, in seconds.
const timeoutHeader = "Request-Timeout"

// requestIDHeader names the request in every answer.
const requestIDHeader = "X-Request-Id"

// call takes one call. The answer streams as server-sent events where the
// caller accepts them.
func (r *Receiver) call(c fiber.Ctx) error {
	call := coordinator.Call{
		ID:             identifier.NewRequestID(),
		Key:            bearer(c),
		Service:        identifier.ServiceName(strings.Clone(c.Params("service"))),
		Name:           identifier.CallName(strings.Clone(c.Params("call"))),
		Body:           append([]byte(nil), c.Body()...),
		IdempotencyKey: identifier.IdempotencyKey(strings.Clone(c.Get("Idempotency-Key"))),
		Timeout:        timeoutOf(c),
	}
	c.Set(requestIDHeader, string(call.ID))
	if !json.Valid(call.Body) {
		return fail(c, call.ID, dispatcher.NotRun{Code: codeBodyMalformed})
	}
	if c.Get(fiber.HeaderAccept) == "text/event-stream" {
		return r.stream(c, call)
	}
	o := r.coordinator.Handle(r.ctx, call)
	completed, ok := o.(dispatcher.Completed)
	if !ok {
		return fail(c, call.ID, o)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	if len(completed.Spans) > 0 {
		return c.Status(completed.Status).JSON(generated{Text: string(completed.Body), Spans: completed.Spans})
	}
	return c.Status(completed.Status).Send(completed.Body)
}

// generated is a model engine's whole answer.
type generated struct {
	Text  string           `json:"text"`
	Spans []messenger.Span `json:"spans"`
}

func timeoutOf(c fiber.Ctx) time.Duration {
	n, err := strconv.Atoi(c.Get(timeoutHeader))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// ending is the last event of a whole stream. A stream without it is no
// answer.
type ending struct {
	Length   int              `json:"length"`
	Checksum string           `json:"checksum"`
	Spans    []messenger.Span `json:"spans,omitempty"`
}

// stream answers with events. The status line waits for the first byte, so
// that a refusal keeps its own status.
func (r *Receiver) stream(c fiber.Ctx, call coordinator.Call) error {
	pieces := make(chan []byte)
	outcome := make(chan dispatcher.Outcome, 1)
	ctx, cancel := context.WithCancel(r.ctx)
	call.Stream = func(data []byte) error {
		select {
		case pieces <- data:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	go func() {
		outcome <- r.coordinator.Handle(ctx, call)
	}()
	var first []byte
	select {
	case first = <-pieces:
	case o := <-outcome:
		if _, ok := o.(dispatcher.Completed); !ok {
			cancel()
			return fail(c, call.ID, o)
		}
		outcome <- o
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	// A stream may outlast the moment at which this entry begins to leave,
	// when it is too late to announce the end of the connection.
	c.RequestCtx().SetConnectionClose()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		if first != nil && writeEvent(w, "", textEvent{string(first)}) != nil {
			return
		}
		follow(w, call.ID, pieces, outcome)
	})
}

type textEvent struct {
	Text string `json:"text"`
}

func follow(w *bufio.Writer, id identifier.RequestID, pieces <-chan []byte, outcome <-chan dispatcher.Outcome) {
	for {
		select {
		case data := <-pieces:
			if writeEvent(w, "", textEvent{string(data)}) != nil {
				return
			}
		case o := <-outcome:
			if completed, ok := o.(dispatcher.Completed); ok {
				_ = writeEvent(w, "end", ending{
					Length: len(completed.Body), Checksum: fmt.Sprintf("%016x", completed.Checksum), Spans: completed.Spans,
				})
				return
			}
			if f, ok := failureOf(id, o); ok {
				_ = writeEvent(w, "error", f)
			}
			return
		}
	}
}

func writeEvent(w *bufio.Writer, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if name != "" {
		if _, err := fmt.Fprintf(w, "event: %s\n", name); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return w.Flush()
}
