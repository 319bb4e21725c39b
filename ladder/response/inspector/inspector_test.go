package inspector

import (
	"io"
	"strings"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// Guards against an end that passes for one in order, as the write of the request has had the error.
func TestReader_EndAfterAFailedWrite(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\npart"
	for _, requestErr := range []error{nil, syscall.ECONNRESET} {
		r := NewReader(strings.NewReader(text))
		r.EndRequest(requestErr)
		got, err := io.ReadAll(r)
		if string(got) != text || errors.Is(err, ErrEndUnknown) != (requestErr != nil) {
			t.Errorf("after %v: %q, %v", requestErr, got, err)
		}
	}
}
