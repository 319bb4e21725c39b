package querier

import (
	"context"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// Handler answers a peer's question; the reply's number is set by Serve.
type Handler func(ctx context.Context, q messenger.Question) messenger.Reply

// Serve answers a peer's questions until the link or ctx ends.
func Serve(ctx context.Context, l messenger.Link, answer Handler) {
	ctx, cancel := context.WithCancel(ctx)
	var answers conc.WaitGroup
	defer answers.Wait()
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
		answers.Go(func() {
			var r messenger.Reply
			if recoverer.CatchPanic("answer to a peer", func() { r = answer(ctx, q) }) != nil {
				// An answer would have to say something of what was asked.
				l.Close()
				return
			}
			r.ID = q.ID
			if err := l.Send(ctx, r); err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("answer to a peer not sent", "err", err)
			}
		})
	}
}
