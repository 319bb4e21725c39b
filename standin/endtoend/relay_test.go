package endtoend

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to the address upstream. It can silence its
// present connections, which then stay open but carry no more data, while new
// ones work.
type relay struct {
	listener net.Listener
	upstream string

	mutex sync.Mutex
	// silenced is closed to silence the connections accepted so far.
	silenced chan struct{}
	// accepted is the number of connections accepted.
	accepted    int
	connections []net.Conn
}

func newRelay(t *testing.T, upstream string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, upstream: upstream, silenced: make(chan struct{})}
	t.Cleanup(r.close)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		downstreamConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstreamConn, err := net.Dial("tcp", r.upstream)
		if err != nil {
			_ = downstreamConn.Close()
			continue
		}
		r.mutex.Lock()
		silenced := r.silenced
		r.accepted++
		r.connections = append(r.connections, downstreamConn, upstreamConn)
		r.mutex.Unlock()
		go forward(downstreamConn, upstreamConn, silenced)
		go forward(upstreamConn, downstreamConn, silenced)
	}
}

// forward copies data until either side ends. Once silenced is closed it discards
// the data and keeps both connections open.
func forward(from, to net.Conn, silenced chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silenced:
			if err != nil {
				return
			}
			continue
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			_ = to.Close()
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// silenceConnections silences the connections accepted so far.
func (r *relay) silenceConnections() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	close(r.silenced)
	r.silenced = make(chan struct{})
}

func (r *relay) connectionCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.accepted
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.connections {
		_ = c.Close()
	}
}
