package statuschecker

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// responses maps what a server sends to whether it is a valid response.
var responses = map[string]bool{
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                                                 true,
	"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n":                                                                    true,
	"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n":                                                                true,
	"HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\nbody": true,
	"HTTP/1.1 000 OK\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                    false,
	"HTTP/1.1 099 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                                                               false,
	"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                                              false,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n":                                                         false,
	"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n":                                                                false,
	"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n":                                                                false,
}

// Guards against a status that is not one of HTTP, whichever way a response is read.
func TestCheck_EachStatus(t *testing.T) {
	for text, valid := range responses {
		r := bufio.NewReader(strings.NewReader(text))
		var err error
		for interim := true; interim && err == nil; {
			var response *http.Response
			if response, err = http.ReadResponse(r, nil); err != nil {
				t.Fatal(err)
			}
			interim, err = Check(response)
		}
		if valid != (err == nil) {
			t.Errorf("%q: %v", text, err)
		}
	}
	interim := &http.Response{StatusCode: http.StatusEarlyHints, Header: http.Header{"Content-Length": {"5"}}}
	if _, err := Check(interim); !errors.Is(err, ErrInvalid) {
		t.Errorf("an interim response with a body: %v", err)
	}
}
