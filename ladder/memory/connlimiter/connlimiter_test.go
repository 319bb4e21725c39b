package connlimiter_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/memory/bodyreader"
	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/connlimiter"
)

// pipes is a listener for connections in memory.
type pipes struct{ connections chan net.Conn }

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p.connections
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipes) Close() error { return nil }

func (p pipes) Addr() net.Addr { return &net.UnixAddr{} }

func (p pipes) dial() net.Conn {
	client, server := net.Pipe()
	p.connections <- server
	return client
}

const budget = 8 << 20

// newServer starts an HTTP server that reads bodies and answers 200, 408 or 503. It runs
// in a bubble of synctest.
func newServer(t *testing.T, o connlimiter.Options) (pipes, *budgeter.Budgeter) {
	t.Helper()
	clock := clockwork.NewRealClock()
	b := budgeter.New(clock, budget)
	o.Budgeter = b
	l := connlimiter.New(clock, o)
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	p := pipes{connections: make(chan net.Conn)}
	s := &http.Server{
		ConnState: connlimiter.ConnState, ConnContext: connlimiter.ConnContext, MaxHeaderBytes: 64 << 10,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(b, w, r) }),
	}
	go func() { _ = s.Serve(l.Listen(p)) }()
	t.Cleanup(func() {
		close(p.connections)
		_ = s.Close()
		cancel()
	})
	return p, b
}

func serve(b *budgeter.Budgeter, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/large" {
		_, _ = w.Write(make([]byte, 1<<20)) // the caller may not read it
		return
	}
	c := connlimiter.FromContext(r.Context())
	c.BeginBody()
	held := b.Open(c)
	defer held.Release()
	_, err := bodyreader.Reader{Reservation: held, Connection: c}.Read(r.Context(), r.Body, r.ContentLength, budget)
	switch {
	case errors.Is(err, connlimiter.ErrNoProgress):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestTimeout)
	case errors.Is(err, budgeter.ErrExhausted):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		c.EndBody()
	}
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// statusOf reads a response and returns its status, or 0 if the connection is closed.
func statusOf(c net.Conn) int {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = r.Body.Close() // it is empty
	return r.StatusCode
}

// Guards against bodies and connections that are held for callers that send nothing, and
// against the same for callers that are slow but steady.
func TestConn_EndsOnlyWhatMakesNoProgress(t *testing.T) {
	limits := func() connlimiter.Limits {
		return connlimiter.Limits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	}
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"
	for name, c := range map[string]struct {
		// pieces are sent with pauses before each.
		pieces []string
		pause  time.Duration
		want   int
	}{
		"steady body":        {append([]string{head}, strings.SplitAfter(strings.Repeat("x", 999)+"y", "y")[0], strings.Repeat("x", 10000), strings.Repeat("x", 10000), strings.Repeat("x", 9000)), 9 * time.Second, 200},
		"stalled body":       {[]string{head + "x"}, 0, 408},
		"body too slow":      {append([]string{head}, strings.Split(strings.Repeat("x ", 20), " ")[:20]...), 2 * time.Second, 408},
		"steady head":        {[]string{"", "GET / HTTP/1.1\r\n", "Host: h\r\n", "\r\n"}, 900 * time.Millisecond, 200},
		"head without end":   {[]string{"GET / HTTP/1.1\r\n"}, 0, 0},
		"idle within limits": {[]string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}, 12 * time.Second, 200},
		"idle":               {nil, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, b := newServer(t, connlimiter.Options{Limits: limits})
				connection := p.dial()
				go func() {
					for n, piece := range c.pieces {
						if n > 0 {
							time.Sleep(c.pause)
						}
						if _, err := io.WriteString(connection, piece); err != nil {
							return
						}
					}
				}()
				if status := statusOf(connection); status != c.want {
					t.Errorf("status %d, want %d", status, c.want)
				}
				_ = connection.Close()
				time.Sleep(time.Minute)
				if held := b.Status().Held; held != 0 {
					t.Errorf("%d bytes are still held", held)
				}
			})
		})
	}
}

