package endtoend

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay carries connections to an address, and can make those it has go
// silent for good while new ones work.
type relay struct {
	listener net.Listener
	upstream string

	mutex sync.Mutex
	// silenced is closed when the connections made so far go silenced.
	silenced chan struct{}
	// accepted counts connections.
	accepted int
	open     []net.Conn
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, upstream: to, silenced: make(chan struct{})}
	t.Cleanup(r.close)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.upstream)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mutex.Lock()
		silent := r.silenced
		r.accepted++
		r.open = append(r.open, in, out)
		r.mutex.Unlock()
		go forward(in, out, silent)
		go forward(out, in, silent)
	}
}

// forward copies until the end of either side. Once silent it drops everything
// and keeps both sides open.
func forward(from, to net.Conn, silent chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			_ = to.Close()
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// silenceConnections makes the connections carried so far go silent.
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
	for _, c := range r.open {
		_ = c.Close()
	}
}
