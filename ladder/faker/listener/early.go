package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// UploadBytes is larger than all socket buffers between a client and a server, so that the write of
// a request of this size fails once the server closes the connection.
const UploadBytes = 24 << 20

// Closing is how a server closes a connection while it is sent a request.
type Closing int

const (
	// ClosingUnread closes with unread bytes of the request, which resets the connection.
	ClosingUnread Closing = iota
	// ClosingInOrder ends what it sends in order and resets the connection later.
	ClosingInOrder
)

// Closings names each Closing.
var Closings = map[string]Closing{"reset": ClosingUnread, "end in order, then reset": ClosingInOrder}

const (
	// readBeforeResponse is how much of a request the server reads.
	readBeforeResponse = 64
	// arrivalTime is how long a response has to arrive before the connection is reset.
	arrivalTime = 20 * time.Millisecond
)

// NewAnswering returns the address of a server that answers the first request on each connection with
// text, and closes the connection.
func NewAnswering(t testing.TB, text string) (address string) {
	t.Helper()
	return Listen(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text) // only what the client makes of it counts
	})
}

// NewEarly returns the address of a server that sends text as soon as a request begins, and closes
// the connection with the rest of the request unread.
func NewEarly(t testing.TB, text string, closing Closing) (address string) {
	t.Helper()
	return Listen(t, func(c *net.TCPConn) {
		if _, err := bufio.NewReaderSize(c, readBeforeResponse).Peek(readBeforeResponse); err != nil {
			return
		}
		_, _ = io.WriteString(c, text) // only what the client makes of it counts
		if closing == ClosingInOrder {
			_ = c.CloseWrite()
		}
		time.Sleep(arrivalTime)
	})
}
