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
	// pageRecords is how many records one read asks for.
	pageRecords = 256
	// pollPause is the wait after a failed read.
	pollPause = 500 * time.Millisecond
	// maxVerdicts bounds the verdicts kept for publishers that wait or ask
	// again.
	maxVerdicts = 1024
)

// Random gives the random numbers that spread the entries' writes; *rand.Rand
// is one.
type Random interface{ Int64N(n int64) int64 }

// Options are a Follower's settings.
type Options struct {
	// Retention is how long the log keeps a record. 0 says that it keeps all:
	// then nothing is carried forward.
	Retention time.Duration
}

// Follower keeps the accepted configuration up to date from the log.
type Follower struct {
	clock   clockwork.Clock
	log     appender.Log
	peers   Peers
	random  Random
	options Options

	mutex sync.Mutex
	// state only moves forward.
	state State
	// started is set once state rests on a prefix of the log, be it empty.
	started bool
	// caughtUp is set once the log's end has been reached, or a peer has told
	// what is in force. Until then state is not in force here.
	caughtUp bool
	// behindGap is set while records after state have left the log unread.
	behindGap bool
	// scanFrom is where the search for a carry-forward record goes on.
	scanFrom identifier.LogOffset
	// carried is the newest carry-forward known.
	carried carried
	// times has the log's times of the last records, at offset modulo length.
	times [maxCarryLag]time.Time
	// verdicts keeps the verdicts on the last documents read.
	verdicts *lru.Cache[publication, Verdict]
	// changed is closed and replaced at each change of state.
	changed chan struct{}
}

// publication names a document beyond doubt: ids are the operators' choice.
type publication struct {
	id   identifier.DocumentID
	hash Hash
}

// NewFollower returns a Follower of log. peers is asked where the log doesn't
// tell; nil if there are none.
func NewFollower(clock clockwork.Clock, log appender.Log, peers Peers, random Random, options Options) *Follower {
	verdicts, err := lru.New[publication, Verdict](maxVerdicts)
	if err != nil {
		panic(err)
	}
	return &Follower{
		clock: clock, log: log, peers: peers, random: random, options: options,
		verdicts: verdicts, changed: make(chan struct{}),
	}
}

// State returns the configuration in force and true, or the zero State and
// false while this reader doesn't know it yet.
func (f *Follower) State() (State, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.caughtUp {
		return State{}, false
	}
	return f.state, true
}

// WaitForState is State, once the configuration in force is known or ctx has ended.
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

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// Run reads the log until ctx ends, and carries the accepted state forward. A
// log that is down is waited for.
func (f *Follower) Run(ctx context.Context) {
	carrying := make(chan struct{})
	go func() {
		defer close(carrying)
		f.carry(ctx)
	}()
	defer func() { <-carrying }()
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("following the configuration failed", "err", err)
			f.sleep(ctx, pollPause)
		}
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// step reads one page.
func (f *Follower) step(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "follow the configuration")
	f.mutex.Lock()
	next, started, caughtUp := f.state.NextOffset, f.started, f.caughtUp
	f.mutex.Unlock()
	page, err := f.log.Read(ctx, appender.StreamConfiguration, next, pageRecords)
	if err != nil {
		if !caughtUp {
			f.askPeers(ctx)
		}
		return err
	}
	if !started || page.FirstRetained > next {
		return f.start(ctx, page)
	}
	f.apply(page)
	return nil
}

func (f *Follower) apply(page appender.Page) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.behindGap = false
	for _, record := range page.Records {
		f.applyOne(record)
	}
	reached := f.state.NextOffset >= page.Next
	if len(page.Records) > 0 || (reached && !f.caughtUp) {
		f.caughtUp = f.caughtUp || reached
		f.notify()
	}
}

// applyOne takes one record into the state. The caller holds the mutex.
func (f *Follower) applyOne(record appender.Record) {
	s, v := f.state.Apply(record)
	f.state = s
	f.times[record.Offset%maxCarryLag] = record.Time
	r, err := DecodeRecord(record.Data)
	if err != nil {
		klog.ErrorS(err, "configuration record ignored", "offset", record.Offset)
		return
	}
	switch r := r.(type) {
	case Proposal:
		f.note(r, record, v)
	case Checkpoint:
		f.noteCarried(r, record, v)
	}
}

// note keeps a verdict for whoever has published the document. The caller
// holds the mutex.
func (f *Follower) note(p Proposal, record appender.Record, v Verdict) {
	if _, ignored := v.(Ignored); ignored {
		return
	}
	if _, accepted := v.(Accepted); accepted && f.carried.at.IsZero() {
		f.carried.at = record.Time
	}
	f.verdicts.Add(publication{p.DocumentID, p.Hash}, v)
	klog.InfoS("document judged", "document", p.DocumentID, "verdict", v, "revision", f.state.Revision, "offset", record.Offset)
}

func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}
