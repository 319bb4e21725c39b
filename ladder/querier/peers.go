package querier

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// Peers sends questions to other hosts; *Querier implements it.
type Peers interface {
	Ask(ctx context.Context, address string, q messenger.Question) (messenger.Reply, error)
}

// AskAll asks all addresses concurrently and passes the replies to take, one at a time.
// Peers that do not reply until ctx ends are left out. It returns when all peers have
// replied or failed.
func AskAll(ctx context.Context, p Peers, addresses []string, q messenger.Question, take func(r messenger.Reply)) {
	var mutex sync.Mutex
	var questions conc.WaitGroup
	defer questions.Wait()
	for _, address := range addresses {
		questions.Go(func() {
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

// peerTimeout is the silence after which a peer that was asked briefly counts as
// unreachable, for all questions.
const peerTimeout = time.Second

// AskBriefly waits at most patience for the reply of a peer, and returns false if there is
// none by then. The question itself lives longer, so that a busy peer's late reply doesn't
// close the link.
func AskBriefly(ctx context.Context, clock clockwork.Clock, p Peers, address string, q messenger.Question, patience time.Duration) (messenger.Reply, bool) {
	replies := make(chan messenger.Reply, 1)
	go func() {
		// CatchPanic logs the panic; the reply then counts as missing.
		_ = recoverer.CatchPanic("question to a peer", func() {
			askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
			defer cancel()
			if r, err := p.Ask(askCtx, address, q); err == nil {
				replies <- r
			}
		})
		close(replies)
	}()
	select {
	case r, ok := <-replies:
		return r, ok
	case <-clock.After(patience):
	case <-ctx.Done():
	}
	return messenger.Reply{}, false
}
