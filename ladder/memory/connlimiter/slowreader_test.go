package connlimiter_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/memory/connlimiter"
)

// Guards against taking a caller that reads slowly but steadily for one that reads nothing: with
// the kernel's own buffers of some MB a write proceeds only once a caller has read a third of them.
func TestConn_AWriteProceedsAfterACallerHasReadALittle(t *testing.T) {
	const size, piece, little = 12 << 20, 32 << 10, 512 << 10
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := connlimiter.New(clockwork.NewRealClock(), connlimiter.Options{}).Listen(inner)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	var read atomic.Int64
	go func() {
		buffer := make([]byte, 16<<10)
		for {
			n, err := client.Read(buffer)
			if err != nil {
				return
			}
			read.Add(int64(n))
			time.Sleep(time.Millisecond)
		}
	}()
	most := int64(0)
	for range size / piece {
		before := read.Load()
		if _, err := server.Write(make([]byte, piece)); err != nil {
			t.Fatal(err)
		}
		most = max(most, read.Load()-before)
	}
	if most > little {
		t.Errorf("a write of %d bytes lasted until the caller had read %d", piece, most)
	}
}
