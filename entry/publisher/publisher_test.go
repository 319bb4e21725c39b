package publisher_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/entry/publisher"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// memoryLog is the platform's log in memory for appends of one record each. The
// channel holds the records and serves as the lock.
type memoryLog struct{ records chan []appender.Record }

func (l memoryLog) Append(_ context.Context, _ identifier.StreamName, data [][]byte) (identifier.LogOffset, error) {
	records := <-l.records
	first := identifier.LogOffset(len(records))
	l.records <- append(records, appender.Record{Offset: first, Time: time.Now(), Data: data[0]})
	return first, nil
}

func (l memoryLog) Read(_ context.Context, _ identifier.StreamName, from identifier.LogOffset, _ int) (appender.Page, error) {
	time.Sleep(time.Millisecond)
	records := <-l.records
	l.records <- records
	return appender.Page{Next: identifier.LogOffset(len(records)), Records: records[min(int(from), len(records)):]}, nil
}

// TestNew_Authorization checks which keys each request needs, as documented in
// docs/SECURITY.md, and that neither keys nor bodies appear in explanations.
func TestNew_Authorization(t *testing.T) {
	log := memoryLog{make(chan []appender.Record, 1)}
	log.records <- nil
	c := coordinator.New(clockwork.NewRealClock(), log, router.NewRandom(1), recorder.New(), coordinator.Options{Policy: router.LeastExpectedWait{}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Follower().Run(ctx) }()
	defer func() { cancel(); <-done }()
	h := historian.New(log, c.Follower())
	app := publisher.New(c, proposer.New(c.Follower(), h), h, server.Bounds{})
	d := validator.Document{
		Schema: validator.SchemaName, ID: "first", Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("operator")}},
		Limits:    validator.Limits{MaxBodyBytes: 1, MaxTimeoutSeconds: 1, CrashQuarantineSeconds: 1},
	}
	first := encodeDocument(t, d)
	d.ID, d.Base, d.Author = "second", 1, "day-shift"
	otherAuthor := encodeDocument(t, d)
	for _, tt := range []struct {
		key, method, path, body string
		status                  int
		text                    string
	}{
		{"", "POST", "/v1/documents", first, 200, `"accepted","revision":1`}, // No key is needed while no document is in force.
		{"", "POST", "/v1/documents", first, 401, "key-missing"},
		{"team", "GET", "/v1/status", "", 401, "key-unknown"},
		{"operator", "GET", "/v1/status", "", 200, `"revision":1`},
		{"operator", "POST", "/v1/documents", otherAuthor, 422, "whose key published it"},
		{"operator", "POST", "/v1/documents", `{"colour":1}`, 422, "no such field"},
		{"operator", "GET", "/v1/history", "", 200, `"author":"night-shift"`},
		{"operator", "GET", "/v1/documents/1", "", 200, `"night-shift"`},
		{"operator", "GET", "/v1/documents/7", "", 404, "not known here"},
		{"", "POST", "/v1/withdrawals", `{"team":"a","service":"b"}`, 403, "not the withdrawal"},
		{"operator", "GET", "/v1/requests/r1", "", 404, "doesn't remember"},
	} {
		status, text := sendRequest(t, app, tt.key, tt.method, tt.path, tt.body)
		if status != tt.status || !strings.Contains(text, tt.text) {
			t.Errorf("%s %s with key %q: %d %s, want %d %s", tt.method, tt.path, tt.key, status, text, tt.status, tt.text)
		}
	}
	c.Handle(t.Context(), coordinator.Call{ID: "r1", Key: "stolen-key", Service: "spares-app", Name: "lookup", Body: []byte(`"a prompt"`)})
	status, text := sendRequest(t, app, "operator", "GET", "/v1/requests/r1", "")
	if status != 200 || !strings.Contains(text, "No team in the document in force has this key") {
		t.Errorf("explanation: %d %s", status, text)
	}
	if strings.Contains(text, "stolen-key") || strings.Contains(text, "a prompt") {
		t.Errorf("explanation contains a key or a body: %s", text)
	}
}

func encodeDocument(t *testing.T, d validator.Document) string {
	t.Helper()
	data, err := validator.Encode(d)
	if err != nil || !json.Valid(data) {
		t.Fatal(err)
	}
	return string(data)
}

func sendRequest(t *testing.T, app *fiber.App, key, method, path, body string) (int, string) {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := app.Test(r, fiber.TestConfig{Timeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}
