package fetcher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
)

// Paths of an entry's trainer API.
const (
	PathOpen     = "/v1/trainer/open"
	PathSubmit   = "/v1/trainer/submit"
	PathFetch    = "/v1/trainer/fetch"
	PathAnnounce = "/v1/trainer/announce"
)

// LongPollTimeout is how long an entry holds a fetch for which no sample is
// ready.
const LongPollTimeout = 5 * time.Second

// callTimeout bounds each call; it is longer than LongPollTimeout.
const callTimeout = LongPollTimeout + 5*time.Second

// HTTPEntry is an Entry over HTTP.
type HTTPEntry struct{ requester *requester.Requester }

// NewHTTPEntry returns the entry at address (IP:port) for the team with the
// given key.
func NewHTTPEntry(address, key string) *HTTPEntry {
	return &HTTPEntry{requester: requester.New(address, key)}
}

// Open implements Entry.
func (h *HTTPEntry) Open(ctx context.Context, o deliverer.OpenRequest) error {
	return h.do(ctx, PathOpen, o, nil)
}

// Submit implements Entry.
func (h *HTTPEntry) Submit(ctx context.Context, s deliverer.SubmitRequest) error {
	return h.do(ctx, PathSubmit, s, nil)
}

// Fetch implements Entry.
func (h *HTTPEntry) Fetch(ctx context.Context, f deliverer.FetchRequest) (batch deliverer.Batch, err error) {
	return batch, h.do(ctx, PathFetch, f, &batch)
}

// Announce implements Entry.
func (h *HTTPEntry) Announce(ctx context.Context, a deliverer.AnnounceRequest) error {
	return h.do(ctx, PathAnnounce, a, nil)
}

func (h *HTTPEntry) do(ctx context.Context, path string, v, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := h.requester.Do(ctx, fasthttp.MethodPost, path, v)
	switch {
	case err != nil:
		return err
	case response.Status == fasthttp.StatusConflict:
		return ErrSuperseded
	case response.Status != fasthttp.StatusOK:
		return errors.WithMessagef(errUnexpectedStatus, "%s: status %d: %s", path, response.Status, response.Body)
	case out == nil:
		return nil
	}
	return json.Unmarshal(response.Body, out)
}
