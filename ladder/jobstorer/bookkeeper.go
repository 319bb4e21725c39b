package jobstorer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/replicator"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const (
	// recordOverhead is what a record's length and key add to its value, in
	// bytes, at most.
	recordOverhead = 300
	// leastPieceBytes is the smallest piece that a submission is cut into
	// while more is left: a record of 64 KiB with its overhead.
	leastPieceBytes = 64<<10 - recordOverhead
	// dropRecordsAtOnce bounds the records of one append that drops jobs.
	dropRecordsAtOnce = 2000
	// gatherTime is how long results wait for others to share an append.
	// Readers ask twice a second.
	gatherTime = 30 * time.Millisecond
	// retryPause is the pause after an append that failed.
	retryPause = 150 * time.Millisecond
	// staleAfter is the age from which a copy doesn't answer for the newest
	// results: two reads of a second each, the first of them lost.
	staleAfter = 2500 * time.Millisecond
	// dropPause is between two looks for jobs to drop.
	dropPause = 15 * time.Second
	// lostAfter is the age of the store's last answer from which callers are
	// refused at once: a read of a second without an answer.
	lostAfter = 1700 * time.Millisecond
	// followFor is how long the copy of a partition is kept that others work
	// on, after it was asked for.
	followFor = 8 * time.Second
	// mostFollowed is how many partitions a process may follow before it
	// refuses to answer for others' ones. After an outage all hosts at once
	// look for what they need; the users' stores give 80 MB a second to all.
	mostFollowed = 4
	// writeTimeout bounds one append of a job or its end.
	writeTimeout = 1200 * time.Millisecond
	// followPause is between two looks at which partitions to follow.
	followPause = 300 * time.Millisecond
	// readyTimeout bounds the wait for a copy; readyPause is between two
	// looks.
	readyTimeout, readyPause = time.Second, 10 * time.Millisecond
)

// ErrUnknownJob says that the job was never accepted, or is forgotten.
var ErrUnknownJob = errors.New("unknown batch job")

// ErrStaleCopy says that the copy is too old to answer from.
var ErrStaleCopy = errors.New("the store can't be read")

// Options are a Bookkeeper's settings.
type Options struct {
	Topic identifier.TopicName
	// Partitions is the number of the topic's partitions.
	Partitions int
	// MaxRecordBytes and MaxAppendBytes bound a record and an append of the store.
	MaxRecordBytes, MaxAppendBytes int
	// Retention is how long a settled job stays readable after its acceptance.
	Retention time.Duration
	// SinceStoreAnswer is how long ago the store has answered anything.
	SinceStoreAnswer func() time.Duration
}

// JobStorer has a copy of all jobs.
type JobStorer struct {
	clock   clockwork.Clock
	log     storer.Log
	options Options
	parts   []*part

	mutex   sync.Mutex
	changed chan struct{}
	// follow wakes the task that begins and ends the following of partitions.
	follow chan struct{}
}

// part is one partition of the jobs.
type part struct {
	book    *book
	tracker *replicator.Replicator

	mutex   sync.Mutex
	pending []JobResult
	// progress has the newest parts of texts that wait to be written.
	progress map[itemKey]Progress
	wake     chan struct{}
	// usedAt is when the copy was asked for last.
	usedAt time.Time
	// stop ends the following of the partition; nil while it isn't followed.
	stop func()
}

type itemKey struct {
	job  identifier.JobID
	item identifier.ItemID
}

// New returns a Bookkeeper that knows no job until Run.
func New(clock clockwork.Clock, log storer.Log, o Options) *JobStorer {
	k := &JobStorer{clock: clock, log: log, options: o, changed: make(chan struct{}), follow: make(chan struct{}, 1)}
	for n := range o.Partitions {
		b := newBook(clock, k.notify)
		p := storer.Partition{Topic: o.Topic, Number: identifier.PartitionNumber(n)}
		k.parts = append(k.parts, &part{
			book: b, tracker: replicator.New(clock, log, p, b, func() {}), progress: make(map[itemKey]Progress), wake: make(chan struct{}, 1),
		})
	}
	return k
}

// Run writes results until ctx ends, and follows the partitions that owns
// reports as the own ones or that are asked for.
func (k *JobStorer) Run(ctx context.Context, owns func(identifier.PartitionNumber) bool) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range k.parts {
		tasks.Go(func() {
			recoverer.RestartOnPanic(ctx, k.clock, "results of a partition", func(ctx context.Context) { k.writeResults(ctx, p) })
		})
	}
	for ctx.Err() == nil {
		_ = recoverer.CatchPanic("choice of partitions", func() { k.followAll(ctx, owns, &tasks) }) // it is logged there
		select {
		case <-k.follow:
		case <-k.clock.After(followPause):
		case <-ctx.Done():
		}
	}
}

func (k *JobStorer) followAll(ctx context.Context, owns func(identifier.PartitionNumber) bool, tasks *conc.WaitGroup) {
	for n, p := range k.parts {
		if owns(identifier.PartitionNumber(n)) {
			p.use(k.clock.Now())
		}
		k.followOrStop(ctx, p, tasks)
	}
}

func (k *JobStorer) notify() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	close(k.changed)
	k.changed = make(chan struct{})
}

// Changed is closed at the next change of any job.
func (k *JobStorer) Changed() <-chan struct{} {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.changed
}

// PartitionOf returns the partition that a job lives in.
func (k *JobStorer) PartitionOf(id identifier.JobID) identifier.PartitionNumber {
	return identifier.PartitionNumber(xxhash.Sum64String(string(id)) % uint64(len(k.parts)))
}

func (k *JobStorer) partOf(id identifier.JobID) *part { return k.parts[k.PartitionOf(id)] }
