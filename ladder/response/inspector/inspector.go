// Package inspector checks the responses on a client's connection before the client parses them.
package inspector

import (
	"io"

	"github.com/pkg/errors"
)

// ErrEndUnknown means that a connection has ended after the write of a request had failed, so that
// a response which only that end could end may be cut.
var ErrEndUnknown = errors.New("response may be cut, since its request could not be sent completely")

// Reader reads the responses on one connection. Each request must have been written, or have failed,
// before its response is read.
//
// A server that closes a connection with unread bytes resets it. Systems report the reset once: if
// the write of the request gets the error, then reads return what has arrived and io.EOF, as at an
// end in order. A response with a length or a last chunk shows by itself that it is whole.
type Reader struct {
	source io.Reader
	// requestErr is the error of writing the last request.
	requestErr error
}

// NewReader returns a Reader of the responses that source delivers.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// EndRequest must be called when a request has been written, with the error of doing so.
func (r *Reader) EndRequest(err error) { r.requestErr = err }

// Read implements io.Reader. It returns ErrEndUnknown in place of io.EOF if the request could not be
// written.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if errors.Is(err, io.EOF) && r.requestErr != nil {
		err = errors.Wrap(ErrEndUnknown, r.requestErr.Error())
	}
	return n, err
}
