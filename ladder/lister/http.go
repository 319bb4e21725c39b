package lister

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/requester"
)

// listTimeout bounds a read of the list.
const listTimeout = 3 * time.Second

// HTTPHostList reads the platform's host list over HTTP.
type HTTPHostList struct{ requester *requester.Requester }

// NewHTTPHostList returns the list at address, which is IP:port.
func NewHTTPHostList(address string) *HTTPHostList {
	return &HTTPHostList{requester: requester.New(address, "")}
}

// Hosts implements HostList.
func (h *HTTPHostList) Hosts(ctx context.Context) (hosts []Host, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return hosts, h.requester.DoJSON(ctx, fasthttp.MethodGet, "/hosts", nil, &hosts)
}
