package relayer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/batch/roomkeeper"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
)

// Answer executes a peer's call if this process owns the job's partition.
func (r *Relayer) Answer(ctx context.Context, c messenger.JobCall) messenger.JobAnswer {
	answer := messenger.JobAnswer{Outcome: messenger.JobNotOwned}
	if !r.ownership.Owns(r.jobs.PartitionOf(c.Job)) {
		return answer
	}
	data, err := r.execute(ctx, c)
	switch {
	case err == nil:
		answer.Outcome, answer.Data = messenger.JobDone, data
	case errors.Is(err, jobstorer.ErrUnknownJob):
		answer.Outcome = messenger.JobUnknown
	case errors.Is(err, jobstorer.ErrOtherAccount):
		answer.Outcome = messenger.JobOtherAccount
	case errors.Is(err, roomkeeper.ErrNoRoom):
		answer.Outcome = messenger.JobNoRoom
	}
	return answer
}

func (r *Relayer) execute(ctx context.Context, c messenger.JobCall) (data []byte, err error) {
	switch c.Verb {
	case messenger.JobCommit:
		return nil, r.jobs.Commit(ctx, c.Account, c.Job, c.Record)
	case messenger.JobReserve:
		exists, err := r.jobs.Reserve(c.Job, int64(c.MaxBytes))
		if exists {
			data = []byte{1}
		}
		return data, err
	}
	if c.AccountsInForce || r.accountsInForce() {
		if err := r.jobs.CheckAccount(ctx, c.Account, c.Job); err != nil {
			return nil, err
		}
	}
	switch c.Verb {
	case messenger.JobExists:
		return nil, r.jobs.Exists(ctx, c.Job)
	case messenger.JobResults:
		page, err := r.jobs.Results(ctx, c.Job, c.After, c.Wait, c.MaxBytes)
		if err != nil {
			return nil, err
		}
		return serializer.Encode(page)
	case messenger.JobBody:
		return r.jobs.Body(ctx, c.Job, c.Item)
	}
	return nil, errors.Errorf("unknown verb %q", c.Verb)
}
