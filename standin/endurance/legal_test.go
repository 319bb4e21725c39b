package endurance

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// largestDocumentBytes is the largest body that operators may send.
	largestDocumentBytes = 8 << 20
	// legalHangTimeout only ends hung tests.
	legalHangTimeout = time.Minute
)

// sendSteadily sends a request in pieces with pauses and returns the status of the
// response.
func sendSteadily(t *testing.T, address, path, key, body string) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // the response has been read
	if err := c.SetDeadline(time.Now().Add(legalHangTimeout)); err != nil {
		t.Fatal(err)
	}
	text := "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	go func() {
		const pieces = 100
		for size := 1 + len(text)/pieces; len(text) > 0; time.Sleep(20 * time.Millisecond) {
			n := min(len(text), size)
			if _, err := io.WriteString(c, text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }() // it has been read
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Error(err)
	}
	return r.StatusCode
}

// Guards against limits that refuse the largest legal bodies, sent slowly but steadily,
// and against larger ones that are accepted.
func TestLargestBodiesAreServed(t *testing.T) {
	s := newSystem(t)
	d := document()
	d.Base = 1
	text, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	large := string(text) + strings.Repeat(" ", largestDocumentBytes-len(text))
	for name, c := range map[string]struct {
		address, path, key, body string
		want                     int
	}{
		"call":               {s.listen, callPath, teamKey, string(calls.Body), http.StatusOK},
		"call too large":     {s.listen, callPath, teamKey, string(calls.Body) + " ", http.StatusRequestEntityTooLarge},
		"document":           {s.operators, "/v1/documents", operatorKey, large, http.StatusOK},
		"document too large": {s.operators, "/v1/documents", operatorKey, large + " ", http.StatusRequestEntityTooLarge},
	} {
		if status := sendSteadily(t, c.address, c.path, c.key, c.body); status != c.want {
			t.Errorf("%s: status %d, want %d", name, status, c.want)
		}
	}
	if !s.entry.alive() {
		t.Error("the process has ended")
	}
}
