package querier

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// Handler answers a peer's question; Serve sets the reply's ID.
type Handler func(ctx context.Context, q messenger.Question) messenger.Reply

// Serve answers a peer's questions until the link fails or ctx ends.
func Serve(ctx context.Context, l messenger.Link, handle Handler) {
	ctx, cancel := context.WithCancel(ctx)
	var handlers conc.WaitGroup
	defer handlers.Wait()
	defer cancel()
	for {
		m, err := l.Receive(ctx)
		if err != nil {
			return
		}
		q, ok := m.(messenger.Question)
		if !ok {
			klog.InfoS("unexpected message of a peer, link closed", "message", m)
			return
		}
		handlers.Go(func() {
			var r messenger.Reply
			if recoverer.CatchPanic("answer a peer", func() { r = handle(ctx, q) }) != nil {
				// There is no reply that reports an internal error, so the link is
				// closed.
				l.Close()
				return
			}
			r.ID = q.ID
			err := l.Send(ctx, r)
			if errors.Is(err, messenger.ErrTooLarge) {
				// Without a reply the peer would close the link for all its questions.
				klog.InfoS("answer to a peer is too large, an empty one is sent", "err", err)
				err = l.Send(ctx, messenger.Reply{ID: q.ID})
			}
			if err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("answer to a peer not sent", "err", err)
			}
		})
	}
}
