package jobstorer

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A copy is read from the newest record of each key, so that of two job records of different
// client accounts for one id only the later one would be found by the next reader. Where accounts
// are in force, a job record is therefore written from a complete copy that has no such job, and
// conditionally, like results. The pieces, which are written before, have no effect without it.

// ErrOtherAccount means that the job belongs to another client account than the caller.
var ErrOtherAccount = errors.New("the batch job belongs to another account")

// mayUse reports whether the client account a may read, end and submit again a job of the
// account owner. Jobs without an account are open to all.
func mayUse(a, owner identifier.AccountName) bool { return owner == "" || owner == a }

// CheckAccount returns ErrOtherAccount if the job belongs to another client account, and
// ErrUnknownJob if there is no such job.
func (s *JobStorer) CheckAccount(ctx context.Context, a identifier.AccountName, id identifier.JobID) error {
	state, err := s.findJob(ctx, id)
	if err != nil {
		return err
	}
	if !mayUse(a, state.submission.Account) {
		return ErrOtherAccount
	}
	return nil
}

// StorePieces stores all of a job but its record, which it returns for Commit. The job does not
// exist until then, so that all errors but those of the encoding are appender.ErrUnavailable.
func (s *JobStorer) StorePieces(ctx context.Context, submission Submission) (record []byte, err error) {
	defer annotator.Annotate(&err, "store pieces of batch job %s", submission.ID)
	records, err := s.recordsOf(submission)
	if err != nil {
		return nil, err
	}
	last := len(records) - 1
	if err := s.appendRecords(ctx, submission.ID, records[:last]); err != nil {
		return nil, errors.Wrap(appender.ErrUnavailable, err.Error())
	}
	return records[last].Value, nil
}

// Commit stores the record of a job whose pieces are stored, unless the job exists. It returns
// ErrOtherAccount if the job belongs to another client account. After ErrStaleCopy and
// appender.ErrUnavailable nothing was written.
func (s *JobStorer) Commit(ctx context.Context, a identifier.AccountName, id identifier.JobID, record []byte) (err error) {
	defer annotator.Annotate(&err, "commit batch job %s", id)
	p, err := s.awaitCopy(ctx, id)
	if err != nil {
		return err
	}
	foreign := false
	err = p.replicator.Append(ctx, func() []storer.Record {
		owner, known := p.table.accountOf(id)
		foreign = known && !mayUse(a, owner)
		if known {
			return nil
		}
		return []storer.Record{{Key: prefixJob + string(id), Value: record}}
	})
	if err == nil && foreign {
		return ErrOtherAccount
	}
	return err
}

func (t *jobTable) accountOf(id identifier.JobID) (a identifier.AccountName, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, known := t.jobs[id]
	if known {
		a = state.submission.Account
	}
	return a, known
}

// logOtherAccount logs that the record of a known job belongs to another client account, if its
// pieces are there. Such a record has no effect; it is that of a host at which accounts were not
// in force yet. The caller must hold the mutex.
func (t *jobTable) logOtherAccount(id identifier.JobID, state *jobState, r storer.Record) {
	s, _, err := t.decode(id, r.Value)
	if err == nil && s.Account != state.submission.Account {
		klog.InfoS("record of a batch job left out, the job belongs to another account", "job", id, "account", state.submission.Account, "other", s.Account, "offset", r.Offset)
	}
}
