// Package sender is the port through which work and orders reach a target.
package sender

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Call is one attempt at a request.
type Call struct {
	// ID is the caller's own id of the request. An answer with another id
	// belongs to somebody else.
	ID     string
	Method string
	// Path is the path and query, unchanged.
	Path string
	Host string
	// Header is carried unchanged.
	Header http.Header
	Body   []byte
	// TimeLeft bounds the target's work; 0 sets no bound.
	TimeLeft time.Duration
	// ResumeAfter asks for the events after this one.
	ResumeAfter identifier.EventNumber
	// Urgency is among what waits at the target; 0 is the usual one.
	Urgency Urgency
	// RequiredVersion asks for an answer under this version of the weights alone;
	// 0 takes any.
	RequiredVersion identifier.WeightVersion
}

// Urgency says what goes first, from 1 to 9, and 5 is the usual one.
type Urgency int

// Response is what a target returned.
type Response struct {
	Status int
	// Header is carried unchanged.
	Header http.Header
	// Body ends with io.EOF only if it is whole. Closing it before its end
	// breaks off the target's work.
	Body io.ReadCloser
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Signature is the target's; an answer of success without one is not
	// the target's.
	Signature string
	// Version is of the weights at the start of the answer; 0 is none.
	Version identifier.WeightVersion
	// Load is the target's word on its load at the start of the answer; nil if
	// it tells none.
	Load *Load
}

// Load counts the requests of a target.
type Load struct{ Running, Waiting int }

// Succeeded says whether the target has done what was asked.
func (a *Response) Succeeded() bool { return a.Status >= 200 && a.Status < 300 }

// Event is one event of a streamed answer.
type Event struct {
	Number identifier.EventNumber
	Data   []byte
	// Version is of the weights that made it, where it differs from the event
	// before; 0 otherwise.
	Version identifier.WeightVersion
	// Raw has the event's bytes with its end.
	Raw []byte
}

// Events reads the events of an answer's body.
type Events interface {
	// Next returns io.EOF only after the last event of a whole answer.
	Next() (Event, error)
}

// ErrNotSent says that the request has not left this process whole, so that
// the target can't have run it.
var ErrNotSent = errors.New("request not sent")

// ErrNoResponse says that the request was sent and may have run.
var ErrNoResponse = errors.New("no answer of the target")

// ErrStalled is the cause that ends a call to a target that has been silent for too
// long.
var ErrStalled = errors.New("target is silent")

// Cause returns ErrStalled in place of the error of a call that was ended for it, and
// err otherwise. A call that was not sent stays one.
func Cause(ctx context.Context, err error) error {
	if err != nil && !errors.Is(err, ErrNotSent) && errors.Is(context.Cause(ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}

// Sender reaches targets. Its errors are ErrNotSent and ErrNoAnswer.
type Sender interface {
	Send(ctx context.Context, t cataloger.Target, c Call) (*Response, error)
	// Warm says whether a connection to the target is open and idle.
	Warm(t cataloger.Target) bool
	// Events reads a's body as events.
	Events(a *Response) Events
}
