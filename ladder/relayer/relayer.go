// Package relayer answers requests for batch jobs on any entry: it asks the entry
// that owns the job, and reads the store if that entry does not answer.
package relayer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/batch/roomkeeper"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/joiner"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
)

// The owner of a partition has a copy of it; any other entry would have to read the
// whole partition. Asking the owner keeps the amount of data that each entry reads
// independent of the number of entries. The store remains authoritative: writes that
// depend on an order are conditional, so asking a former owner does no harm.

// answerMargin is how long a peer may take in addition to the requested wait: one
// append to the store and a slow host.
const answerMargin = 600 * time.Millisecond

// Books provides access to the stored jobs; implemented by *jobstorer.JobStorer.
type Books interface {
	Accept(ctx context.Context, s jobstorer.Submission) error
	End(ctx context.Context, id identifier.JobID) error
	EndForAccount(ctx context.Context, a identifier.AccountName, id identifier.JobID) error
	Exists(ctx context.Context, id identifier.JobID) error
	CheckAccount(ctx context.Context, a identifier.AccountName, id identifier.JobID) error
	StorePieces(ctx context.Context, s jobstorer.Submission) (record []byte, err error)
	Reserve(id identifier.JobID, bytes int64) (exists bool, err error)
	Commit(ctx context.Context, a identifier.AccountName, id identifier.JobID, record []byte) error
	Results(ctx context.Context, id identifier.JobID, after int, wait time.Duration, maxBytes int) (jobstorer.ResultPage, error)
	Body(ctx context.Context, id identifier.JobID, item identifier.ItemID) ([]byte, error)
	PartitionOf(id identifier.JobID) identifier.PartitionNumber
}

// Owners tells which process owns which partition; implemented by *joiner.Joiner.
type Owners interface {
	Owns(n identifier.PartitionNumber) bool
	OwnerOf(n identifier.PartitionNumber) (joiner.Member, bool)
}

// Relayer answers requests for jobs through their owners.
type Relayer struct {
	jobs      Books
	ownership Owners
	self      joiner.Member
	peers     querier.Peers
	// accountsInForce reports whether jobs are kept apart by client accounts.
	accountsInForce func() bool
}

// New returns a Relayer for the process self.
func New(jobs Books, ownership Owners, p querier.Peers, self joiner.Member, accountsInForce func() bool) *Relayer {
	return &Relayer{jobs: jobs, ownership: ownership, self: self, peers: p, accountsInForce: accountsInForce}
}

// errOwnerUnavailable means that no owner has answered. errOwnerNotAsked is an errOwnerUnavailable
// after which no owner may still do anything.
var (
	errOwnerUnavailable = errors.New("owner of the batch job unavailable")
	errOwnerNotAsked    = errors.WithMessage(errOwnerUnavailable, "not asked")
)

// askOwner sends a call to the owner of the job. It returns errOwnerUnavailable if
// the call must be answered from the local copy.
func (r *Relayer) askOwner(ctx context.Context, c messenger.JobCall) (data []byte, err error) {
	owner, ok := r.remoteOwner(c.Job)
	if !ok {
		return nil, errOwnerNotAsked
	}
	c.AccountsInForce = r.accountsInForce()
	timeoutCtx, cancel := context.WithTimeout(ctx, c.Wait+answerMargin)
	defer cancel()
	reply, err := r.peers.Ask(timeoutCtx, string(owner), messenger.Question{Job: &c})
	if err != nil || reply.Job == nil {
		klog.InfoS("owner of a batch job doesn't answer, the store is asked", "job", c.Job, "verb", c.Verb, "owner", owner, "err", err)
		if errors.Is(err, querier.ErrPeerBackoff) || errors.Is(err, messenger.ErrTooLarge) {
			return nil, errOwnerNotAsked
		}
		return nil, errOwnerUnavailable
	}
	switch reply.Job.Outcome {
	case messenger.JobDone:
		return reply.Job.Data, nil
	case messenger.JobUnknown:
		return nil, jobstorer.ErrUnknownJob
	case messenger.JobOtherAccount:
		if !c.AccountsInForce {
			return nil, errNoAccountsYet
		}
		return nil, jobstorer.ErrOtherAccount
	case messenger.JobNoRoom:
		return nil, roomkeeper.ErrNoRoom
	case messenger.JobNotOwned:
	}
	return nil, errOwnerUnavailable
}

