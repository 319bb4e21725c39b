package caller

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
)

// callOf makes a call of the named kind; kinds other than state and command are work.
func callOf(t *testing.T, h *HTTPTarget, kind string) (err error) {
	switch kind {
	case "state":
		_, err = h.State(t.Context())
	case "command":
		err = h.Load(t.Context(), WeightCommand{})
	default:
		_, err = h.Do(t.Context(), Work{Request: "r", Call: "c", Body: []byte("{}")}, discard)
	}
	return err
}

// Guards against a response with a status that is not one of HTTP, which the HTTP client reports
// as 200.
func TestHTTPTarget_InvalidStatus(t *testing.T) {
	const events = "data: {\"text\":\"a\",\"tokens\":1}\n\ndata: {\"done\":true}\n\n"
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, c := range map[string]struct {
			engine bool
			body   string
		}{"plain": {false, "body"}, "engine": {true, events}, "state": {true, `{}`}, "command": {true, ""}} {
			t.Run(status+" "+name, func(t *testing.T) {
				text := fmt.Sprintf("HTTP/1.1 %s x\r\nContent-Length: %d\r\n\r\n%s", status, len(c.body), c.body)
				h := NewHTTPTarget(newBackend(t, respondWith(text)).address, c.engine)
				err := callOf(t, h, name)
				if isWork := name == "plain" || name == "engine"; isWork && !errors.Is(err, ErrIncomplete) {
					t.Errorf("%v, want ErrIncomplete: the work may have run", err)
				}
				if err == nil {
					t.Error("the response is believed")
				}
			})
		}
	}
}

// Guards against a response that ends early and is believed, on each path.
func TestHTTPTarget_TornHead(t *testing.T) {
	const body = `{"models":{}}`
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	whole := head + body
	for n := 0; n < len(whole); n += 5 {
		for _, name := range []string{"plain", "engine", "state", "command"} {
			t.Run(fmt.Sprintf("%s after %d bytes", name, n), func(t *testing.T) {
				h := NewHTTPTarget(newBackend(t, respondWith(whole[:n])).address, name != "plain")
				if err := callOf(t, h, name); err == nil {
					t.Error("the response is believed")
				}
			})
		}
	}
}
