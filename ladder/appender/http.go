package appender

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
)

const (
	// appendTimeout bounds an append; after it the outcome is unknown.
	appendTimeout = 3 * time.Second
	// pollTime is how long the service holds a read that has no records to return.
	pollTime = 2 * time.Second
	// readTimeout bounds a read.
	readTimeout = pollTime + 3*time.Second
)

// HTTPLog is a client of the platform's log over HTTP.
type HTTPLog struct{ requester *requester.Requester }

// NewHTTPLog returns a client of the log at address, IP:port.
func NewHTTPLog(address string) *HTTPLog {
	return &HTTPLog{requester: requester.New(address, "")}
}

// AppendRequest is the body of POST /streams/{stream}/records.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the body of the response.
type AppendResponse struct {
	First identifier.LogOffset `json:"first-offset"`
}

// Append implements Log.
func (h *HTTPLog) Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (first identifier.LogOffset, err error) {
	defer annotator.Annotate(&err, "append to %s", stream)
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	response, err := h.requester.Do(ctx, fasthttp.MethodPost, "/streams/"+string(stream)+"/records", AppendRequest{Records: records})
	switch {
	case errors.Is(err, requester.ErrNotSent):
		return 0, errors.WithMessage(ErrUnavailable, err.Error())
	case err != nil:
		return 0, errors.WithMessage(ErrOutcomeUnknown, err.Error())
	case response.Status == fasthttp.StatusServiceUnavailable || response.Status == fasthttp.StatusTooManyRequests:
		return 0, errors.WithMessagef(ErrUnavailable, "status %d", response.Status)
	case response.Status != fasthttp.StatusOK:
		return 0, errors.WithMessagef(ErrOutcomeUnknown, "status %d", response.Status)
	}
	var appended AppendResponse
	if err := json.Unmarshal(response.Body, &appended); err != nil {
		return 0, errors.WithMessage(ErrOutcomeUnknown, err.Error())
	}
	return appended.First, nil
}

// Read implements Log.
func (h *HTTPLog) Read(ctx context.Context, stream identifier.StreamName, from identifier.LogOffset, limit int) (p Page, err error) {
	defer annotator.Annotate(&err, "read %s from %d", stream, from)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	path := fmt.Sprintf("/streams/%s/records?from=%d&limit=%d&wait-ms=%d", stream, from, limit, pollTime.Milliseconds())
	return p, h.requester.DoJSON(ctx, fasthttp.MethodGet, path, nil, &p)
}
