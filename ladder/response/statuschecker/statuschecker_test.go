package statuschecker

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/faker/spoiler"
)

// Guards against a status that is not one of HTTP, whichever way a response is read.
func TestCheck_EachStatus(t *testing.T) {
	for text, valid := range spoiler.Statuses {
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
