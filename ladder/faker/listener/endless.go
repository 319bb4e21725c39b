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
	// giveUpBytes is where an Endless gives up: far more than any reader may take.
	giveUpBytes = 96 << 20
	// writeBytes is how much it writes at once, at the least.
	writeBytes = 4 << 10
	// endsWithin bounds a call that meets bytes without end.
	endsWithin = 20 * time.Second
)

// Endless answers each request with a beginning and then one part again and again,
// until the caller closes.
type Endless struct {
	Address string
	written atomic.Int64
}

// NewEndless returns an Endless that ends with the test.
func NewEndless(t testing.TB, beginning, part string) *Endless {
	t.Helper()
	e := &Endless{}
	parts := strings.Repeat(part, 1+writeBytes/len(part))
	e.Address = Listen(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		n, err := io.WriteString(c, beginning)
		for ; err == nil && n < giveUpBytes; e.written.Store(int64(n)) {
			var more int
			more, err = io.WriteString(c, parts)
			n += more
		}
		_, _ = io.Copy(io.Discard, c) // until the caller closes
	})
	return e
}

// EndsInTime makes a call to it, which must end with an error, by itself and without
// having taken more than takenBytes.
func (e *Endless) EndsInTime(t testing.TB, takenBytes int64, call func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), endsWithin)
	defer cancel()
	err := call(ctx)
	if err == nil || ctx.Err() != nil {
		t.Errorf("ended with %v, its time %v", err, ctx.Err())
	}
	if n := e.written.Load(); n > takenBytes {
		t.Errorf("%d bytes were taken", n)
	}
}
