package jobstorer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Submissions and ends are written without a copy of the partition, because it does
// not matter which process writes these records, or how often.

// Accept stores the job, which is durable once nil is returned. Accepting a job again
// is harmless. appender.ErrUnavailable means that the job is certainly not stored.
// Processes that write the same submission write the same pieces, and other pieces have
// other keys, so neither a copy nor a conditional write is needed.
func (s *JobStorer) Accept(ctx context.Context, submission Submission) (err error) {
	defer annotator.Annotate(&err, "accept batch job %s", submission.ID)
	records, err := s.recordsOf(submission)
	if err != nil {
		return err
	}
	return s.appendRecords(ctx, submission.ID, records)
}

// recordsOf returns the records of a job that is accepted now; the last one is the job's record.
func (s *JobStorer) recordsOf(submission Submission) ([]storer.Record, error) {
	submission.AcceptedAt = s.clock.Now().UnixMilli()
	return submissionRecords(submission, max(minPieceBytes, s.options.MaxRecordBytes-recordOverhead))
}

// appendRecords appends records that may already be stored, or be stored twice. The
// records only take effect with the last one.
func (s *JobStorer) appendRecords(ctx context.Context, id identifier.JobID, records []storer.Record) error {
	p := storer.Partition{Topic: s.options.Topic, Number: s.PartitionOf(id)}
	uncertain := false
	for len(records) > 0 {
		count := countThatFit(records, s.options.MaxAppendBytes)
		timeoutCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := s.log.Append(timeoutCtx, p, storer.AnyOffset, records[:count])
		cancel()
		switch {
		case err == nil:
			records = records[count:]
			uncertain = false
			continue
		case !errors.Is(err, appender.ErrUnavailable):
			uncertain = true
		case !uncertain:
			return err
		}
		// An append with an uncertain outcome is repeated until it is confirmed.
		select {
		case <-s.clock.After(appendRetryDelay):
		case <-ctx.Done():
			return appender.ErrOutcomeUnknown
		}
	}
	return nil
}

// countThatFit returns how many leading records fit into one append.
func countThatFit(records []storer.Record, maxBytes int) (count int) {
	for size := 0; count < len(records); count++ {
		if size += len(records[count].Value) + recordOverhead; size > maxBytes && count > 0 {
			break
		}
	}
	return count
}

// Exists returns ErrUnknownJob if there is no such job.
func (s *JobStorer) Exists(ctx context.Context, id identifier.JobID) error {
	_, err := s.findJob(ctx, id)
	return err
}