// Guards against responses that are held for callers that read nothing, and against the
// same for callers that read slowly.
func TestConn_UnreadResponses(t *testing.T) {
	for name, c := range map[string]struct {
		pause    time.Duration
		complete bool
	}{"steady": {2 * time.Second, true}, "stalled": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newServer(t, connlimiter.Options{})
				connection := p.dial()
				send(t, connection, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
				part, err := make([]byte, 32<<10), error(nil)
				for range (1 << 20) / len(part) {
					if _, err = io.ReadFull(connection, part); err != nil {
						break
					}
					time.Sleep(c.pause)
				}
				if complete := err == nil; complete != c.complete {
					t.Errorf("reading ends with %v", err)
				}
				_ = connection.Close()
			})
		})
	}
}

// Guards against heads whose memory is not counted, and against a refusal that says
// something else than that the request has not run.
func TestConn_RefusesHeadsWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, b := newServer(t, connlimiter.Options{})
		b.Hold(budget)
		for range 4 {
			if _, err := b.TryReserve(budget/16-(32<<10), budgeter.ClassLarge, nil); err == nil {
				t.Fatal("there is room")
			}
		}
		var blocking []*budgeter.Reservation
		for {
			r, err := b.TryReserve(32<<10, budgeter.ClassSmall, nil)
			if err != nil {
				break
			}
			blocking = append(blocking, r)
		}
		blocking[0].Release() // room for the connection itself
		connection := p.dial()
		go func() {
			_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\n"+strings.Repeat("A: b\r\n", 10000)) // it is refused
		}()
		if status := statusOf(connection); status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
		_ = connection.Close()
	})
}

// Guards against connections beyond the descriptors, and against callers that are locked
// out by idle ones.
func TestListener_ANewConnectionTakesThePlaceOfTheLongestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newServer(t, connlimiter.Options{MaxConnections: 2})
		first := p.dial()
		time.Sleep(time.Second)
		second := p.dial()
		time.Sleep(time.Second)
		third := p.dial()
		if status := statusOf(first); status != 0 {
			t.Errorf("first connection: status %d", status)
		}
		for _, c := range []net.Conn{second, third} {
			send(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if status := statusOf(c); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
			_ = c.Close()
		}
	})
}

// bytesConn is a connection that brings some bytes in pieces.
type bytesConn struct {
	net.Conn
	data  *bytes.Reader
	piece int
}

func (c bytesConn) Read(p []byte) (int, error) { return c.data.Read(p[:min(len(p), c.piece)]) }

func (c bytesConn) Write(p []byte) (int, error) { return len(p), nil }

func (c bytesConn) Close() error { return nil }

// FuzzConn_Head reads heads and what precedes them. No byte may be passed on without room
// for it, none may be changed, and none may stay counted.
func FuzzConn_Head(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), uint16(4096))
	f.Add(bytes.Repeat([]byte("\r\n"), 600), uint16(4096))
	f.Add([]byte("GET / HTTP/1.1\r\nA: "+strings.Repeat("a", 30_000)), uint16(100))
	f.Fuzz(func(t *testing.T, data []byte, piece uint16) {
		const total = 64 << 10
		b := budgeter.New(clockwork.NewRealClock(), total)
		l := connlimiter.New(clockwork.NewRealClock(), connlimiter.Options{Budgeter: b})
		p := pipes{connections: make(chan net.Conn, 1)}
		p.connections <- bytesConn{data: bytes.NewReader(data), piece: 1 + int(piece)}
		connection, err := l.Listen(p).Accept()
		if err != nil {
			t.Fatal(err)
		}
		read, err := io.ReadAll(connection)
		if !bytes.HasPrefix(data, read) || err == nil && len(read) != len(data) {
			t.Fatalf("%d bytes of %d, %v", len(read), len(data), err)
		}
		if s := b.Status(); s.Held > s.Total || int64(len(read)) > s.Held {
			t.Fatalf("%d bytes held of %d for %d", s.Held, s.Total, len(read))
		}
		_ = connection.Close()
		if n := b.Status().Held; n != 0 || l.Connections() != 0 {
			t.Fatalf("%d bytes and %d connections remain", n, l.Connections())
		}
	})
}
