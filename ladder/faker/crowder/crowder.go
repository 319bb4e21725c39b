// Package crowder plays clients that do not stay within a server's limits, and
// measures from outside what the server's process holds meanwhile.
package crowder

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// size is the number of clients of a crowd.
	size = 150
	// completeEvery is the interval at which clients complete their message. All
	// others stop short of its end and stay open.
	completeEvery = 10
	// settledAfter is the time without a byte written by any client after which a
	// crowd counts as having sent all that the server takes.
	settledAfter = 3 * time.Second
	// hangTimeout only ends hung tests; no check depends on its value.
	hangTimeout = 3 * time.Minute
	// pollInterval is the interval at which the process is measured.
	pollInterval = 20 * time.Millisecond
)

// Server is the server under test.
type Server struct {
	// Address is where the crowd connects, as IP:port.
	Address string
	// PID is the server's process.
	PID int
	// MaxResidentBytes and MaxDescriptors are the bounds that the process must
	// stay under.
	MaxResidentBytes, MaxDescriptors int64
	// Alive reports whether the process runs.
	Alive func() bool
	// Ordinary sends one ordinary request on a connection of its own and returns
	// the status of its response, or 0 if there was none.
	Ordinary func() int
}

// Play lets a crowd send the message to the server. It fails the test if the process
// ends, exceeds one of its bounds, or answers no ordinary request with 200 while the
// crowd's connections are still open at its end.
func Play(t *testing.T, s Server, m Message) {
	t.Helper()
	c := &crowd{}
	defer c.close()
	c.start(s.Address, m)
	var descriptors int64
	measure := func() {
		if n, err := countDescriptors(s.PID); err == nil {
			descriptors = max(descriptors, n)
		}
	}
	start := time.Now()
	for ; s.Alive() && !c.settled() && time.Since(start) < hangTimeout; time.Sleep(pollInterval) {
		measure()
	}
	status := 0
	for ; s.Alive() && status != 200 && time.Since(start) < hangTimeout; time.Sleep(pollInterval) {
		status = s.Ordinary()
		measure()
	}
	resident, err := peakResidentBytes(s.PID)
	t.Logf("%d clients, %d connected, %d bytes written: peak resident memory %.1f MiB, descriptors %d, ordinary request %d",
		size, c.connected.Load(), c.written.Load(), float64(resident)/(1<<20), descriptors, status)
	switch {
	case !s.Alive():
		t.Fatal("the process has ended")
	case err != nil:
		t.Fatal(err)
	}
	if resident > s.MaxResidentBytes {
		t.Errorf("peak resident memory of %d bytes exceeds %d", resident, s.MaxResidentBytes)
	}
	if descriptors > s.MaxDescriptors {
		t.Errorf("%d open descriptors exceed %d", descriptors, s.MaxDescriptors)
	}
	if status != 200 {
		t.Errorf("ordinary request: status %d", status)
	}
}

// crowd is a number of clients that send a message at the same time.
type crowd struct {
	tasks     sync.WaitGroup
	connected atomic.Int64
	written   atomic.Int64

	mutex       sync.Mutex
	connections []net.Conn
	// lastWritten and changedAt tell when settled last saw progress.
	lastWritten int64
	changedAt   time.Time
}

func (c *crowd) start(address string, m Message) {
	c.changedAt = time.Now()
	for n := range size {
		c.tasks.Go(func() {
			connection, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			c.connected.Add(1)
			c.mutex.Lock()
			c.connections = append(c.connections, connection)
			c.mutex.Unlock()
			c.send(connection, m.bytes(n))
		})
	}
}

func (c *crowd) send(connection net.Conn, pieces [][]byte) {
	for _, piece := range pieces {
		n, err := connection.Write(piece)
		c.written.Add(int64(n))
		if err != nil {
			return // the server has closed the connection
		}
	}
}

// settled reports whether no client has written a byte for settledAfter.
func (c *crowd) settled() bool {
	if n := c.written.Load(); n != c.lastWritten {
		c.lastWritten, c.changedAt = n, time.Now()
	}
	return time.Since(c.changedAt) > settledAfter
}

func (c *crowd) close() {
	c.mutex.Lock()
	for _, connection := range c.connections {
		_ = connection.Close() // the server may have closed it
	}
	c.mutex.Unlock()
	c.tasks.Wait()
}
