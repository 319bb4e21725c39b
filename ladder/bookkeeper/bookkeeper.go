package bookkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
	"github.com/lycheeladder/lycheeladder/ladder/tracker"
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

// ErrNotSure says that the copy is too old to answer from.
var ErrNotSure = errors.New("the store can't be read")

// Outcome is the result of an item of a job.
type Outcome struct {
	Job    identifier.JobID
	Result Result
}

// Options are a Bookkeeper's settings.
type Options struct {
	Topic identifier.TopicName
	// Partitions is the number of the topic's partitions.
	Partitions int
	// RecordBytes and CallBytes bound a record and an append of the store.
	RecordBytes, CallBytes int
	// KeepFor is how long a settled job stays readable after its acceptance.
	KeepFor time.Duration
	// StoreAge is how long ago the store has answered anything.
	StoreAge func() time.Duration
}

// Bookkeeper has a copy of all jobs.
type Bookkeeper struct {
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
	tracker *tracker.Tracker

	mutex   sync.Mutex
	pending []Outcome
	wake    chan struct{}
	// usedAt is when the copy was asked for last.
	usedAt time.Time
	// stop ends the following of the partition; nil while it isn't followed.
	stop func()
}

// New returns a Bookkeeper that knows no job until Run.
func New(clock clockwork.Clock, log storer.Log, o Options) *Bookkeeper {
	k := &Bookkeeper{clock: clock, log: log, options: o, changed: make(chan struct{}), follow: make(chan struct{}, 1)}
	for n := range o.Partitions {
		b := newBook(clock, k.notify)
		p := storer.Partition{Topic: o.Topic, Number: identifier.PartitionNumber(n)}
		k.parts = append(k.parts, &part{
			book: b, tracker: tracker.New(clock, log, p, b, func() {}), wake: make(chan struct{}, 1),
		})
	}
	return k
}

// Run writes results until ctx ends, and follows the partitions that owns
// reports as the own ones or that are asked for.
func (k *Bookkeeper) Run(ctx context.Context, owns func(identifier.PartitionNumber) bool) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range k.parts {
		tasks.Go(func() { k.writeResults(ctx, p) })
	}
	for ctx.Err() == nil {
		for n, p := range k.parts {
			if owns(identifier.PartitionNumber(n)) {
				p.use(k.clock.Now())
			}
			k.followOrStop(ctx, p, &tasks)
		}
		select {
		case <-k.follow:
		case <-k.clock.After(followPause):
		case <-ctx.Done():
		}
	}
}

// use notes that the copy is wanted. It returns true if it isn't followed.
func (p *part) use(now time.Time) (idle bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.usedAt = now
	return p.stop == nil
}

func (k *Bookkeeper) followOrStop(ctx context.Context, p *part, tasks *conc.WaitGroup) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wanted := len(p.pending) > 0 || (!p.usedAt.IsZero() && k.clock.Since(p.usedAt) < followFor)
	switch {
	case wanted && p.stop == nil:
		following, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		p.stop = func() { cancel(); <-ended }
		tasks.Go(func() {
			defer close(ended)
			p.tracker.Run(following)
		})
	case !wanted && p.stop != nil:
		p.stop()
		p.stop = nil
		p.tracker.Forget()
	}
}

// ready follows the job's partition and waits until its copy is complete.
func (k *Bookkeeper) ready(ctx context.Context, id identifier.JobID) (*part, error) {
	p := k.partOf(id)
	if k.options.StoreAge() > lostAfter && p.tracker.Age() > lostAfter {
		return nil, ErrNotSure
	}
	if !p.followed() && k.followedCount() >= mostFollowed {
		return nil, ErrNotSure
	}
	if p.use(k.clock.Now()) {
		select {
		case k.follow <- struct{}{}:
		default:
		}
	}
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !p.tracker.Known() {
		select {
		case <-k.clock.After(readyPause):
		case <-bounded.Done():
			return nil, ErrNotSure
		}
	}
	return p, nil
}

func (p *part) followed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stop != nil
}

