package requester

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/faker/listener"
)

// Guards against a response of the log or of an entry with a status that is not one of HTTP.
func TestDo_InvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		address := listener.NewAnswering(t, fmt.Sprintf("HTTP/1.1 %s x\r\nContent-Length: 2\r\n\r\n{}", status))
		if r, err := New(address, "").Do(t.Context(), http.MethodPost, "/x", nil); err == nil {
			t.Errorf("status %s is taken for %d", status, r.Status)
		}
	}
}

// Guards against a response that ends early and is believed.
func TestDo_TornHead(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	for n := range len(whole) {
		if r, err := New(listener.NewAnswering(t, whole[:n]), "").Do(t.Context(), http.MethodPost, "/x", nil); err == nil {
			t.Errorf("after %d bytes: status %d, body %q", n, r.Status, r.Body)
		}
	}
}

// Guards against memory that a response without an end fills.
func TestDo_BytesWithoutEnd(t *testing.T) {
	// scale makes the limit one that the server reaches.
	const scale, maxWrittenBytes = 16, 48 << 20
	for name, c := range map[string]struct{ beginning, part string }{
		"not HTTP":     {"", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
		"interim":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"status line":  {"HTTP/1.1 200 ", "OK"},
		"body":         {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := listener.NewEndless(t, c.beginning, c.part)
			e.EndsInTime(t, maxWrittenBytes, func(ctx context.Context) error {
				r := New(e.Address, "")
				r.client.MaxResponseBodySize /= scale
				_, err := r.Do(ctx, http.MethodPost, "/x", nil)
				return err
			})
		})
	}
}