// remoteOwner returns the owner of a job, and false if it is this process or unknown.
func (r *Relayer) remoteOwner(id identifier.JobID) (owner joiner.Member, ok bool) {
	n := r.jobs.PartitionOf(id)
	owner, ok = r.ownership.OwnerOf(n)
	return owner, ok && !r.ownership.Owns(n) && owner != r.self
}

// The methods below take the client account of the caller, which is empty if it has none. They
// return jobstorer.ErrOtherAccount if the job belongs to another account, and have no effect then.
// The same goes for errNoAccountsYet.

// Accept stores a job. It returns roomkeeper.ErrNoRoom, and stores nothing, if the job is large and
// its owner has no room for it.
func (r *Relayer) Accept(ctx context.Context, s jobstorer.Submission) error {
	if bytes := s.Bytes(); bytes >= jobstorer.LargeBytes {
		exists, err := r.reserve(ctx, s.ID, bytes)
		if err != nil || exists && !r.accountsInForce() {
			return err
		}
	}
	if r.accountsInForce() {
		return r.acceptForAccount(ctx, s)
	}
	return r.jobs.Accept(ctx, s)
}

// reserve asks the owner of a large job for room, and whether the job exists. A job that exists is
// not written again: its clients could fill the store with copies.
func (r *Relayer) reserve(ctx context.Context, id identifier.JobID, bytes int64) (exists bool, err error) {
	data, err := r.askOwner(ctx, messenger.JobCall{Verb: messenger.JobReserve, Job: id, MaxBytes: int(bytes)})
	if !errors.Is(err, errOwnerUnavailable) {
		return len(data) > 0, err
	}
	if !r.ownership.Owns(r.jobs.PartitionOf(id)) {
		return false, errors.Wrap(appender.ErrUnavailable, err.Error())
	}
	return r.jobs.Reserve(id, bytes)
}

// End ends a job. It returns jobstorer.ErrUnknownJob if the owner does not know the job; the job
// ends all the same if its submission is stored later.
func (r *Relayer) End(ctx context.Context, a identifier.AccountName, id identifier.JobID) error {
	if r.accountsInForce() {
		err := r.checkAccount(ctx, a, id)
		if err != nil && !errors.Is(err, jobstorer.ErrUnknownJob) {
			return err
		}
		if failed := r.jobs.EndForAccount(ctx, a, id); failed != nil {
			return failed
		}
		return err
	}
	_, err := r.askOwner(ctx, messenger.JobCall{Verb: messenger.JobExists, Job: id})
	if errors.Is(err, errOwnerUnavailable) && r.ownership.Owns(r.jobs.PartitionOf(id)) {
		err = r.jobs.Exists(ctx, id)
	}
	if errors.Is(err, errNoAccountsYet) {
		return err
	}
	if failed := r.jobs.End(ctx, id); failed != nil {
		return failed
	}
	if errors.Is(err, jobstorer.ErrUnknownJob) {
		return err
	}
	return nil
}

// Results returns a part of a job's results, like jobstorer.JobStorer.Results.
func (r *Relayer) Results(ctx context.Context, a identifier.AccountName, id identifier.JobID, after int, wait time.Duration, maxBytes int) (page jobstorer.ResultPage, err error) {
	data, err := r.askOwner(ctx, messenger.JobCall{Verb: messenger.JobResults, Job: id, Account: a, After: after, Wait: wait, MaxBytes: maxBytes})
	if errors.Is(err, errOwnerUnavailable) {
		if err := r.checkLocally(ctx, a, id); err != nil {
			return page, err
		}
		return r.jobs.Results(ctx, id, after, wait, maxBytes)
	}
	if err != nil {
		return page, err
	}
	return page, serializer.Decode(data, &page)
}

// Body returns the body of an item.
func (r *Relayer) Body(ctx context.Context, a identifier.AccountName, id identifier.JobID, item identifier.ItemID) ([]byte, error) {
	data, err := r.askOwner(ctx, messenger.JobCall{Verb: messenger.JobBody, Job: id, Account: a, Item: item})
	if errors.Is(err, errOwnerUnavailable) {
		if err := r.checkLocally(ctx, a, id); err != nil {
			return nil, err
		}
		return r.jobs.Body(ctx, id, item)
	}
	return data, err
}
