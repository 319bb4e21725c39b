package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// engine simulates a model engine with continuous batching: each occupied slot
// generates one token per TokenTime. A token's text holds the prompt and the
// token's index, so that a reader can tell whether an answer is complete and
// which prompt it belongs to.
type engine struct {
	Listen       starter.Address          `help:"Where to listen, IP:port." default:"127.0.0.1:0"`
	Weights      starter.Address          `help:"The weight store, IP:port." required:""`
	Slots        int                      `help:"Requests served at once." default:"8"`
	TokenTime    time.Duration            `help:"Time per token." default:"5ms"`
	SwitchTime   time.Duration            `help:"Time of a weight switch, in which no tokens are made." default:"50ms"`
	FirstVersion identifier.WeightVersion `name:"weight-version" help:"Weight version at the start." default:"1"`
	Stamps       bool                     `help:"Stamp each piece with its version." default:"true" negatable:""`
	CheckFencing bool                     `help:"Refuse orders with an old fencing number." default:"true" negatable:""`

	store  *requester.Requester
	bootID string

	mutex sync.Mutex
	// cancelChannels holds, for each queued or running request, a channel that
	// is closed to cancel it.
	cancelChannels map[identifier.RequestID]chan struct{}
	// queuedCount is the number of requests that wait for a slot.
	queuedCount int
	// generationCounts is the number of generations begun, by prompt.
	generationCounts     map[string]int
	version              identifier.WeightVersion
	loaded               []identifier.WeightVersion
	switchCount          uint64
	highestFencingNumber identifier.FencingToken
	// resumed is open during a weight switch, when no tokens are generated, and
	// closed at all other times.
	resumed chan struct{}
	slots   chan struct{}
}

