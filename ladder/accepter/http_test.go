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

type addressList []string

func (a addressList) Addresses(context.Context) ([]string, error) { return a, nil }

// servePeer answers with the body on a port of its own.
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

func TestHTTPPeers_NewestOfThoseInOrder(t *testing.T) {
	first := newDocument("first", 0, 2, 1, 2)
	second := newDocument("second", 1, 3, 1, 2)
	older, _ := State{}.Apply(appender.Record{Offset: 0, Time: epoch, Data: proposal(t, nil, first)})
	newer, _ := older.Apply(appender.Record{Offset: 1, Time: epoch, Data: proposal(t, &first, second)})
	snapshot := func(s State) []byte {
		c, err := s.Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		return encoded(t, c)
	}
	garbled := snapshot(newer)
	garbled[len(garbled)-3] ^= 1
	addresses := addressList{
		servePeer(t, fasthttp.StatusOK, snapshot(older)), servePeer(t, fasthttp.StatusOK, snapshot(newer)),
		servePeer(t, fasthttp.StatusOK, garbled),
	}
	random := rand.New(rand.NewPCG(1, 1))
	got, err := NewHTTPPeers(addresses, random).State(t.Context())
	if diff := cmp.Diff(newer, got); diff != "" || err != nil {
		t.Errorf("state: %v (-want +got):\n%s", err, diff)
	}
	unready := addressList{servePeer(t, fasthttp.StatusServiceUnavailable, nil), addresses[2]}
	if s, err := NewHTTPPeers(unready, random).State(t.Context()); err == nil {
		t.Errorf("state from peers that know nothing: %+v", s)
	}
}
