package relayer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/bookkeeper"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Serve answers a peer's calls until the link or ctx ends.
func (r *Relayer) Serve(ctx context.Context, l messenger.Link) {
	ctx, cancel := context.WithCancel(ctx)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	for {
		m, err := l.Receive(ctx)
		if err != nil {
			return
		}
		c, ok := m.(messenger.JobCall)
		if !ok {
			klog.InfoS("unexpected message of a peer, link closed", "message", m)
			return
		}
		calls.Go(func() {
			if err := l.Send(ctx, r.answer(ctx, c)); err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("answer to a peer not sent", "job", c.Job, "err", err)
			}
		})
	}
}

// answer carries a call out if this process owns the job's partition.
func (r *Relayer) answer(ctx context.Context, c messenger.JobCall) messenger.JobAnswer {
	a := messenger.JobAnswer{Number: c.Number, Verdict: messenger.JobElsewhere}
	if !r.owners.Owns(r.books.PartitionOf(c.Job)) {
		return a
	}
	data, err := r.carryOut(ctx, c)
	switch {
	case err == nil:
		a.Verdict, a.Data = messenger.JobDone, data
	case errors.Is(err, bookkeeper.ErrUnknownJob):
		a.Verdict = messenger.JobUnknown
	case errors.Is(err, appender.ErrAnswerLost):
		a.Verdict = messenger.JobUncertain
	}
	return a
}

func (r *Relayer) carryOut(ctx context.Context, c messenger.JobCall) (data []byte, err error) {
	switch c.Verb {
	case messenger.JobAccept:
		var s bookkeeper.Submission
		if err := cbor.Unmarshal(c.Data, &s); err != nil {
			return nil, err
		}
		return nil, r.books.Accept(ctx, s)
	case messenger.JobEnd:
		return nil, r.books.End(ctx, c.Job)
	case messenger.JobResults:
		v, err := r.books.Results(ctx, c.Job, c.After, c.Wait, c.MaxBytes)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(v)
	case messenger.JobBody:
		return r.books.Body(ctx, c.Job, c.Item)
	}
	return nil, errors.Errorf("unknown verb %q", c.Verb)
}
