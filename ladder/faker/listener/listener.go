// Package listener provides TCP servers for tests that answer with arbitrary bytes, to
// simulate faulty targets, and addresses for processes under test.
package listener

import (
	"net"
	"testing"
)

// Listen calls serve for each connection in its own goroutine, and closes the
// connection when serve returns. The listener is closed at the end of the test.
func Listen(t testing.TB, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}
