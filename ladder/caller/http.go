package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limitreader"
	"github.com/lycheeladder/lycheeladder/ladder/response/inspector"
)

// fasthttp can send a request a second time when the server closes a reused
// connection before it responds. Calls that may run at most once must not be
// repeated, so retries are disabled here. Each call has a connection of its own
// while it lasts: closing it is the only way to abandon a stream, and a response
// can't reach another call.

const (
	// maxIdleTime is short because a target may close an idle connection at any time.
	maxIdleTime = time.Second
	// maxIdleClients bounds the connections kept for reuse.
	maxIdleClients = 64
	// maxLineBytes bounds one event of an engine's stream.
	maxLineBytes = 1 << 20
	// maxBodyBytes bounds a body, since a faulty target may send an endless one.
	maxBodyBytes = 8 << 20
	// requestIDHeader passes the request's id to the target.
	requestIDHeader = "X-Request-Id"
	// dialTimeout bounds connecting to the target, which runs on the same host.
	dialTimeout = 2 * time.Second
)

// HTTPTarget is a Target that speaks HTTP with JSON.
type HTTPTarget struct {
	address string
	engine  bool

	mutex sync.Mutex
	// idle has the clients without a call in progress.
	idle []*client
}

// client is one connection and the HTTP client that uses it.
type client struct {
	http  fasthttp.HostClient
	mutex sync.Mutex
	// connection is the current one, if any.
	connection net.Conn
}

// NewHTTPTarget returns a Target at address, which is IP:port. An engine responds
// with a stream of events, a plain service with a body.
func NewHTTPTarget(address string, engine bool) *HTTPTarget {
	return &HTTPTarget{address: address, engine: engine}
}

type generateRequest struct {
	Request  identifier.RequestID `json:"request-id"`
	Priority int                  `json:"priority"`
	Body     json.RawMessage      `json:"body"`
}

// event is one event of an engine's stream.
type event struct {
	Text    string                   `json:"text"`
	Tokens  identifier.TokenCount    `json:"tokens"`
	Version identifier.WeightVersion `json:"version"`
	Done    bool                     `json:"done"`
}

// Do implements Target.
func (h *HTTPTarget) Do(ctx context.Context, w Work, sink func(Chunk) error) (status int, err error) {
	defer annotator.Annotate(&err, "call %s of target %s", w.Call, h.address)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := h.buildRequest(request, w); err != nil {
		return 0, errors.WithMessage(ErrRefused, err.Error())
	}
	c := h.acquireClient()
	stop := context.AfterFunc(ctx, c.closeConnection)
	err = c.http.Do(request, response)
	if err != nil && !errors.Is(err, ErrRefused) {
		err = errors.WithMessage(ErrIncomplete, err.Error())
	}
	if err == nil {
		status = response.StatusCode()
		err = h.readResponse(response, status, sink)
	}
	if stop() && err == nil {
		h.releaseClient(c)
	} else {
		c.closeConnection()
	}
	return status, err
}

func (h *HTTPTarget) buildRequest(request *fasthttp.Request, w Work) error {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(requestIDHeader, string(w.Request))
	if !h.engine {
		request.SetRequestURI("http://" + h.address + "/calls/" + string(w.Call))
		request.SetBody(w.Body)
		return nil
	}
	request.SetRequestURI("http://" + h.address + "/generate")
	body, err := json.Marshal(generateRequest{Request: w.Request, Priority: w.Priority, Body: w.Body})
	request.SetBody(body)
	return err
}

// readResponse passes the response's body to sink. It returns ErrRefused if the work
// has not run and ErrIncomplete if it may have run.
func (h *HTTPTarget) readResponse(response *fasthttp.Response, status int, sink func(Chunk) error) error {
	defer response.CloseBodyStream()
	if status == fasthttp.StatusTooManyRequests || (h.engine && status == fasthttp.StatusServiceUnavailable) {
		return errors.WithMessagef(ErrRefused, "status %d", status)
	}
	if h.engine && status == fasthttp.StatusOK {
		return readEvents(bodyOf(response), sink)
	}
	body, err := limitreader.ReadAll(bodyOf(response), maxBodyBytes)
	if err != nil {
		return errors.WithMessage(ErrIncomplete, err.Error())
	}
	if n := response.Header.ContentLength(); n >= 0 && n != len(body) {
		return errors.WithMessagef(ErrIncomplete, "%d of %d bytes", len(body), n)
	}
	return sink(Chunk{Data: body})
}

