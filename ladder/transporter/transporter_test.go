package transporter

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// limit bounds each wait; it does not affect results.
const limit = time.Minute

// listen accepts links on loopback and passes each to serve.
func listen(t *testing.T, serve func(messenger.Link)) (transporter *Transporter, address string) {
	t.Helper()
	e, err := encoder.New()
	if err != nil {
		t.Fatal(err)
	}
	transporter = New(e)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { _ = transporter.Upgrade(c, serve) }}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return transporter, listener.Addr().String()
}

func TestHostileFrames_CloseTheirLinkOnly(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	ended := make(chan error, 16)
	transporter, address := listen(t, func(link messenger.Link) {
		for {
			m, err := link.Receive(ctx)
			if err != nil {
				ended <- err
				return
			}
			_ = link.Send(ctx, m)
		}
	})
	valid, err := transporter.Dial(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	defer valid.Close()
	for name, malformed := range map[string]struct {
		kind  int
		frame []byte
	}{
		"empty":          {websocket.BinaryMessage, nil},
		"text":           {websocket.TextMessage, []byte{1, 0xa0}},
		"unknown kind":   {websocket.BinaryMessage, []byte{255, 0xa0}},
		"invalid CBOR":   {websocket.BinaryMessage, []byte{1, 0xff, 0xff}},
		"trailing bytes": {websocket.BinaryMessage, []byte{1, 0xa0, 0xa0}},
		"unknown field":  {websocket.BinaryMessage, []byte{1, 0xa1, 0x18, 0x63, 0x01}},
		"indefinite map": {websocket.BinaryMessage, []byte{1, 0xbf}},
		"declared 4 GB":  {websocket.BinaryMessage, []byte{7, 0xa1, 0x05, 0x5a, 0xff, 0xff, 0xff, 0xff}},
	} {
		c, _, err := websocket.DefaultDialer.DialContext(ctx, "ws://"+address+Path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.WriteMessage(malformed.kind, malformed.frame); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; !errors.Is(err, ErrMalformedFrame) {
			t.Errorf("%s: want ErrMalformedFrame, got %v", name, err)
		}
		if _, _, err := c.ReadMessage(); err == nil {
			t.Errorf("%s: the link is still open", name)
		}
		_ = c.Close()
	}
	want := messenger.Message(messenger.Cancel{Request: "r", Attempt: 2})
	if err := valid.Send(ctx, want); err != nil {
		t.Fatal(err)
	}
	got, err := valid.Receive(ctx)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("message on the valid link, err %v (-want +got):\n%s", err, diff)
	}
}

func TestOversizedFrame_ClosesTheLink(t *testing.T) {
	ended := make(chan error, 1)
	_, address := listen(t, func(link messenger.Link) {
		_, err := link.Receive(context.Background())
		ended <- err
	})
	c, _, err := websocket.DefaultDialer.Dial("ws://"+address+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.WriteMessage(websocket.BinaryMessage, make([]byte, encoder.MaxFrameBytes+1))
	if err := <-ended; !errors.Is(err, websocket.ErrReadLimit) {
		t.Errorf("want %v, got %v", websocket.ErrReadLimit, err)
	}
}

func TestSilentPeer_DetectedByDeadline(t *testing.T) {
	transporter, address := listen(t, func(messenger.Link) { time.Sleep(limit) })
	link, err := transporter.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	heartbeats := heartbeater.New(clockwork.NewRealClock(), heartbeater.Options{Interval: 20 * time.Millisecond, Deadline: 100 * time.Millisecond})
	ended := make(chan error, 1)
	go func() {
		ended <- heartbeats.Run(t.Context(), link, func() messenger.Heartbeat { return messenger.Heartbeat{} }, nil)
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, heartbeater.ErrPeerSilent) {
			t.Errorf("want ErrSilent, got %v", err)
		}
	case <-time.After(limit):
		t.Error("silent peer not detected")
	}
}
