package jobstorer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Handing in and ending need no copy: it makes no difference who writes these
// records, or how often.

// Accept keeps the job from when it returns nil, also if it was kept before.
// appender.ErrUnavailable says that it surely isn't kept. The records of a job
// are the same whoever writes them, so that no copy and no condition is needed.
func (k *JobStorer) Accept(ctx context.Context, s Submission) (err error) {
	defer annotator.Annotate(&err, "accept batch job %s", s.ID)
	s.AcceptedAt = k.clock.Now().UnixMilli()
	data, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	records := submissionRecords(s.ID, data, max(leastPieceBytes, k.options.MaxRecordBytes-recordOverhead))
	return k.write(ctx, s.ID, records)
}

// write appends records that may stand there already, or twice. The last one
// gives the others their meaning.
func (k *JobStorer) write(ctx context.Context, id identifier.JobID, records []storer.Record) error {
	p := storer.Partition{Topic: k.options.Topic, Number: k.PartitionOf(id)}
	uncertain := false
	for len(records) > 0 {
		count := countUpTo(records, k.options.MaxAppendBytes)
		bounded, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := k.log.Append(bounded, p, storer.AnyOffset, records[:count])
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
		// What may have been done is done again until it is sure.
		select {
		case <-k.clock.After(retryPause):
		case <-ctx.Done():
			return appender.ErrOutcomeUnknown
		}
	}
	return nil
}

// countUpTo returns how many of the first records fit in one append.
func countUpTo(records []storer.Record, maxBytes int) (count int) {
	for size := 0; count < len(records); count++ {
		if size += len(records[count].Value) + recordOverhead; size > maxBytes && count > 0 {
			break
		}
	}
	return count
}

// End ends a job. The job may be unknown.
func (k *JobStorer) End(ctx context.Context, id identifier.JobID) (err error) {
	defer annotator.Annotate(&err, "end batch job %s", id)
	return k.write(ctx, id, []storer.Record{{Key: prefixEnd + string(id), Value: []byte("1")}})
}

// Exists returns ErrUnknownJob if there is no such job.
func (k *JobStorer) Exists(ctx context.Context, id identifier.JobID) error {
	_, err := k.find(ctx, id)
	return err
}
