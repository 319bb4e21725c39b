// Package transporter carries messages over WebSocket.
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
)

const (
	// Path is where an entry's peer listener takes links.
	Path = "/v1/link"
	// bufferBytes is small: a process may hold thousands of links.
	bufferBytes = 4 << 10
	// dialTimeout bounds a dial without a deadline of its own.
	dialTimeout = 5 * time.Second
)

// ErrMalformedFrame says that a frame could not be decoded; its link is closed.
var ErrMalformedFrame = errors.New("malformed frame")

// Transporter makes links.
type Transporter struct {
	encoder  *encoder.Encoder
	dialer   websocket.Dialer
	upgrader websocket.FastHTTPUpgrader
}

// New returns a Linker.
func New(e *encoder.Encoder) *Transporter {
	return &Transporter{
		encoder: e,
		dialer: websocket.Dialer{
			HandshakeTimeout: dialTimeout,
			ReadBufferSize:   bufferBytes,
			WriteBufferSize:  bufferBytes,
		},
		upgrader: websocket.FastHTTPUpgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes},
	}
}

// Dial opens a link to the peer listener at address, IP:port.
func (l *Transporter) Dial(ctx context.Context, address string) (link messenger.Link, err error) {
	defer annotator.Annotate(&err, "dial %s", address)
	c, response, err := l.dialer.DialContext(ctx, "ws://"+address+Path, nil)
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	return l.wrap(c), nil
}

// Upgrade takes a link from an HTTP request and runs serve on it.
func (l *Transporter) Upgrade(c *fasthttp.RequestCtx, serve func(messenger.Link)) error {
	return l.upgrader.Upgrade(c, func(c *websocket.Conn) {
		link := l.wrap(c)
		defer link.Close()
		_ = recoverer.CatchPanic("link", func() { serve(link) }) // it is logged there
	})
}

func (l *Transporter) wrap(c *websocket.Conn) messenger.Link {
	c.SetReadLimit(encoder.MaxFrameBytes)
	return &socket{connection: c, encoder: l.encoder}
}

// socket is a messenger.Link over one WebSocket connection.
type socket struct {
	connection *websocket.Conn
	encoder    *encoder.Encoder
	// mutex is held while a frame is written: the library allows one writer.
	mutex sync.Mutex
}

// Send writes one frame, within ctx's deadline.
func (s *socket) Send(ctx context.Context, m messenger.Message) (err error) {
	frame, err := s.encoder.Encode(m)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	deadline, _ := ctx.Deadline()
	_ = s.connection.SetWriteDeadline(deadline)
	return s.connection.WriteMessage(websocket.BinaryMessage, frame)
}

// Receive reads one frame, within ctx's deadline. Cancelling ctx closes the
// connection.
func (s *socket) Receive(ctx context.Context) (messenger.Message, error) {
	deadline, _ := ctx.Deadline()
	_ = s.connection.SetReadDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = s.connection.Close() })
	defer stop()
	kind, frame, err := s.connection.ReadMessage()
	if IsTimeout(err) && !deadline.IsZero() {
		// ctx's own timer is due at the same moment.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	if kind != websocket.BinaryMessage {
		return nil, ErrMalformedFrame
	}
	m, err := s.encoder.Decode(frame)
	if err != nil {
		return nil, errors.WithMessage(ErrMalformedFrame, err.Error())
	}
	return m, nil
}

// Close ends the connection at once.
func (s *socket) Close() error { return s.connection.Close() }

// IsTimeout says whether err is a network timeout.
func IsTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
