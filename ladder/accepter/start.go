package accepter

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A reader can't read what has left the log. It starts from the newest
// carry-forward record whose prefix joins the readable log without a gap; if
// there is none, from what a peer says is in force. One that runs already keeps
// what is in force until either goes on from there, and never goes back.

// Peers are the other entries.
type Peers interface {
	// State returns the newest state that a peer says is in force.
	State(ctx context.Context) (State, error)
}

// errNoStart says that neither the log nor a peer told what is in force.
var errNoStart = errors.New("records have left the log, and nothing carries them forward")

// start finds where to read on from when the records after the state are
// gone, or no state is there yet.
func (f *Follower) start(ctx context.Context, page appender.Page) (err error) {
	defer annotator.Annotate(&err, "start from offset %d", page.FirstRetained)
	s, found, err := f.scan(ctx, page)
	if err != nil {
		return err
	}
	if found && f.adopt(s) {
		return nil
	}
	if page.FirstRetained == 0 && f.adopt(State{}) {
		f.apply(page)
		return nil
	}
	f.markGap()
	if f.askPeers(ctx) {
		return nil
	}
	return errNoStart
}

// scan reads on from page to the log's end and returns the newest state carried
// there that the readable log joins.
func (f *Follower) scan(ctx context.Context, page appender.Page) (s State, found bool, err error) {
	firstKept, from := page.FirstRetained, f.scannedTo()
	for {
		firstKept = max(firstKept, page.FirstRetained)
		for _, record := range page.Records {
			from = max(from, record.Offset+1)
			if carried, ok := DecodeCheckpoint(record); ok && carried.NextOffset >= s.NextOffset {
				s, found = carried, true
			}
		}
		if len(page.Records) == 0 || from >= page.Next {
			break
		}
		if page, err = f.log.Read(ctx, appender.StreamConfiguration, from, pageRecords); err != nil {
			return s, false, err
		}
	}
	if found && s.NextOffset >= firstKept {
		return s, true, nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.scanFrom = from
	return s, false, nil
}

func (f *Follower) scannedTo() identifier.LogOffset {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.scanFrom
}

// DecodeCheckpoint returns the state in a carry-forward record that is in order.
func DecodeCheckpoint(record appender.Record) (s State, ok bool) {
	r, err := DecodeRecord(record.Data)
	if err != nil {
		return s, false
	}
	c, ok := r.(Checkpoint)
	if !ok || c.NextOffset > record.Offset {
		return s, false
	}
	if s, err = c.state(); err != nil {
		klog.ErrorS(err, "carry-forward record ignored", "offset", record.Offset)
		return s, false
	}
	return s, true
}

// adopt makes s the state if that goes on from the present one.
func (f *Follower) adopt(s State) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.state.follows(s) {
		klog.InfoS("state not taken: it goes back or disagrees", "revision", s.Revision, "in-force", f.state.Revision)
		return false
	}
	f.state, f.started = s, true
	f.notify()
	return true
}

func (f *Follower) markGap() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.behindGap = true
}

// askPeers takes what a peer says is in force, if that goes on from here. It
// returns whether the state has moved.
func (f *Follower) askPeers(ctx context.Context) bool {
	if f.peers == nil {
		return false
	}
	s, err := f.peers.State(ctx)
	if err != nil {
		klog.V(1).InfoS("no peer told what is in force", "err", err)
		return false
	}
	f.mutex.Lock()
	moved := s.NextOffset > f.state.NextOffset || !f.caughtUp
	f.mutex.Unlock()
	if !moved || !f.adopt(s) {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.caughtUp = true
	f.notify()
	klog.InfoS("configuration taken from a peer", "revision", s.Revision, "next", s.NextOffset)
	return true
}
