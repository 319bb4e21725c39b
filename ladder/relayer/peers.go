package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// peersTimeout bounds the answers of peers that are asked at the same time.
const peersTimeout = 500 * time.Millisecond

// askAll asks all addresses at once and hands the answers to take, one after the
// other. A peer that doesn't answer is left out. It returns when all have answered
// or failed.
func askAll(ctx context.Context, p Peers, addresses []string, q messenger.Question, take func(r messenger.Reply)) {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	var mutex sync.Mutex
	var questions conc.WaitGroup
	defer questions.Wait()
	for _, address := range addresses {
		questions.Go(func() {
			_ = recoverer.CatchPanic("answer of a peer", func() { // it is logged there
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
