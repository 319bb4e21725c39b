// Package transporter carries messages over WebSocket connections.
package transporter

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/response/inspector"
)

const (
	// Path is the path at which an entry's peer listener accepts links.
	Path = "/v1/link"
	// bufferBytes is small because a process may hold thousands of links.
	bufferBytes = 4 << 10
	// dialTimeout bounds a dial whose ctx has no deadline.
	dialTimeout = 5 * time.Second
)

// ErrMalformedFrame means that a frame could not be decoded; its link is
// closed.
var ErrMalformedFrame = errors.New("malformed frame")

// Transporter opens and accepts links.
type Transporter struct {
	encoder  *encoder.Encoder
	dialer   websocket.Dialer
	upgrader websocket.FastHTTPUpgrader
}

// New returns a Transporter that encodes frames with e.
func New(e *encoder.Encoder) *Transporter {
	return &Transporter{
		encoder: e,
		dialer: websocket.Dialer{
			NetDialContext:   dialChecked,
			HandshakeTimeout: dialTimeout,
			ReadBufferSize:   bufferBytes,
			WriteBufferSize:  bufferBytes,
		},
		upgrader: websocket.FastHTTPUpgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes},
	}
}

// dialChecked opens a connection on which the response to the handshake is checked.
func dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return inspector.WrapUpgrading(c), nil
}

// Dial opens a link to the peer listener at address, IP:port.
func (t *Transporter) Dial(ctx context.Context, address string) (link messenger.Link, err error) {
	defer annotator.Annotate(&err, "dial %s", address)
	c, response, err := t.dialer.DialContext(ctx, "ws://"+address+Path, nil)
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	return t.newLink(c), nil
}

// Upgrade accepts a link from an HTTP request and calls serve with it.
func (t *Transporter) Upgrade(c *fasthttp.RequestCtx, serve func(messenger.Link)) error {
	return t.upgrader.Upgrade(c, func(c *websocket.Conn) {
		link := t.newLink(c)
		defer link.Close()
		_ = recoverer.CatchPanic("link", func() { serve(link) }) // a panic is logged by CatchPanic
	})
}

func (t *Transporter) newLink(c *websocket.Conn) messenger.Link {
	c.SetReadLimit(encoder.MaxFrameBytes)
	return &webSocketLink{connection: c, encoder: t.encoder}
}

// webSocketLink is a messenger.Link over a WebSocket connection.
type webSocketLink struct {
	connection *websocket.Conn
	encoder    *encoder.Encoder
	// mutex is held while a frame is written: the library allows one concurrent
	// writer.
	mutex sync.Mutex
}

// Send writes one frame within the deadline of ctx.
func (l *webSocketLink) Send(ctx context.Context, m messenger.Message) (err error) {
	frame, err := l.encoder.Encode(m)
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	deadline, _ := ctx.Deadline()
	_ = l.connection.SetWriteDeadline(deadline)
	return l.connection.WriteMessage(websocket.BinaryMessage, frame)
}

// Receive reads one frame within the deadline of ctx. Cancelling ctx closes the
// connection.
func (l *webSocketLink) Receive(ctx context.Context) (messenger.Message, error) {
	deadline, _ := ctx.Deadline()
	_ = l.connection.SetReadDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = l.connection.Close() })
	defer stop()
	kind, frame, err := l.connection.ReadMessage()
	if IsTimeout(err) && !deadline.IsZero() {
		// The timer of ctx fires at the same moment as the read deadline.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	if kind != websocket.BinaryMessage {
		return nil, ErrMalformedFrame
	}
	m, err := l.encoder.Decode(frame)
	if err != nil {
		return nil, errors.WithMessage(ErrMalformedFrame, err.Error())
	}
	return m, nil
}

// Close closes the connection immediately.
func (l *webSocketLink) Close() error { return l.connection.Close() }

// IsTimeout reports whether err is a network timeout.
func IsTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