// generationBody is the part of a request body that the engine reads.
type generationBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`
	// Crash makes the engine exit, as a request that crashes a real engine does.
	Crash bool `json:"crash,omitempty"`
}

// maxTokensLimit bounds the number of tokens in an answer.
const maxTokensLimit = 1 << 20

func (e *engine) run(ctx context.Context, _ io.Writer) error {
	e.store = requester.New(string(e.Weights), "")
	e.bootID = uuid.NewString()
	e.cancelChannels = make(map[identifier.RequestID]chan struct{})
	e.generationCounts = make(map[string]int)
	e.version, e.loaded = e.FirstVersion, []identifier.WeightVersion{e.FirstVersion}
	e.resumed = make(chan struct{})
	close(e.resumed)
	e.slots = make(chan struct{}, e.Slots)
	app := server.NewApp("engine", bodyLimit)
	addFaultInjection(app)
	app.Post("/generate", e.generate)
	app.Post("/cancel", e.cancel)
	app.Get("/state", e.state)
	app.Get("/ran", func(c fiber.Ctx) error {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		return c.JSON(e.generationCounts)
	})
	app.Post("/load", e.load)
	app.Post("/switch", e.switchWeights)
	return serve(ctx, "engine", e.Listen, app)
}

func (e *engine) generate(c fiber.Ctx) error {
	var request struct {
		Request identifier.RequestID `json:"request-id"`
		Body    generationBody       `json:"body"`
	}
	if err := json.Unmarshal(c.Body(), &request); err != nil || request.Body.MaxTokens < 1 || request.Body.MaxTokens > maxTokensLimit {
		return c.Status(fiber.StatusBadRequest).SendString(`{"error":"max-tokens is 1 or more"}`)
	}
	if request.Body.Crash {
		os.Exit(3)
	}
	cancelled := make(chan struct{})
	e.mutex.Lock()
	e.cancelChannels[request.Request] = cancelled
	e.queuedCount++
	e.generationCounts[request.Body.Prompt]++
	e.mutex.Unlock()
	c.Set("Content-Type", "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.removeRequest(request.Request)
		e.slots <- struct{}{}
		defer func() { <-e.slots }()
		e.mutex.Lock()
		e.queuedCount--
		e.mutex.Unlock()
		e.writeTokens(w, request.Body, cancelled)
	})
}

func (e *engine) writeTokens(w *bufio.Writer, p generationBody, cancelled chan struct{}) {
	ticker := time.NewTicker(e.TokenTime)
	defer ticker.Stop()
	for n := range p.MaxTokens {
		select {
		case <-cancelled:
			return
		case <-ticker.C:
		}
		e.mutex.Lock()
		resumed := e.resumed
		e.mutex.Unlock()
		<-resumed
		event := struct {
			Text    string                   `json:"text"`
			Tokens  int                      `json:"tokens"`
			Version identifier.WeightVersion `json:"version,omitempty"`
		}{Text: fmt.Sprintf("%s-%d ", p.Prompt, n), Tokens: 1, Version: e.stampedVersion()}
		data, _ := json.Marshal(event)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		if w.Flush() != nil {
			return
		}
	}
	_, _ = w.WriteString("data: {\"done\":true}\n\n")
	_ = w.Flush()
}

func (e *engine) stampedVersion() identifier.WeightVersion {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.Stamps {
		return 0
	}
	return e.version
}

func (e *engine) removeRequest(id identifier.RequestID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.cancelChannels, id)
}

func (e *engine) cancel(c fiber.Ctx) error {
	var request struct {
		Request identifier.RequestID `json:"request-id"`
	}
	if err := c.Bind().JSON(&request); err != nil {
		return fiber.ErrBadRequest
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if cancelled, ok := e.cancelChannels[request.Request]; ok {
		delete(e.cancelChannels, request.Request)
		close(cancelled)
	}
	return c.SendStatus(fiber.StatusOK)
}

func (e *engine) state(c fiber.Ctx) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return c.JSON(caller.State{
		BootID: e.bootID, Version: e.version, Loaded: e.loaded, SwitchCount: e.switchCount,
		InFlight: len(e.cancelChannels) - e.queuedCount, Queued: e.queuedCount, Slots: e.Slots,
	})
}

// acceptFencingNumber reports whether a command may be carried out. With
// CheckFencing it rejects a command whose fencing number is below the highest
// one seen.
func (e *engine) acceptFencingNumber(command caller.WeightCommand) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if command.FencingNumber < e.highestFencingNumber && e.CheckFencing {
		return false
	}
	e.highestFencingNumber = max(e.highestFencingNumber, command.FencingNumber)
	return true
}

func (e *engine) load(c fiber.Ctx) error {
	var command caller.WeightCommand
	if err := c.Bind().JSON(&command); err != nil {
		return fiber.ErrBadRequest
	}
	if !e.acceptFencingNumber(command) {
		return c.SendStatus(fiber.StatusConflict)
	}
	path := fmt.Sprintf("/weights/%s/%d", command.Model, command.Version)
	response, err := e.store.Do(context.Background(), fasthttp.MethodGet, path, nil)
	if err != nil || response.Status != fiber.StatusOK {
		return c.Status(fiber.StatusServiceUnavailable).SendString(fmt.Sprintf("weight store: %d %v", response.Status, err))
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !slices.Contains(e.loaded, command.Version) {
		e.loaded = append(e.loaded, command.Version)
	}
	return c.SendStatus(fiber.StatusOK)
}

func (e *engine) switchWeights(c fiber.Ctx) error {
	var command caller.WeightCommand
	if err := c.Bind().JSON(&command); err != nil {
		return fiber.ErrBadRequest
	}
	if !e.acceptFencingNumber(command) {
		return c.SendStatus(fiber.StatusConflict)
	}
	e.mutex.Lock()
	if !slices.Contains(e.loaded, command.Version) {
		e.mutex.Unlock()
		return c.Status(fiber.StatusNotFound).SendString("version not loaded")
	}
	resumed := make(chan struct{})
	e.resumed = resumed
	e.mutex.Unlock()
	time.Sleep(e.SwitchTime)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.version = command.Version
	e.switchCount++
	e.loaded = []identifier.WeightVersion{command.Version}
	close(resumed)
	return c.SendStatus(fiber.StatusOK)
}
