package verb

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"testing"

	"github.com/gofiber/fiber/v3"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// fakeRevision is the revision in force at the fake entry, with the document
// current.json. The revision before it has older.json. The fake entry handles
// proposals with the real proposer.
const fakeRevision = 3

// logOutageTimeoutSeconds as the limit max-timeout-seconds of a document makes the
// fake entry behave as if the log were down.
const logOutageTimeoutSeconds = 77

type fakeFollower struct{ current *validator.Document }

func (f fakeFollower) State() (accepter.State, bool) {
	return accepter.State{Revision: fakeRevision, Document: f.current}, true
}

func (f fakeFollower) Publish(_ context.Context, d validator.Document) (accepter.Verdict, error) {
	if d.Limits.MaxTimeoutSeconds == logOutageTimeoutSeconds {
		return nil, context.DeadlineExceeded
	}
	if d.Base != fakeRevision {
		return accepter.Conflict{Base: d.Base, Current: fakeRevision}, nil
	}
	return accepter.Accepted{Revision: fakeRevision + 1}, nil
}

type fakeHistory struct{ older *validator.Document }

func (h fakeHistory) At(_ context.Context, r identifier.Revision) (*validator.Document, error) {
	if r == fakeRevision-1 {
		return h.older, nil
	}
	return nil, nil
}

// startEntry starts a fake entry and returns the address of its operator listener.
func startEntry(t *testing.T) (address string) {
	t.Helper()
	current, older := readDocumentFile(t, "testdata/files/current.json"), readDocumentFile(t, "testdata/files/older.json")
	p := proposer.New(fakeFollower{current}, fakeHistory{older})
	app := fiber.New()
	app.Post("/v1/withdrawals", func(c fiber.Ctx) error {
		var w approver.Withdrawal
		if err := c.Bind().JSON(&w); err != nil {
			return err
		}
		r, err := p.Withdraw(c.Context(), w)
		if err != nil {
			return c.Status(fiber.StatusForbidden).JSON(proposer.Response{Verdict: "refused", Reason: err.Error()})
		}
		return c.JSON(proposer.NewResponse(r))
	})
	// The readiness listener, which asks for no key, is at the same address here.
	duties, err := os.ReadFile("testdata/entry/duties.json")
	if err != nil {
		t.Fatal(err)
	}
	app.Get("/duties", func(c fiber.Ctx) error { return c.Type("json").Send(duties) })
	app.Use(func(c fiber.Ctx) error {
		if c.Get("Authorization") != "Bearer operator" {
			return c.Status(fiber.StatusUnauthorized).JSON(proposer.Response{Verdict: "refused", Reason: "key-unknown"})
		}
		return c.Next()
	})
	app.Post("/v1/documents", func(c fiber.Ctx) error {
		var d validator.Document
		if err := c.Bind().JSON(&d); err != nil {
			return err
		}
		return c.JSON(proposer.NewResponse(p.Propose(c.Context(), "night-shift", d)))
	})
	app.Get("/v1/document", func(c fiber.Ctx) error { return c.JSON(documentRevision{fakeRevision, *current}) })
	for path, file := range map[string]string{
		"/v1/history": "history.json", "/v1/status": "status.json",
		"/v1/requests/0190b3a0-0000-7000-8000-000000000001": "decision.json",
	} {
		data, err := os.ReadFile("testdata/entry/" + file)
		if err != nil {
			t.Fatal(err)
		}
		app.Get(path, func(c fiber.Ctx) error { return c.Type("json").Send(data) })
	}
	app.Get("/v1/requests/:id", func(c fiber.Ctx) error {
		return c.Status(fiber.StatusNotFound).JSON(proposer.Response{Verdict: "refused", Reason: "this entry doesn't remember the request"})
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() { _ = app.Shutdown() })
	return l.Addr().String()
}

func readDocumentFile(t *testing.T, file string) *validator.Document {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d := &validator.Document{}
	if err := json.Unmarshal(data, d); err != nil {
		t.Fatal(err)
	}
	return d
}
