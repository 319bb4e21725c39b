package accepter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const (
	// pageRecords is how many records one read asks for.
	pageRecords = 256
	// pollPause is the wait after a failed read.
	pollPause = 500 * time.Millisecond
)

// Follower keeps the accepted configuration up to date from the log.
type Follower struct {
	clock clockwork.Clock
	log   appender.Log

	mutex sync.Mutex
	// state only moves forward.
	state State
	// caughtUp is set once the log's end has been reached.
	caughtUp bool
	// verdicts keeps the verdict on each document read, newest last.
	verdicts map[identifier.DocumentID]Verdict
	// changed is closed and replaced at each change of state.
	changed chan struct{}
}

// NewFollower returns a Follower of log.
func NewFollower(clock clockwork.Clock, log appender.Log) *Follower {
	return &Follower{
		clock: clock, log: log,
		verdicts: make(map[identifier.DocumentID]Verdict),
		changed:  make(chan struct{}),
	}
}

// State returns the configuration in force and whether the end of the log was
// reached at least once.
func (f *Follower) State() (State, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state, f.caughtUp
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// Run reads the log until ctx ends. A log that is down is waited for.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("reading the log failed", "err", err)
			select {
			case <-ctx.Done():
			case <-f.clock.After(pollPause):
			}
		}
	}
}

func (f *Follower) step(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "follow the configuration")
	s, _ := f.State()
	page, err := f.log.Read(ctx, appender.StreamConfiguration, s.Next, pageRecords)
	if err != nil {
		return err
	}
	if page.FirstKept > s.Next {
		if page, err = f.startFromCarryForward(ctx, page); err != nil {
			return err
		}
	}
	f.apply(page)
	return nil
}

// startFromCarryForward looks for a carry-forward record whose prefix still
// joins the readable log without a gap, and reads on from there.
func (f *Follower) startFromCarryForward(ctx context.Context, page appender.Page) (appender.Page, error) {
	first := page.FirstKept
	for {
		for _, record := range page.Records {
			r, err := DecodeRecord(record.Data)
			if err != nil || r.Kind != KindCarryForward || r.ReadUpTo < first {
				continue
			}
			d := r.Document
			f.set(State{Revision: r.Revision, Document: &d, Next: r.ReadUpTo})
			return f.log.Read(ctx, appender.StreamConfiguration, r.ReadUpTo, pageRecords)
		}
		if len(page.Records) == 0 {
			return page, errors.Errorf("records before offset %d are gone and nothing carries them forward", first)
		}
		var err error
		from := page.Records[len(page.Records)-1].Offset + 1
		if page, err = f.log.Read(ctx, appender.StreamConfiguration, from, pageRecords); err != nil {
			return page, err
		}
	}
}

func (f *Follower) apply(page appender.Page) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.state.Revision
	for _, record := range page.Records {
		s, v := f.state.Apply(record)
		f.state = s
		f.note(record, v)
	}
	reached := f.state.Next >= page.Next
	if f.state.Revision != before || (reached && !f.caughtUp) || len(page.Records) > 0 {
		f.caughtUp = f.caughtUp || reached
		f.notify()
	}
}

func (f *Follower) note(record appender.Record, v Verdict) {
	r, err := DecodeRecord(record.Data)
	if err != nil || r.Kind != KindProposal {
		return
	}
	if _, ignored := v.(Ignored); ignored {
		return
	}
	if _, accepted := f.verdicts[r.Document.ID].(Accepted); accepted {
		return // A late copy of it changes nothing.
	}
	f.verdicts[r.Document.ID] = v
	klog.InfoS("document judged", "document", r.Document.ID, "verdict", v, "revision", f.state.Revision, "offset", record.Offset)
}

func (f *Follower) set(s State) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if s.Revision >= f.state.Revision {
		f.state = s
		f.notify()
	}
}

func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Publish appends the document as a proposal and waits for the verdict. An
// error leaves open whether it will be accepted; to ask again, publish the
// same document with the same id: it is never accepted twice.
func (f *Follower) Publish(ctx context.Context, d validator.Document) (v Verdict, err error) {
	defer annotator.Annotate(&err, "publish document %s", d.ID)
	if v := f.verdictOn(d.ID); v != nil {
		return v, nil
	}
	data, err := Record{Kind: KindProposal, Document: d}.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := f.log.Append(ctx, appender.StreamConfiguration, [][]byte{data}); err != nil && !errors.Is(err, appender.ErrAnswerLost) {
		return nil, err
	}
	for {
		changed := f.Changed()
		if v := f.verdictOn(d.ID); v != nil {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (f *Follower) verdictOn(id identifier.DocumentID) Verdict {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if v, ok := f.verdicts[id]; ok {
		return v
	}
	return nil
}
