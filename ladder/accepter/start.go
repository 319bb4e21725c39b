package accepter

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Records expire from the log. A new reader therefore starts from the newest
// checkpoint whose prefix is contiguous with the remaining records or, if
// there is none, from the state that a peer reports to be in force. A reader
// that is already running keeps its state until one of these continues it, and
// never goes back to an older state.

// Peers gives access to the state of the other entries.
type Peers interface {
	// State returns the newest state that a peer reports to be in force.
	State(ctx context.Context) (State, error)
}

// errNoInitialState means that neither the log nor a peer supplied the state
// in force.
var errNoInitialState = errors.New("records have expired from the log and no checkpoint or peer supplies their state")

// recoverState determines the state to continue from if there is none yet or
// if records after the current state have expired.
func (f *Follower) recoverState(ctx context.Context, page appender.Page) (err error) {
	defer annotator.Annotate(&err, "recover state from offset %d", page.FirstRetained)
	s, found, err := f.scanForCheckpoint(ctx, page)
	if err != nil {
		return err
	}
	if found && f.replaceState(s) {
		return nil
	}
	if page.FirstRetained == 0 && f.replaceState(State{}) {
		f.applyPage(page)
		return nil
	}
	f.markGap()
	if f.fetchStateFromPeers(ctx) {
		return nil
	}
	return errNoInitialState
}

// scanForCheckpoint reads from page to the end of the log and returns the
// state of the newest checkpoint that is contiguous with the remaining
// records.
func (f *Follower) scanForCheckpoint(ctx context.Context, page appender.Page) (s State, found bool, err error) {
	firstKept, from := page.FirstRetained, f.scanOffset()
	for {
		firstKept = max(firstKept, page.FirstRetained)
		for _, record := range page.Records {
			from = max(from, record.Offset+1)
			if candidate, ok := DecodeCheckpoint(record); ok && candidate.NextOffset >= s.NextOffset {
				s, found = candidate, true
			}
		}
		if len(page.Records) == 0 || from >= page.Next {
			break
		}
		if page, err = f.log.Read(ctx, appender.StreamConfiguration, from, recordsPerRead); err != nil {
			return s, false, err
		}
	}
	if found && s.NextOffset >= firstKept {
		return s, true, nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nextScanOffset = from
	return s, false, nil
}

func (f *Follower) scanOffset() identifier.LogOffset {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nextScanOffset
}

// DecodeCheckpoint returns the state in a checkpoint record, or false if the
// record is not a valid checkpoint.
func DecodeCheckpoint(record appender.Record) (s State, ok bool) {
	r, err := DecodeRecord(record.Data)
	if err != nil {
		return s, false
	}
	c, ok := r.(Checkpoint)
	if !ok || c.NextOffset > record.Offset {
		return s, false
	}
	if s, err = c.decode(); err != nil {
		klog.ErrorS(err, "invalid checkpoint ignored", "offset", record.Offset)
		return s, false
	}
	return s, true
}

// replaceState sets the state to s if the current state can advance to it.
func (f *Follower) replaceState(s State) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.state.canAdvanceTo(s) {
		klog.InfoS("state rejected: older than or inconsistent with the state in force", "revision", s.Revision, "in-force", f.state.Revision)
		return false
	}
	f.state, f.initialized = s, true
	f.notifyChanged()
	return true
}

func (f *Follower) markGap() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hasGap = true
}

// fetchStateFromPeers replaces the state by one reported by a peer, if the
// current state can advance to it, and reports whether it has.
func (f *Follower) fetchStateFromPeers(ctx context.Context) bool {
	if f.peers == nil {
		return false
	}
	s, err := f.peers.State(ctx)
	if err != nil {
		klog.V(1).InfoS("no peer returned the configuration in force", "err", err)
		return false
	}
	f.mutex.Lock()
	moved := s.NextOffset > f.state.NextOffset || !f.caughtUp
	f.mutex.Unlock()
	if !moved || !f.replaceState(s) {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.caughtUp = true
	f.notifyChanged()
	klog.InfoS("configuration taken from a peer", "revision", s.Revision, "next", s.NextOffset)
	return true
}