func (k *Bookkeeper) followedCount() (count int) {
	for _, p := range k.parts {
		if p.followed() {
			count++
		}
	}
	return count
}

// Age is how long ago the copy of a partition was known to be complete.
func (k *Bookkeeper) Age(n identifier.PartitionNumber) time.Duration { return k.parts[n].tracker.Age() }

func (k *Bookkeeper) notify() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	close(k.changed)
	k.changed = make(chan struct{})
}

// Changed is closed at the next change of any job.
func (k *Bookkeeper) Changed() <-chan struct{} {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.changed
}

// PartitionOf returns the partition that a job lives in.
func (k *Bookkeeper) PartitionOf(id identifier.JobID) identifier.PartitionNumber {
	return identifier.PartitionNumber(xxhash.Sum64String(string(id)) % uint64(len(k.parts)))
}

func (k *Bookkeeper) partOf(id identifier.JobID) *part { return k.parts[k.PartitionOf(id)] }

// Accept keeps the job from when it returns nil, also if it was kept before.
// appender.ErrUnavailable says that it surely isn't kept. The records of a job
// are the same whoever writes them, so that no copy and no condition is needed.
func (k *Bookkeeper) Accept(ctx context.Context, s Submission) (err error) {
	defer annotator.Annotate(&err, "accept batch job %s", s.ID)
	s.AcceptedAt = k.clock.Now().UnixMilli()
	data, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	records := submissionRecords(s.ID, data, max(leastPieceBytes, k.options.RecordBytes-recordOverhead))
	return k.write(ctx, s.ID, records)
}

