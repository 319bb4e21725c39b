// Package inspector checks the responses on a client's connection before the client parses them.
//
// Clients differ in what they make of a malformed head, of a line without CR or of a length that
// contradicts another one. Here a response passes only if all of them read the same fields and the
// same body in it.
package inspector

import (
	"expvar"
	"io"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/response/fieldchecker"
	"github.com/lycheeladder/lycheeladder/ladder/response/statuschecker"
)

// ErrEndUnknown means that a connection has ended after the write of a request had failed, so that
// a response which only that end could end may be cut.
var ErrEndUnknown = errors.New("response may be cut, since its request could not be sent completely")

// rejected counts the rejected responses of each kind.
var rejected = expvar.NewMap("rejected-responses")

// Names of the kinds of rejected responses.
const (
	kindEndUnknown       = "end-unknown"
	kindInvalidStatus    = "invalid-status"
	kindInvalidField     = "invalid-field"
	kindMalformedFraming = "malformed-framing"
)

// kindOf returns the kind of a response that was rejected for err.
func kindOf(err error) string {
	switch {
	case errors.Is(err, ErrEndUnknown):
		return kindEndUnknown
	case errors.Is(err, statuschecker.ErrInvalid):
		return kindInvalidStatus
	case errors.Is(err, fieldchecker.ErrInvalid):
		return kindInvalidField
	default:
		return kindMalformedFraming
	}
}

// Reject counts a response that is rejected for err, and returns err.
func Reject(err error) error {
	rejected.Add(kindOf(err), 1)
	return err
}

// Reader reads the responses on one connection. A request must have been written, or have failed,
// before its response is read, and its response must have been read before the next request.
//
// A server that closes a connection with unread bytes resets it. Systems report the reset once: if
// the write of the request gets the error, then reads return what has arrived and io.EOF, as at an
// end in order. A response with a length or a last chunk shows by itself that it is whole.
type Reader struct {
	source   io.Reader
	response parser
	// requestErr is the error of writing the last request.
	requestErr error
	// err is returned by all reads after a malformed response.
	err error
}

// NewReader returns a Reader of the responses that source delivers.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// NewUpgradingReader returns a Reader of the responses to requests that ask for a protocol switch.
// What comes after the switch is not looked at.
func NewUpgradingReader(source io.Reader) *Reader {
	return &Reader{source: source, response: parser{upgrades: true}}
}

// isUpgraded reports whether the protocol has been switched.
func (r *Reader) isUpgraded() bool { return r.response.state == stateUpgraded }

// BeginRequest must be called before a request is written.
func (r *Reader) BeginRequest(method string) { r.response.begin(method) }

// EndRequest must be called when a request has been written, with the error of doing so.
func (r *Reader) EndRequest(err error) { r.requestErr = err }

// RequestErr returns the error of writing the last request.
func (r *Reader) RequestErr() error { return r.requestErr }

// EndErr returns ErrEndUnknown if only the end of the connection can end the response, whose head has
// been read, and the request could not be written. Otherwise it returns nil.
func (r *Reader) EndErr() error {
	if r.requestErr == nil || r.response.state != stateUntilClose {
		return nil
	}
	return errors.Wrap(ErrEndUnknown, r.requestErr.Error())
}

// Read implements io.Reader. It returns the bytes before the first malformed line, and then an error.
// At the end of the connection it returns ErrEndUnknown in place of io.EOF if only that end could end
// the response and the request could not be written, and io.ErrUnexpectedEOF within a response.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	valid, malformed := r.response.consume(p[:n])
	switch {
	case malformed != nil:
		r.err = Reject(malformed)
		if valid > 0 {
			return valid, nil
		}
		return 0, r.err
	case !errors.Is(err, io.EOF):
		return n, err
	case r.EndErr() != nil:
		r.err = Reject(r.EndErr())
	case r.response.isIncomplete():
		r.err = io.ErrUnexpectedEOF
	default:
		r.err = io.EOF
	}
	return n, r.err
}
