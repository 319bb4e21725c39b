package listener

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// A port that the system chooses may be given to another process once it is closed, so
// that the program that was to listen there can't start, and the other process answers
// in its place. The ports here are below those that the system chooses, and each process
// takes them from blocks of its own.

const (
	// firstPort and lastPort are below the ports that systems choose by default.
	firstPort, lastPort = 10_000, 32_000
	// blockSize is the number of ports in a block. The first one is held to claim the
	// block.
	blockSize = 100
)

// portBlock is the block in use. Its mutex guards next and end, the ports not yet taken.
var portBlock struct {
	sync.Mutex
	next, end int
	claims    []net.Listener
}

// FreeAddress returns a loopback address, IP:port, for a process that may start later and
// more than once. No other caller of FreeAddress on this machine gets it while this process
// runs.
func FreeAddress(t testing.TB) string {
	t.Helper()
	portBlock.Lock()
	defer portBlock.Unlock()
	for {
		if portBlock.next == portBlock.end {
			if err := claimBlock(); err != nil {
				t.Fatal(err)
			}
		}
		address := loopback(portBlock.next)
		portBlock.next++
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// claimBlock finds a block that no other process has claimed. The caller holds the mutex.
func claimBlock() error {
	for base := firstPort; base+blockSize <= lastPort; base += blockSize {
		if l, err := net.Listen("tcp", loopback(base)); err == nil {
			portBlock.claims = append(portBlock.claims, l)
			portBlock.next, portBlock.end = base+1, base+blockSize
			return nil
		}
	}
	return errors.New("no block of ports is free")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
