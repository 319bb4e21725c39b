package relayer

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
)

// peersTimeout bounds the answers of peers that are queried concurrently.
const peersTimeout = 500 * time.Millisecond

// askAll is querier.AskAll within peersTimeout.
func askAll(ctx context.Context, p querier.Peers, addresses []string, q messenger.Question, take func(r messenger.Reply)) {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	querier.AskAll(ctx, p, addresses, q, take)
}