// bodyOf returns the body of a response; the client gives no stream for one without a body.
func bodyOf(response *fasthttp.Response) io.Reader {
	if stream := response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(nil)
}

func readEvents(r io.Reader, sink func(Chunk) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if len(line) < 6 || string(line[:6]) != "data: " {
			continue
		}
		var e event
		if err := json.Unmarshal(line[6:], &e); err != nil {
			return errors.WithMessage(ErrIncomplete, err.Error())
		}
		if e.Done {
			return nil
		}
		if err := sink(Chunk{Data: []byte(e.Text), Tokens: e.Tokens, Version: e.Version}); err != nil {
			return errors.WithMessage(ErrIncomplete, err.Error())
		}
	}
	return errors.WithMessagef(ErrIncomplete, "stream ended early: %v", scanner.Err())
}

// Cancel implements Target.
func (h *HTTPTarget) Cancel(ctx context.Context, request identifier.RequestID) error {
	return h.postCommand(ctx, "/cancel", struct {
		Request identifier.RequestID `json:"request-id"`
	}{request})
}

// Load implements Target.
func (h *HTTPTarget) Load(ctx context.Context, command WeightCommand) error {
	return h.postCommand(ctx, "/load", command)
}

// Switch implements Target.
func (h *HTTPTarget) Switch(ctx context.Context, command WeightCommand) error {
	return h.postCommand(ctx, "/switch", command)
}

// State implements Target.
func (h *HTTPTarget) State(ctx context.Context) (s State, err error) {
	defer annotator.Annotate(&err, "state of target %s", h.address)
	body, status, err := h.roundTrip(ctx, fasthttp.MethodGet, "/state", nil)
	if err != nil {
		return s, err
	}
	if status != fasthttp.StatusOK {
		return s, errors.Errorf("status %d", status)
	}
	return s, json.Unmarshal(body, &s)
}

func (h *HTTPTarget) postCommand(ctx context.Context, path string, v any) (err error) {
	defer annotator.Annotate(&err, "command %s to target %s", path, h.address)
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	body, status, err := h.roundTrip(ctx, fasthttp.MethodPost, path, data)
	switch {
	case err != nil:
		return err
	case status == fasthttp.StatusConflict:
		return ErrFenced
	case status != fasthttp.StatusOK:
		return errors.Errorf("status %d: %s", status, strconv.Quote(string(body)))
	}
	return nil
}

func (h *HTTPTarget) roundTrip(ctx context.Context, method, path string, data []byte) ([]byte, int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + h.address + path)
	request.SetBody(data)
	c := h.acquireClient()
	stop := context.AfterFunc(ctx, c.closeConnection)
	err := c.http.Do(request, response)
	var body []byte
	if err == nil {
		body, err = limitreader.ReadAll(bodyOf(response), maxBodyBytes)
		response.CloseBodyStream()
	}
	if stop() && err == nil {
		h.releaseClient(c)
	} else {
		c.closeConnection()
	}
	return body, response.StatusCode(), err
}

func (h *HTTPTarget) acquireClient() *client {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c
	}
	c := &client{}
	c.http = fasthttp.HostClient{
		Addr:                      h.address,
		Dial:                      c.dial,
		MaxConns:                  1,
		MaxIdleConnDuration:       maxIdleTime,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
	}
	return c
}

func (h *HTTPTarget) releaseClient(c *client) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.idle) < maxIdleClients {
		h.idle = append(h.idle, c)
		return
	}
	c.closeConnection()
}

func (c *client) dial(address string) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.WithMessage(ErrRefused, err.Error())
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connection = connection
	return inspector.Wrap(connection), nil
}

func (c *client) closeConnection() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connection != nil {
		_ = c.connection.Close()
	}
}
