// Package requester makes short HTTP requests with JSON bodies, to the
// platform's services and to entries.
package requester

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/response/inspector"
)

const (
	// defaultTimeout bounds a request whose ctx has no deadline.
	defaultTimeout = 30 * time.Second
	// maxResponseBytes bounds the body of a response, since a faulty server may send an endless
	// one. The largest is a trainer's batch of 1,024 samples.
	maxResponseBytes = 256 << 20
)

// ErrNotSent means that the request certainly had no effect.
var ErrNotSent = errors.New("request not sent")

// Requester is an HTTP client for one address.
type Requester struct {
	baseURL string
	bearer  string
	client  fasthttp.Client
}

// New returns a Requester for address (IP:port). With an empty bearer no
// Authorization header is sent.
func New(address, bearer string) *Requester {
	return &Requester{
		baseURL: "http://" + address, bearer: bearer,
		client: fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdleConnDuration:       time.Second,
			MaxResponseBodySize:       maxResponseBytes,
			Dial:                      dial,
		},
	}
}

func dial(address string) (net.Conn, error) {
	c, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return inspector.Wrap(c), nil
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Body   []byte
	// RetryAfter is the value of the Retry-After header, 0 if there is none.
	RetryAfter time.Duration
}

// Do sends v as JSON, or no body if v is nil, and returns the response whatever
// its status. The deadline of ctx bounds the request.
func (r *Requester) Do(ctx context.Context, method, path string, v any) (result Response, err error) {
	defer annotator.Annotate(&err, "%s %s%s", method, r.baseURL, path)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(r.baseURL + path)
	if r.bearer != "" {
		request.Header.Set("Authorization", "Bearer "+r.bearer)
	}
	if v != nil {
		data, err := json.Marshal(v)
		if err != nil {
			return result, err
		}
		request.Header.SetContentType("application/json")
		request.SetBody(data)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if ctx.Err() != nil {
		return result, ctx.Err()
	}
	if err := r.client.DoDeadline(request, response, deadline); err != nil {
		var dial *fasthttp.ErrDialWithUpstream
		if errors.As(err, &dial) {
			return result, errors.WithMessage(ErrNotSent, err.Error())
		}
		return result, err
	}
	result.Status = response.StatusCode()
	result.Body = append([]byte(nil), response.Body()...)
	result.RetryAfter = retryAfter(response)
	return result, nil
}

// DoJSON is like Do, but requires status 200 and decodes the JSON body into
// out, if out is not nil.
func (r *Requester) DoJSON(ctx context.Context, method, path string, v, out any) error {
	response, err := r.Do(ctx, method, path, v)
	if err != nil {
		return err
	}
	if response.Status != fasthttp.StatusOK {
		return errors.Errorf("%s %s%s: status %d: %s", method, r.baseURL, path, response.Status, response.Body)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(response.Body, out), "%s %s%s", method, r.baseURL, path)
}

func retryAfter(response *fasthttp.Response) time.Duration {
	seconds, err := time.ParseDuration(string(response.Header.Peek("Retry-After")) + "s")
	if err != nil {
		return 0
	}
	return seconds
}
