package connlimiter

import (
	"context"
	"net"
	"net/http"
)

type contextKey struct{}

// ConnContext is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request, or nil if it is not bounded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// ConnState is for http.Server.ConnState.
func ConnState(inner net.Conn, s http.ConnState) {
	c, ok := inner.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.HeadDone()
	case http.StateIdle:
		c.RequestDone()
	default:
	}
}
