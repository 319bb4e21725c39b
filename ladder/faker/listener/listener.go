// Package listener stands for targets in trouble: what it listens for may be answered with
// any bytes at all. It is for tests.
package listener

import (
	"net"
	"testing"
)

// Listen serves each connection in a task of its own, and closes it when serve returns.
// It ends with the test.
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
