package relayer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// The process that has the copy checks the account: the owner and, if it doesn't answer, the
// process that was asked by the caller. It does so if accounts are in force at either of them, as
// one may have an older configuration without accounts.

// errNoAccountsYet means that accounts are in force at the owner of a batch job and not at this
// process, which therefore doesn't know the caller's account. Nothing was done. The caller may try
// again: a configuration is in force everywhere within seconds.
var errNoAccountsYet = errors.WithMessage(appender.ErrUnavailable, "client accounts are in force at the owner of the batch job only")

// commitWait is how long the owner may take to write a job's record. An append whose response is
// lost costs it a second before it reads whether the record is there.
const commitWait = 1300 * time.Millisecond

// checkLocally checks the account of a caller against the local copy.
func (r *Relayer) checkLocally(ctx context.Context, a identifier.AccountName, id identifier.JobID) error {
	if !r.accountsInForce() {
		return nil
	}
	return r.jobs.CheckAccount(ctx, a, id)
}

// checkAccount checks that a job exists and that the caller may use it, at the owner or locally.
func (r *Relayer) checkAccount(ctx context.Context, a identifier.AccountName, id identifier.JobID) error {
	_, err := r.askOwner(ctx, messenger.JobCall{Verb: messenger.JobExists, Job: id, Account: a})
	if errors.Is(err, errOwnerUnavailable) {
		return r.jobs.CheckAccount(ctx, a, id)
	}
	return err
}

// acceptForAccount stores a job unless its id belongs to another account. A job that exists is not
// written again.
func (r *Relayer) acceptForAccount(ctx context.Context, s jobstorer.Submission) error {
	if err := r.checkAccount(ctx, s.Account, s.ID); !errors.Is(err, jobstorer.ErrUnknownJob) {
		return err
	}
	record, err := r.jobs.StorePieces(ctx, s)
	if err != nil {
		return err
	}
	_, err = r.askOwner(ctx, messenger.JobCall{Verb: messenger.JobCommit, Job: s.ID, Account: s.Account, Record: record, Wait: commitWait})
	if !errors.Is(err, errOwnerUnavailable) {
		return err
	}
	asked := !errors.Is(err, errOwnerNotAsked)
	err = r.jobs.Commit(ctx, s.Account, s.ID, record)
	if err != nil && asked && !errors.Is(err, jobstorer.ErrOtherAccount) {
		// The owner may still write the record.
		return errors.Wrap(appender.ErrOutcomeUnknown, err.Error())
	}
	return err
}
