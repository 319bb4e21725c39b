// Package requester makes short HTTP exchanges with JSON, for the platform's
// services and for clients of an entry.
package requester

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
)

// defaultTimeout bounds an exchange whose ctx has no deadline.
const defaultTimeout = 30 * time.Second

// ErrNotSent says that the request surely had no effect.
var ErrNotSent = errors.New("request not sent")

// Requester talks to one address.
type Requester struct {
	base   string
	bearer string
	client fasthttp.Client
}

// New returns a Requester for address, IP:port. An empty bearer sends no
// Authorization header.
func New(address, bearer string) *Requester {
	return &Requester{
		base: "http://" + address, bearer: bearer,
		client: fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdleConnDuration:       time.Second,
		},
	}
}

// Response is a whole HTTP answer.
type Response struct {
	Status int
	Body   []byte
	// RetryAfter is the Retry-After header, 0 if there is none.
	RetryAfter time.Duration
}

// Do sends v (nil for no body) as JSON and returns the answer, whatever its
// status. It ends when ctx does.
func (r *Requester) Do(ctx context.Context, method, path string, v any) (a Response, err error) {
	defer annotator.Annotate(&err, "%s %s%s", method, r.base, path)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(r.base + path)
	if r.bearer != "" {
		request.Header.Set("Authorization", "Bearer "+r.bearer)
	}
	if v != nil {
		data, err := json.Marshal(v)
		if err != nil {
			return a, err
		}
		request.Header.SetContentType("application/json")
		request.SetBody(data)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if ctx.Err() != nil {
		return a, ctx.Err()
	}
	if err := r.client.DoDeadline(request, response, deadline); err != nil {
		var dial *fasthttp.ErrDialWithUpstream
		if errors.As(err, &dial) {
			return a, errors.WithMessage(ErrNotSent, err.Error())
		}
		return a, err
	}
	a.Status = response.StatusCode()
	a.Body = append([]byte(nil), response.Body()...)
	a.RetryAfter = retryAfter(response)
	return a, nil
}

// DoJSON is Do for an answer of status 200 with a JSON body, decoded into out.
func (r *Requester) DoJSON(ctx context.Context, method, path string, v, out any) error {
	a, err := r.Do(ctx, method, path, v)
	if err != nil {
		return err
	}
	if a.Status != fasthttp.StatusOK {
		return errors.Errorf("%s %s%s: status %d: %s", method, r.base, path, a.Status, a.Body)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(a.Body, out), "%s %s%s", method, r.base, path)
}

func retryAfter(response *fasthttp.Response) time.Duration {
	seconds, err := time.ParseDuration(string(response.Header.Peek("Retry-After")) + "s")
	if err != nil {
		return 0
	}
	return seconds
}
