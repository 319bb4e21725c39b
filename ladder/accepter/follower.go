package accepter

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

const (
	// recordsPerRead is the maximum number of records requested in one read.
	recordsPerRead = 256
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 500 * time.Millisecond
	// maxCachedVerdicts limits the verdicts kept for clients that wait for one
	// or retry.
	maxCachedVerdicts = 1024
)

// Random generates the random numbers that spread the writes and queries of
// the entries; *rand.Rand implements it.
type Random interface{ Int64N(n int64) int64 }

// Options configures a Follower.
type Options struct {
	// Retention is the retention period of the log. 0 means that records never
	// expire; no checkpoints are written then.
	Retention time.Duration
}

// Follower reads the log and keeps the accepted configuration up to date.
type Follower struct {
	clock   clockwork.Clock
	log     appender.Log
	peers   Peers
	random  Random
	options Options

	mutex sync.Mutex
	// state is only replaced by newer states.
	state State
	// initialized is set once state reflects a prefix of the log, which may be
	// empty.
	initialized bool
	// caughtUp is set once the end of the log has been reached or a peer has
	// supplied the state in force. Until then state must not be used as the
	// configuration in force.
	caughtUp bool
	// hasGap is set while unread records after state have expired from the
	// log.
	hasGap bool
	// nextScanOffset is the offset from which the search for a checkpoint
	// continues.
	nextScanOffset identifier.LogOffset
	// coverage is that of the newest known checkpoint.
	coverage checkpointCoverage
	// recordTimes holds the log timestamps of the last records, indexed by
	// offset modulo its length.
	recordTimes [maxCheckpointLag]time.Time
	// verdicts caches the verdicts on the last documents read.
	verdicts *lru.Cache[documentKey, Verdict]
	// changed is closed and replaced whenever state changes.
	changed chan struct{}
}

// documentKey identifies a document by id and content: operators choose the
// ids, so that different documents may share one.
type documentKey struct {
	id   identifier.DocumentID
	hash Hash
}

// NewFollower returns a Follower of log. peers is queried when the log cannot
// supply the state; it may be nil.
func NewFollower(clock clockwork.Clock, log appender.Log, peers Peers, random Random, options Options) *Follower {
	verdicts, err := lru.New[documentKey, Verdict](maxCachedVerdicts)
	if err != nil {
		panic(err)
	}
	return &Follower{
		clock: clock, log: log, peers: peers, random: random, options: options,
		verdicts: verdicts, changed: make(chan struct{}),
	}
}

// State returns the configuration in force, or false if this reader does not
// know it yet.
func (f *Follower) State() (State, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.caughtUp {
		return State{}, false
	}
	return f.state, true
}

// WaitForState waits until the configuration in force is known and returns it,
// or false if ctx ends first.
func (f *Follower) WaitForState(ctx context.Context) (State, bool) {
	for {
		changed := f.Changed()
		if s, inForce := f.State(); inForce {
			return s, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return State{}, false
		}
	}
}

// Changed returns a channel that is closed at the next change of state.
func (f *Follower) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// Run reads the log and writes checkpoints until ctx ends. Failed reads are
// retried.
func (f *Follower) Run(ctx context.Context) {
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		f.writeCheckpoints(ctx)
	}()
	defer func() { <-writerDone }()
	for ctx.Err() == nil {
		if err := f.readPage(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("reading the configuration log failed", "err", err)
			f.sleep(ctx, readRetryDelay)
		}
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// readPage reads and applies one page of the log.
func (f *Follower) readPage(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "read the configuration log")
	f.mutex.Lock()
	next, started, caughtUp := f.state.NextOffset, f.initialized, f.caughtUp
	f.mutex.Unlock()
	page, err := f.log.Read(ctx, appender.StreamConfiguration, next, recordsPerRead)
	if err != nil {
		if !caughtUp {
			f.fetchStateFromPeers(ctx)
		}
		return err
	}
	if !started || page.FirstRetained > next {
		return f.recoverState(ctx, page)
	}
	f.applyPage(page)
	return nil
}

func (f *Follower) applyPage(page appender.Page) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hasGap = false
	for _, record := range page.Records {
		f.applyRecord(record)
	}
	reached := f.state.NextOffset >= page.Next
	if len(page.Records) > 0 || (reached && !f.caughtUp) {
		f.caughtUp = f.caughtUp || reached
		f.notifyChanged()
	}
}

// applyRecord applies one record to the state. The caller holds the mutex.
func (f *Follower) applyRecord(record appender.Record) {
	s, v := f.state.Apply(record)
	f.state = s
	f.recordTimes[record.Offset%maxCheckpointLag] = record.Time
	r, err := DecodeRecord(record.Data)
	if err != nil {
		klog.ErrorS(err, "configuration record ignored", "offset", record.Offset)
		return
	}
	switch r := r.(type) {
	case Proposal:
		f.cacheVerdict(r, record, v)
	case Checkpoint:
		f.recordCheckpoint(r, record, v)
	}
}

// cacheVerdict stores a verdict for the clients that have published the
// document. The caller holds the mutex.
func (f *Follower) cacheVerdict(p Proposal, record appender.Record, v Verdict) {
	if _, ignored := v.(Ignored); ignored {
		return
	}
	if _, accepted := v.(Accepted); accepted && f.coverage.uncoveredSince.IsZero() {
		f.coverage.uncoveredSince = record.Time
	}
	f.verdicts.Add(documentKey{p.DocumentID, p.Hash}, v)
	klog.InfoS("proposed document evaluated", "document", p.DocumentID, "verdict", v, "revision", f.state.Revision, "offset", record.Offset)
}

func (f *Follower) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}
