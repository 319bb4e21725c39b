// Package sender defines the interface through which requests reach a target.
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
	// ID is the caller's id of the request. A response with another id belongs
	// to a different request.
	ID     string
	Method string
	// Path is the path and query, unchanged.
	Path string
	Host string
	// Header is passed on unchanged.
	Header http.Header
	Body   []byte
	// TimeLeft limits the target's work; 0 sets no limit.
	TimeLeft time.Duration
	// ResumeAfter asks only for the events after this one.
	ResumeAfter identifier.EventNumber
	// Urgency ranks the call among those that wait at the target; 0 leaves the
	// default.
	Urgency Urgency
	// Identify asks for the start of the target that responds.
	Identify bool
	// ListedStart has the call sent only if the start at the other end is known to be the listed
	// one. It needs Identify.
	ListedStart bool
	// Account is the client account of the request; empty if it has none.
	Account identifier.AccountName
	// AccountsInForce means that the target receives Account, and neither an account that Header
	// names nor the credentials in Header.
	AccountsInForce bool
	// RequiredVersion asks for a response under this weight version only; 0
	// accepts any.
	RequiredVersion identifier.WeightVersion
}

// Urgency ranks calls from 1 to 9, with 5 as the default.
type Urgency int

// Response is what a target returned.
type Response struct {
	Status int
	// Header is passed on unchanged.
	Header http.Header
	// Body ends with io.EOF only if it is complete. Closing it earlier aborts
	// the target's work.
	Body io.ReadCloser
	// NotRun means that the target did not run the request and never will.
	NotRun bool
	// Signature is set by the target; a successful response without one
	// did not come from it.
	Signature string
	// Version is the weight version at the start of the response; 0 if none.
	Version identifier.WeightVersion
	// Load is the target's load at the start of the response; nil if not reported.
	Load *Load
	// RequestLimit is nil if the response doesn't tell whether there is a limit.
	RequestLimit *RequestLimit
	// StartID is the start of the target that has responded, 0 if it wasn't asked for or the
	// target doesn't say.
	StartID int64
	// ConfirmListedStart is set if the start was asked for and the target didn't say in time. It
	// asks again, for a limited time, and reports whether the start that was listed when the request
	// was sent is certain to have responded.
	ConfirmListedStart func(ctx context.Context) bool
	// SentAt is when the request was sent, zero if that isn't known.
	SentAt time.Time
	// StartAsked is set if the target got a request of its own for that.
	StartAsked bool
}

// RequestLimit is what a target says about the requests that it accepts.
type RequestLimit struct {
	// Limited is false if the target accepts any number of requests.
	Limited bool
	// Rate is how many requests the target accepts from all hosts together.
	Rate identifier.RequestRate
}

// Load counts the requests of a target.
type Load struct {
	Running, Waiting int
	// Places is how many requests the target runs at once; 0 if it doesn't say.
	Places int
}

// Succeeded reports whether the target has done what was asked.
func (r *Response) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// Event is one event of a streamed response.
type Event struct {
	Number identifier.EventNumber
	Data   []byte
	// Version is the weight version that produced the event if it differs from
	// that of the event before; 0 otherwise.
	Version identifier.WeightVersion
	// Raw has the bytes of the event including its terminator.
	Raw []byte
}

// ErrNotSent means that the request did not leave this process completely, so that
// the target can't have run it.
var ErrNotSent = errors.New("request not sent")

// ErrLimited means that the request was not sent because the target accepts no more
// requests for the moment.
var ErrLimited = errors.WithMessage(ErrNotSent, "the target's request limit is reached")

// ErrNoResponse means that the request was sent and may have run.
var ErrNoResponse = errors.New("no response from the target")

// ErrOtherStart means that a request for a listed start was not sent because the target has started
// again, or has not named its start in time.
var ErrOtherStart = errors.WithMessage(ErrNotSent, "the target is not known to be the listed start")

// ErrStalled is the cause with which a call is cancelled when the target has been
// silent for too long.
var ErrStalled = errors.New("target is silent")

// Cause returns ErrStalled in place of err if the call was cancelled with that
// cause. Other errors, and ErrNotSent, are returned as they are.
func Cause(ctx context.Context, err error) error {
	if err != nil && !errors.Is(err, ErrNotSent) && errors.Is(context.Cause(ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}

// Transport sends requests to targets. Its errors are ErrNotSent, ErrOtherStart and ErrNoResponse.
type Transport interface {
	Send(ctx context.Context, t cataloger.Target, c Call) (*Response, error)
	// Warm reports whether an idle connection to the target is open.
	Warm(t cataloger.Target) bool
	// Events reads the body of r as events.
	Events(r *Response) Events
}

// Sender sends requests to targets within the limits that they name. Its errors are also
// ErrLimited.
type Sender interface {
	Transport
	// Allowance returns whether a request to the target may be sent now.
	Allowance(t cataloger.Target) Allowance
}

// Allowance is what a host knows about a target's limit. The zero value means that there
// is none.
type Allowance struct {
	// Limited means that the target limits its requests, so that one may be refused with
	// ErrLimited.
	Limited bool
	// Wait is the time for which no request will be sent; 0 if one may be.
	Wait time.Duration
	// Pending counts the requests of this host that wait for a permit.
	Pending int
}

// Need says whether a request must be sent.
type Need int

const (
	// Required requests use any target that accepts one now.
	Required Need = iota
	// Optional requests are useful but not needed, such as hedges. They don't use up what
	// a limited target accepts.
	Optional
)

// Admits reports whether a request may be sent now.
func (a Allowance) Admits(n Need) bool {
	return !a.Limited || (n == Required && a.Wait == 0)
}
