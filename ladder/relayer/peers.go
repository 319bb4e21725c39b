package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// peersTimeout bounds the answers of peers that are queried concurrently.
const peersTimeout = 500 * time.Millisecond

// queryAll queries all addresses concurrently and passes the answers to take, one at
// a time. Peers that do not answer are left out. It returns when all peers have
// answered or failed.
func queryAll(ctx context.Context, p Peers, addresses []string, q messenger.Question, take func(r messenger.Reply)) {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	var mutex sync.Mutex
	var queries conc.WaitGroup
	defer queries.Wait()
	for _, address := range addresses {
		queries.Go(func() {
			_ = recoverer.CatchPanic("answer of a peer", func() { // already logged
				r, err := p.Ask(ctx, address, q)
				if err != nil {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				take(r)
			})
		})
	}
}
