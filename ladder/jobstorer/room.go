package jobstorer

import (
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// LargeBytes is the size from which a host asks a job's owner for room before it accepts the job.
const LargeBytes = 1 << 20

// Bytes returns about how many bytes the encoded submission has.
func (s *Submission) Bytes() (sum int64) {
	const itemOverhead = 32
	for n := range s.Items {
		i := &s.Items[n]
		sum += itemOverhead + int64(len(i.ID)+len(i.Path)+len(i.Body)+len(i.Group))
		for name, value := range i.Headers {
			sum += int64(len(name) + len(value))
		}
		if i.Scorer != nil {
			sum += int64(len(i.Scorer.ID) + len(i.Scorer.Host) + len(i.Scorer.Path) + len(i.Scorer.Body))
		}
	}
	return sum
}

// Reserve reports whether the job exists according to a copy that is up to date, or else keeps room
// for it. It returns roomkeeper.ErrNoRoom if this process has none. It is called at the job's owner.
func (s *JobStorer) Reserve(id identifier.JobID, bytes int64) (exists bool, err error) {
	p := s.partitionFor(id)
	if _, known := p.table.job(id); known && p.replicator.Age() <= maxResultsAge {
		return true, nil
	}
	return false, s.rooms.Reserve(id, bytes)
}
