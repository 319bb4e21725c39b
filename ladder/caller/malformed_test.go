package caller

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/faker/listener"
	"github.com/lycheeladder/lycheeladder/ladder/faker/spoiler"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// bodies has the body of a response that is believed for each kind of call.
var bodies = map[string]string{
	"plain": "body", "engine": "data: {\"text\":\"a\",\"tokens\":1}\n\ndata: {\"done\":true}\n\n", "state": "{}", "command": "{}",
}

// Guards against a response that is believed though its head or trailer section has a line that is no
// field.
func TestHTTPTarget_MalformedField(t *testing.T) {
	for kind, body := range bodies {
		valid := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		check := func(what, text string, believed bool) {
			t.Helper()
			err := callOf(t, NewHTTPTarget(newBackend(t, respondWith(text)).address, kind != "plain"), kind)
			if believed != (err == nil) {
				t.Errorf("%s, %s: %v", kind, what, err)
			}
			if isWork := kind == "plain" || kind == "engine"; isWork && !believed && !errors.Is(err, ErrIncomplete) {
				t.Errorf("%s, %s: %v, want ErrIncomplete: the work may have run", kind, what, err)
			}
		}
		check("well-formed", valid, true)
		check("well-formed, in chunks", spoiler.InChunks(valid, "X-A: b\r\n"), true)
		responses := spoiler.Spoil(valid)
		for what, text := range responses.Heads {
			check(what, text, false)
			check(what+", refusal", strings.Replace(text, "200 OK", "429 Full", 1), false)
		}
		for what, text := range responses.Trailers {
			// An engine's stream ends with its own mark.
			check(what+", in a trailer", text, kind == "engine")
		}
	}
}

// Guards against a part of a response that passes for a whole one, as the target has reset the
// connection while the request was being written.
func TestHTTPTarget_AnswerDuringUpload(t *testing.T) {
	for how, closing := range listener.Closings {
		for _, status := range []string{"200 OK", "429 Full", "409 Fenced"} {
			for kind, body := range bodies {
				text := "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\n\r\n" + body
				h := NewHTTPTarget(listener.NewEarly(t, text, closing), kind != "plain")
				var err error
				switch kind {
				case "state":
					continue // its request has no body
				case "command":
					err = h.Load(t.Context(), WeightCommand{Model: identifier.ModelName(strings.Repeat("m", listener.UploadBytes))})
				default:
					body := `"` + strings.Repeat("x", listener.UploadBytes) + `"`
					_, err = h.Do(t.Context(), Work{Request: "r", Call: "c", Body: []byte(body)}, discard)
				}
				if err == nil || errors.Is(err, ErrRefused) || errors.Is(err, ErrFenced) {
					t.Errorf("%s, %s, %s: %v", kind, status, how, err)
				}
			}
		}
	}
}
