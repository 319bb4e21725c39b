package relayer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Answer carries a peer's call out if this process owns the job's partition.
func (r *Relayer) Answer(ctx context.Context, c messenger.JobCall) messenger.JobAnswer {
	a := messenger.JobAnswer{Outcome: messenger.JobNotOwned}
	if !r.owners.Owns(r.books.PartitionOf(c.Job)) {
		return a
	}
	data, err := r.carryOut(ctx, c)
	switch {
	case err == nil:
		a.Outcome, a.Data = messenger.JobDone, data
	case errors.Is(err, jobstorer.ErrUnknownJob):
		a.Outcome = messenger.JobUnknown
	}
	return a
}

func (r *Relayer) carryOut(ctx context.Context, c messenger.JobCall) (data []byte, err error) {
	switch c.Verb {
	case messenger.JobExists:
		return nil, r.books.Exists(ctx, c.Job)
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
