package accepter

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
)

type staticAddresses []string

func (a staticAddresses) Addresses(context.Context) ([]string, error) { return a, nil }

// servePeer starts an HTTP server that always responds with status and body,
// and returns its address.
func servePeer(t *testing.T, status int, body []byte) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		c.SetStatusCode(status)
		_, _ = c.Write(body)
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

func TestHTTPPeers_ReturnsNewestValidState(t *testing.T) {
	first := newDocument("first", 0, 2, 1, 2)
	second := newDocument("second", 1, 3, 1, 2)
	older, _ := State{}.Apply(appender.Record{Offset: 0, Time: epoch, Data: mustEncodeProposal(t, nil, first)})
	newer, _ := older.Apply(appender.Record{Offset: 1, Time: epoch, Data: mustEncodeProposal(t, &first, second)})
	encodedState := func(s State) []byte {
		checkpoint, err := s.Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		return mustEncode(t, checkpoint)
	}
	corrupted := encodedState(newer)
	corrupted[len(corrupted)-3] ^= 1
	addresses := staticAddresses{
		servePeer(t, fasthttp.StatusOK, encodedState(older)), servePeer(t, fasthttp.StatusOK, encodedState(newer)),
		servePeer(t, fasthttp.StatusOK, corrupted),
	}
	random := rand.New(rand.NewPCG(1, 1))
	got, err := NewHTTPPeers(addresses, random).State(t.Context())
	if diff := cmp.Diff(newer, got); diff != "" || err != nil {
		t.Errorf("state: %v (-want +got):\n%s", err, diff)
	}
	unready := staticAddresses{servePeer(t, fasthttp.StatusServiceUnavailable, nil), addresses[2]}
	if s, err := NewHTTPPeers(unready, random).State(t.Context()); err == nil {
		t.Errorf("state from peers that have none: %+v", s)
	}
}
