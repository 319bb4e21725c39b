package requester

import (
	"net/http"
	"strings"
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/faker/listener"
	"github.com/lycheeladder/lycheeladder/ladder/faker/spoiler"
)

const validResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"

// Guards against a response of the log or of an entry that is believed though its head or trailer
// section has a line that is no field.
func TestDo_MalformedField(t *testing.T) {
	check := func(what, text string, believed bool) {
		t.Helper()
		r, err := New(listener.NewAnswering(t, text), "").Do(t.Context(), http.MethodPost, "/x", nil)
		if believed != (err == nil) {
			t.Errorf("%s: status %d, %q, %v", what, r.Status, r.Body, err)
		}
	}
	check("well-formed", validResponse, true)
	check("well-formed, in chunks", spoiler.InChunks(validResponse, "X-A: b\r\n"), true)
	responses := spoiler.Spoil(validResponse)
	for what, text := range responses.Heads {
		check(what, text, false)
	}
	for what, text := range responses.Trailers {
		check(what+", in a trailer", text, false)
	}
}

// Guards against a part of a response that passes for a whole one, as the server has reset the
// connection while the request was being written.
func TestDo_AnswerDuringUpload(t *testing.T) {
	for how, closing := range listener.Closings {
		for _, status := range []string{"200 OK", "503 Full"} {
			address := listener.NewEarly(t, "HTTP/1.1 "+status+"\r\nContent-Type: application/json\r\n\r\n{}", closing)
			r, err := New(address, "").Do(t.Context(), http.MethodPost, "/x", strings.Repeat("x", listener.UploadBytes))
			if err == nil {
				t.Errorf("%s: status %d, %q", how, r.Status, r.Body)
			}
		}
	}
}
