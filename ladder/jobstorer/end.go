package jobstorer

import (
	"context"
	"strings"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// earlyEnd is the end of a job that is not known yet.
type earlyEnd struct {
	by     ender
	readAt time.Time
}

// ender is who has ended a job: any caller, or one of a client account.
type ender struct {
	checked bool
	account identifier.AccountName
}

// The value of an end's record is anyCaller, or accountPrefix and the caller's account.
const (
	anyCaller     = "1"
	accountPrefix = "account/"
)

func (e ender) value() []byte {
	if !e.checked {
		return []byte(anyCaller)
	}
	return []byte(accountPrefix + string(e.account))
}

func endedBy(value []byte) ender {
	account, checked := strings.CutPrefix(string(value), accountPrefix)
	if !checked {
		return ender{}
	}
	return ender{checked: true, account: identifier.AccountName(account)}
}

// mayEnd reports whether a job of the account owner ends.
func (e ender) mayEnd(owner identifier.AccountName) bool {
	return !e.checked || mayUse(e.account, owner)
}

// End ends a job. A job that is unknown ends as soon as it is read.
func (s *JobStorer) End(ctx context.Context, id identifier.JobID) error {
	return s.end(ctx, id, ender{})
}

// EndForAccount ends a job that the client account a may use, and no other one. The job may be
// unknown, as for End.
func (s *JobStorer) EndForAccount(ctx context.Context, a identifier.AccountName, id identifier.JobID) error {
	return s.end(ctx, id, ender{checked: true, account: a})
}

func (s *JobStorer) end(ctx context.Context, id identifier.JobID, by ender) (err error) {
	defer annotator.Annotate(&err, "end batch job %s", id)
	return s.appendRecords(ctx, id, []storer.Record{{Key: prefixEnd + string(id), Value: by.value()}})
}

// earlyEndDeletions returns the records that delete ends whose jobs have not appeared within the
// retention. The caller must hold the mutex.
func (t *jobTable) earlyEndDeletions(retention time.Duration) (records []storer.Record) {
	for id, end := range t.earlyEnds {
		if t.clock.Since(end.readAt) < retention {
			continue
		}
		if records = append(records, storer.Record{Key: prefixEnd + string(id)}); len(records) > maxDeletionRecords {
			break
		}
	}
	return records
}
