package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// maxWrittenBytes is where an Endless stops writing; it is far more than any
	// reader may read.
	maxWrittenBytes = 96 << 20
	// minWriteBytes is the minimum size of one write.
	minWriteBytes = 4 << 10
	// callTimeout bounds a call that reads an endless answer.
	callTimeout = 20 * time.Second
)

// Endless is a server that answers each request with a beginning and then repeats
// one part until the client closes the connection.
type Endless struct {
	Address string
	written atomic.Int64
}

// NewEndless returns an Endless that is closed at the end of the test.
func NewEndless(t testing.TB, beginning, part string) *Endless {
	t.Helper()
	e := &Endless{}
	parts := strings.Repeat(part, 1+minWriteBytes/len(part))
	e.Address = Listen(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		n, err := io.WriteString(c, beginning)
		for ; err == nil && n < maxWrittenBytes; e.written.Store(int64(n)) {
			var more int
			more, err = io.WriteString(c, parts)
			n += more
		}
		_, _ = io.Copy(io.Discard, c) // until the client closes
	})
	return e
}

// EndsInTime runs a call to the server. The call must fail by itself before its
// time-out, after the server has written at most maxBytes.
func (e *Endless) EndsInTime(t testing.TB, maxBytes int64, call func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	err := call(ctx)
	if err == nil || ctx.Err() != nil {
		t.Errorf("call returned %v, its context %v; want an error of its own before the time-out", err, ctx.Err())
	}
	if n := e.written.Load(); n > maxBytes {
		t.Errorf("server could write %d bytes, want at most %d", n, maxBytes)
	}
}