// write appends records that may stand there already, or twice. The last one
// gives the others their meaning.
func (k *Bookkeeper) write(ctx context.Context, id identifier.JobID, records []storer.Record) error {
	p := storer.Partition{Topic: k.options.Topic, Number: k.PartitionOf(id)}
	uncertain := false
	for len(records) > 0 {
		count := countUpTo(records, k.options.CallBytes)
		bounded, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := k.log.Append(bounded, p, storer.Anywhere, records[:count])
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
			return appender.ErrAnswerLost
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
func (k *Bookkeeper) End(ctx context.Context, id identifier.JobID) (err error) {
	defer annotator.Annotate(&err, "end batch job %s", id)
	return k.write(ctx, id, []storer.Record{{Key: prefixEnd + string(id), Value: []byte("1")}})
}

// Exists returns ErrUnknownJob if there is no such job.
func (k *Bookkeeper) Exists(ctx context.Context, id identifier.JobID) error {
	_, err := k.find(ctx, id)
	return err
}

// find returns the job, and reads the store anew before it says that there is
// none.
func (k *Bookkeeper) find(ctx context.Context, id identifier.JobID) (*entry, error) {
	p, err := k.ready(ctx, id)
	if err != nil {
		return nil, err
	}
	for range 2 {
		p.book.mutex.Lock()
		e, ok := p.book.jobs[id]
		p.book.mutex.Unlock()
		if ok {
			return e, nil
		}
		if err := p.tracker.Refresh(ctx); err != nil {
			return nil, ErrNotSure
		}
	}
	return nil, ErrUnknownJob
}

// View is a part of a job's results.
type View struct {
	// Total is the number of the job's items.
	Total int `cbor:"1,keyasint"`
	// Results stand at the positions from the one asked for on.
	Results []Result `cbor:"2,keyasint"`
}

// Results returns the results from position after on, at most maxBytes of text,
// but one if there is one. It waits up to wait for a first one.
func (k *Bookkeeper) Results(ctx context.Context, id identifier.JobID, after int, wait time.Duration, maxBytes int) (v View, err error) {
	if _, err := k.find(ctx, id); err != nil {
		return View{}, err
	}
	p := k.partOf(id)
	timer := k.clock.After(wait)
	for {
		p.book.mutex.Lock()
		e, ok := p.book.jobs[id]
		if !ok {
			p.book.mutex.Unlock()
			return View{}, ErrUnknownJob
		}
		v = e.view(after, maxBytes)
		complete, changed := len(e.results) == v.Total, e.changed
		p.book.mutex.Unlock()
		if len(v.Results) > 0 || complete || wait <= 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer:
		case <-ctx.Done():
		}
		wait = 0
	}
	if len(v.Results) == 0 && p.tracker.Age() > staleAfter {
		return View{}, ErrNotSure
	}
	return v, nil
}

func (e *entry) view(after, maxBytes int) View {
	v := View{Total: len(e.submission.Items)}
	size := 0
	for n := after; n < len(e.results); n++ {
		size += len(e.results[n].Text) + recordOverhead
		if size > maxBytes && len(v.Results) > 0 {
			break
		}
		v.Results = append(v.Results, e.results[n])
	}
	return v
}

// Body returns the body of an item. It returns ErrUnknownJob where the job
// doesn't have the item.
func (k *Bookkeeper) Body(ctx context.Context, id identifier.JobID, item identifier.ItemID) ([]byte, error) {
	e, err := k.find(ctx, id)
	if err != nil {
		return nil, err
	}
	for _, i := range e.submission.Items {
		if i.ID == item {
			return i.Body, nil
		}
	}
	return nil, ErrUnknownJob
}

// Open returns the jobs of a partition that wait for results.
func (k *Bookkeeper) Open(n identifier.PartitionNumber) []Job { return k.parts[n].book.open() }

// Wanted says whether an item still waits for a result.
func (k *Bookkeeper) Wanted(job identifier.JobID, item identifier.ItemID) bool {
	return k.partOf(job).book.wanted(job, item)
}

// List writes a result, sooner or later. The first result of an item that
// reaches the store counts.
func (k *Bookkeeper) List(o Outcome) {
	p := k.partOf(o.Job)
	p.mutex.Lock()
	p.pending = append(p.pending, o)
	p.mutex.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (k *Bookkeeper) writeResults(ctx context.Context, p *part) {
	for ctx.Err() == nil {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		pause := gatherTime
		for ctx.Err() == nil {
			select {
			case <-k.clock.After(pause):
			case <-ctx.Done():
				return
			}
			left, err := k.writePending(ctx, p)
			if left == 0 {
				break
			}
			pause = 0
			if err != nil {
				pause = retryPause
			}
		}
	}
}

// writePending writes what is pending and returns how much is left.
func (k *Bookkeeper) writePending(ctx context.Context, p *part) (left int, err error) {
	p.mutex.Lock()
	batch := p.pending
	p.mutex.Unlock()
	err = p.tracker.Append(ctx, func() []storer.Record { return p.book.resultRecords(batch, k.options.CallBytes) })
	if err != nil {
		klog.InfoS("results wait for the store", "count", len(batch), "err", err)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pending = p.book.unlisted(p.pending)
	return len(p.pending), err
}

// DropSettled drops jobs past their time in the partitions that owns reports as
// the own ones, until ctx ends.
func (k *Bookkeeper) DropSettled(ctx context.Context, owns func(identifier.PartitionNumber) bool) {
	for {
		select {
		case <-k.clock.After(dropPause):
		case <-ctx.Done():
			return
		}
		for n, p := range k.parts {
			if !owns(identifier.PartitionNumber(n)) {
				continue
			}
			err := p.tracker.Append(ctx, func() []storer.Record { return p.book.dropRecords(k.options.KeepFor) })
			if err != nil && !errors.Is(err, appender.ErrUnavailable) {
				klog.InfoS("settled batch jobs not dropped yet", "partition", n, "err", err)
			}
		}
	}
}

// demandAge is the age up to which a job counts as demand: some steps of the
// users' trainers, one every 4 s.
const demandAge = 20 * time.Second

// Demand counts the tokens of the recent jobs of some partitions, by model.
func (k *Bookkeeper) Demand(partitions []identifier.PartitionNumber) map[identifier.ModelName]identifier.TokenCount {
	demand := make(map[identifier.ModelName]identifier.TokenCount)
	for _, n := range partitions {
		k.parts[n].book.addDemand(demand)
	}
	return demand
}
