package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/connlimiter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/reporter"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
)

const (
	testBudget  = 4 << 20
	maxTestBody = 100_000
)

// serveBounded serves an application that answers with the length of the body, and
// returns its address.
func serveBounded(t *testing.T, b *budgeter.Budgeter) string {
	t.Helper()
	clock := clockwork.NewRealClock()
	notes := reporter.New(clock, recorder.New(), b)
	app := NewApp("test", maxTestBody)
	Bound(app, Bounds{Budgeter: b, Reporter: notes, MaxBodyBytes: maxTestBody})
	app.Post("/", func(c fiber.Ctx) error { return c.Send(Body(c)) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := connlimiter.New(clock, connlimiter.Options{Budgeter: b, Reporter: notes})
	go limiter.Run(t.Context())
	go func() { _ = Serve(t.Context(), app, limiter.Listen(l), time.Second) }()
	return l.Addr().String()
}

// Guards against bodies that are cut or read without an account, against refusals that
// say something else than what happened, and against memory that stays reserved.
func TestBound_ReadsBodiesUnderTheAccount(t *testing.T) {
	text := func(n int) string { return strings.Repeat("x", n) }
	for name, c := range map[string]struct {
		used       int64
		head, body string
		status     int
		closes     bool
	}{
		"no body":            {0, "", "", http.StatusOK, false},
		"small":              {0, "Content-Length: 4\r\n", "text", http.StatusOK, false},
		"largest":            {0, "Content-Length: 100000\r\n", text(maxTestBody), http.StatusOK, false},
		"largest in chunks":  {0, "Transfer-Encoding: chunked\r\n", "c350\r\n" + text(50_000) + "\r\nc350\r\n" + text(50_000) + "\r\n0\r\n\r\n", http.StatusOK, false},
		"too large":          {0, "Content-Length: 100001\r\n", text(100_001), http.StatusRequestEntityTooLarge, true},
		"too large in chunk": {0, "Transfer-Encoding: chunked\r\n", "186a1\r\n" + text(100_001) + "\r\n", http.StatusRequestEntityTooLarge, true},
		"no room":            {2 * testBudget, "Content-Length: 100000\r\n", text(maxTestBody), http.StatusServiceUnavailable, true},
		"room for a small":   {2 * testBudget, "Content-Length: 20000\r\n", text(20_000), http.StatusOK, false},
		"encoded":            {0, "Content-Encoding: gzip\r\nContent-Length: 4\r\n", "text", http.StatusUnsupportedMediaType, true},
		"malformed chunk":    {0, "Transfer-Encoding: chunked\r\n", "x\r\n", http.StatusBadRequest, true},
		"stalled":            {0, "Content-Length: 100000\r\n", text(50_000), http.StatusRequestTimeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := budgeter.New(clockwork.NewRealClock(), testBudget)
			b.Hold(c.used)
			before := b.Status().Held
			connection, err := net.Dial("tcp", serveBounded(t, b))
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\n"+c.head+"\r\n"+c.body) // it may be refused before its end
			}()
			r, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(r.Body)
			if err != nil || r.StatusCode != c.status || r.Close != c.closes {
				t.Errorf("status %d, closes %t, %v", r.StatusCode, r.Close, err)
			}
			if want := strings.Count(c.body, "x"); c.status == http.StatusOK && c.head != "" && len(got) != max(want, min(4, len(c.body))) {
				t.Errorf("%d bytes, want %d", len(got), want)
			}
			_ = connection.Close()
			for b.Status().Held != before {
				time.Sleep(time.Millisecond) // the test's time limit bounds it
			}
		})
	}
}
