package caller

import (
	"bufio"
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
)

// fasthttp can send a request a second time when the server closes a reused
// connection before it answers. A call that may run only
// once must never meet that, so retries are off here. Each call has a
// connection of its own while it lasts: closing it is the one way to abandon
// a stream, and no answer can reach another call.

const (
	// maxIdle is short: a target may close an idle connection at any time.
	maxIdle = time.Second
	// maxIdleClients bounds the connections kept for reuse.
	maxIdleClients = 64
	// maxLineBytes bounds one event of an engine's stream.
	maxLineBytes = 1 << 20
	// maxAnswerBytes bounds a body: a target in trouble may send one without end.
	maxAnswerBytes = 8 << 20
	// requestIDHeader names the request to the target.
	requestIDHeader = "X-Request-Id"
	// dialTimeout bounds a connect to the target on the same host.
	dialTimeout = 2 * time.Second
)

// HTTPTarget is a Target that speaks HTTPTarget with JSON.
type HTTPTarget struct {
	address string
	engine  bool

	mutex sync.Mutex
	// idle clients have no call in progress.
	idle []*client
}

// client is a connection and what speaks on it.
type client struct {
	http fasthttp.HostClient
	// connection is the one in use, if any.
	mutex      sync.Mutex
	connection net.Conn
}

// NewHTTPTarget returns a Target at address, IP:port. An engine answers with a
// stream of events, a plain service with a body.
func NewHTTPTarget(address string, engine bool) *HTTPTarget {
	return &HTTPTarget{address: address, engine: engine}
}

type generation struct {
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
	if err := h.fill(request, w); err != nil {
		return 0, errors.WithMessage(ErrRefused, err.Error())
	}
	c := h.take()
	stop := context.AfterFunc(ctx, c.abort)
	err = c.http.Do(request, response)
	if err != nil && !errors.Is(err, ErrRefused) {
		err = errors.WithMessage(ErrIncomplete, err.Error())
	}
	if err == nil {
		status = response.StatusCode()
		err = h.read(response, status, sink)
	}
	if stop() && err == nil {
		h.give(c)
	} else {
		c.abort()
	}
	return status, err
}

func (h *HTTPTarget) fill(request *fasthttp.Request, w Work) error {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(requestIDHeader, string(w.Request))
	if !h.engine {
		request.SetRequestURI("http://" + h.address + "/calls/" + string(w.Call))
		request.SetBody(w.Body)
		return nil
	}
	request.SetRequestURI("http://" + h.address + "/generate")
	body, err := json.Marshal(generation{Request: w.Request, Priority: w.Priority, Body: w.Body})
	request.SetBody(body)
	return err
}

// read hands the answer to sink. Its errors say whether the work may have run.
func (h *HTTPTarget) read(response *fasthttp.Response, status int, sink func(Chunk) error) error {
	defer response.CloseBodyStream()
	if status == fasthttp.StatusTooManyRequests || (h.engine && status == fasthttp.StatusServiceUnavailable) {
		return errors.WithMessagef(ErrRefused, "status %d", status)
	}
	if h.engine && status == fasthttp.StatusOK {
		return readEvents(response.BodyStream(), sink)
	}
	body, err := limitreader.ReadAll(response.BodyStream(), maxAnswerBytes)
	if err != nil {
		return errors.WithMessage(ErrIncomplete, err.Error())
	}
	if n := response.Header.ContentLength(); n >= 0 && n != len(body) {
		return errors.WithMessagef(ErrIncomplete, "%d of %d bytes", len(body), n)
	}
	return sink(Chunk{Data: body})
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
	return h.order(ctx, "/cancel", struct {
		Request identifier.RequestID `json:"request-id"`
	}{request})
}

// Load implements Target.
func (h *HTTPTarget) Load(ctx context.Context, o WeightCommand) error {
	return h.order(ctx, "/load", o)
}

// Switch implements Target.
func (h *HTTPTarget) Switch(ctx context.Context, o WeightCommand) error {
	return h.order(ctx, "/switch", o)
}

// State implements Target.
func (h *HTTPTarget) State(ctx context.Context) (s State, err error) {
	defer annotator.Annotate(&err, "state of target %s", h.address)
	body, status, err := h.exchange(ctx, fasthttp.MethodGet, "/state", nil)
	if err != nil {
		return s, err
	}
	if status != fasthttp.StatusOK {
		return s, errors.Errorf("status %d", status)
	}
	return s, json.Unmarshal(body, &s)
}

func (h *HTTPTarget) order(ctx context.Context, path string, v any) (err error) {
	defer annotator.Annotate(&err, "order %s to target %s", path, h.address)
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	body, status, err := h.exchange(ctx, fasthttp.MethodPost, path, data)
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

func (h *HTTPTarget) exchange(ctx context.Context, method, path string, data []byte) ([]byte, int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + h.address + path)
	request.SetBody(data)
	c := h.take()
	stop := context.AfterFunc(ctx, c.abort)
	err := c.http.Do(request, response)
	var body []byte
	if err == nil {
		body, err = limitreader.ReadAll(response.BodyStream(), maxAnswerBytes)
		response.CloseBodyStream()
	}
	if stop() && err == nil {
		h.give(c)
	} else {
		c.abort()
	}
	return body, response.StatusCode(), err
}

func (h *HTTPTarget) take() *client {
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
		MaxIdleConnDuration:       maxIdle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
	}
	return c
}

func (h *HTTPTarget) give(c *client) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.idle) < maxIdleClients {
		h.idle = append(h.idle, c)
		return
	}
	c.abort()
}

func (c *client) dial(address string) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.WithMessage(ErrRefused, err.Error())
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connection = connection
	return connection, nil
}

func (c *client) abort() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connection != nil {
		_ = c.connection.Close()
	}
}
