package lister

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/requester"
)

// listTimeout bounds a read of the list.
const listTimeout = 3 * time.Second

// HTTP is the platform's host list over HTTP.
type HTTP struct{ requester *requester.Requester }

// NewHTTP returns the list at address, IP:port.
func NewHTTP(address string) *HTTP {
	return &HTTP{requester: requester.New(address, "")}
}

// Hosts implements HostList.
func (h *HTTP) Hosts(ctx context.Context) (hosts []Host, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return hosts, h.requester.Into(ctx, fasthttp.MethodGet, "/hosts", nil, &hosts)
}
