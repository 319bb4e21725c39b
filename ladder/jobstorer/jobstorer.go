package jobstorer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/batch/roomkeeper"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/replicator"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const (
	// recordOverhead is the most, in bytes, that the length and key of a record add
	// to its value.
	recordOverhead = 300
	// minPieceBytes is the smallest size of the pieces that a submission is split
	// into, except for the last: a record of 64 KiB less its overhead.
	minPieceBytes = 64<<10 - recordOverhead
	// maxDeletionRecords bounds the records of one append that deletes jobs.
	maxDeletionRecords = 2000
	// resultBatchDelay is how long results wait for others to share an append.
	// Readers poll twice a second.
	resultBatchDelay = 30 * time.Millisecond
	// appendRetryDelay is the delay before repeating an append that failed.
	appendRetryDelay = 150 * time.Millisecond
	// maxResultsAge is the age of a copy above which it cannot tell that there are
	// no new results: two reads of one second each, the first of which was lost.
	maxResultsAge = 2500 * time.Millisecond
	// deletionInterval is the time between checks for expired jobs.
	deletionInterval = 15 * time.Second
	// storeLostAfter is the time since the store's last answer after which requests
	// fail at once: one read of a second without an answer.
	storeLostAfter = 1700 * time.Millisecond
	// followTime is how long the copy of a partition of another owner is kept after
	// its last use.
	followTime = 8 * time.Second
	// maxFollowed is how many partitions a process follows at most before it refuses
	// requests for the partitions of other owners. After an outage all hosts read
	// their copies at the same time, and the users' stores deliver 80 MB/s to all of
	// them together.
	maxFollowed = 4
	// appendTimeout bounds one append of a submission or of the end of a job.
	appendTimeout = 1200 * time.Millisecond
	// followInterval is the time between checks of which partitions to follow.
	followInterval = 300 * time.Millisecond
	// copyTimeout bounds the wait for a complete copy, which is checked every
	// copyPollInterval.
	copyTimeout, copyPollInterval = time.Second, 10 * time.Millisecond
)

// ErrUnknownJob means that the job was never accepted, or has been deleted.
var ErrUnknownJob = errors.New("unknown batch job")

// ErrUnreadable means that the job exists, but that this process can't read its records. They
// are kept for one that can.
var ErrUnreadable = errors.New("the batch job's records can't be read")

// ErrStaleCopy means that the local copy is too old to answer from.
var ErrStaleCopy = errors.New("the store can't be read")

// Options are the settings of a JobStorer.
type Options struct {
	Topic identifier.TopicName
	// Partitions is the number of partitions of the topic.
	Partitions int
	// MaxRecordBytes and MaxAppendBytes bound a record and an append to the store.
	MaxRecordBytes, MaxAppendBytes int
	// Retention is how long after its acceptance a job that has ended stays readable.
	Retention time.Duration
	// SinceStoreAnswer returns the time since the last answer of the store.
	SinceStoreAnswer func() time.Duration
	// Memory is the account to which jobs are added; nil for none.
	Memory *budgeter.Budgeter
	// RoomBytes bounds the encoded bytes of the jobs for which room can be reserved; 0 for none.
	RoomBytes int64
}

// JobStorer holds copies of the partitions of all jobs and writes to them.
type JobStorer struct {
	clock      clockwork.Clock
	log        storer.Log
	options    Options
	partitions []*partition
	rooms      *roomkeeper.Keeper

	mutex   sync.Mutex
	changed chan struct{}
	// followChanged wakes up the task that starts and stops following partitions.
	followChanged chan struct{}
}

// partition is one partition of the jobs.
type partition struct {
	table      *jobTable
	replicator *replicator.Replicator

	mutex   sync.Mutex
	pending []JobResult
	// progress holds the latest partial texts that have not been written yet.
	progress map[itemKey]Progress
	wake     chan struct{}
	// usedAt is when the copy was last needed.
	usedAt time.Time
	// stop stops following the partition; it is nil while the partition is not
	// followed.
	stop func()
}

type itemKey struct {
	job  identifier.JobID
	item identifier.ItemID
}

// New returns a JobStorer that knows no jobs until Run is called.
func New(clock clockwork.Clock, log storer.Log, o Options) *JobStorer {
	s := &JobStorer{clock: clock, log: log, options: o, changed: make(chan struct{}), followChanged: make(chan struct{}, 1), rooms: roomkeeper.New(clock, o.RoomBytes)}
	for n := range o.Partitions {
		t := newJobTable(clock, s.notify)
		t.memory, t.rooms = o.Memory, s.rooms
		p := storer.Partition{Topic: o.Topic, Number: identifier.PartitionNumber(n)}
		s.partitions = append(s.partitions, &partition{
			table: t, replicator: replicator.New(clock, log, p, t, func() {}), progress: make(map[itemKey]Progress), wake: make(chan struct{}, 1),
		})
	}
	return s
}

// Run writes results until ctx ends, and follows the partitions that are owned
// according to owns or that have been requested recently.
func (s *JobStorer) Run(ctx context.Context, owns func(identifier.PartitionNumber) bool) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range s.partitions {
		tasks.Go(func() {
			recoverer.RestartOnPanic(ctx, s.clock, "results of a partition", func(ctx context.Context) { s.writeResults(ctx, p) })
		})
	}
	for ctx.Err() == nil {
		_ = recoverer.CatchPanic("choice of followed partitions", func() { s.updateAllFollowing(ctx, owns, &tasks) }) // already logged
		select {
		case <-s.followChanged:
		case <-s.clock.After(followInterval):
		case <-ctx.Done():
		}
	}
}

func (s *JobStorer) updateAllFollowing(ctx context.Context, owns func(identifier.PartitionNumber) bool, tasks *conc.WaitGroup) {
	for n, p := range s.partitions {
		if owns(identifier.PartitionNumber(n)) {
			p.markUsed(s.clock.Now())
		}
		s.updateFollowing(ctx, p, tasks)
	}
}

func (s *JobStorer) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of any job.
func (s *JobStorer) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// PartitionOf returns the partition of a job.
func (s *JobStorer) PartitionOf(id identifier.JobID) identifier.PartitionNumber {
	return identifier.PartitionNumber(xxhash.Sum64String(string(id)) % uint64(len(s.partitions)))
}

func (s *JobStorer) partitionFor(id identifier.JobID) *partition {
	return s.partitions[s.PartitionOf(id)]
}
