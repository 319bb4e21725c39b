// Package fetcher is the trainer's side of delivery: it gives every sample to
// the trainer exactly once, whatever becomes of the entries.
package fetcher

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/labeler"
)

// The trainer alone knows what it has consumed, so the last check is here: a
// second copy and a sample past the bound are returned unconsumed.

// Entry is one entry as a trainer sees it.
type Entry interface {
	Open(ctx context.Context, o deliverer.OpenRequest) error
	Submit(ctx context.Context, s deliverer.SubmitRequest) error
	Fetch(ctx context.Context, f deliverer.FetchRequest) (deliverer.Batch, error)
	Announce(ctx context.Context, a deliverer.AnnounceRequest) error
}

// ErrSuperseded is what an Entry returns for a session that it doesn't have.
var ErrSuperseded = deliverer.ErrSuperseded

// Options are a Fetcher's settings.
type Options struct {
	Model identifier.ModelName
	// BatchLimit bounds the samples of one fetch.
	BatchLimit int
	// RetryDelay is the wait before another entry is tried.
	RetryDelay time.Duration
}

// Fetcher is one trainer's client. Its calls may come from several tasks, but
// fetches are serial.
type Fetcher struct {
	clock   clockwork.Clock
	entries []Entry
	options Options

	mutex sync.Mutex
	// current is the index of the entry in use.
	current int
	// session grows with every opening.
	session identifier.SessionNumber
	open    bool
	opened  int
	// after is the last number taken in this session.
	after identifier.SequenceNumber
	// have lists the samples taken of unfinished groups.
	have map[identifier.SampleID]bool
	// groups are those of which samples are missing.
	groups   map[identifier.GroupID]*group
	buffered []deliverer.Sample
	rejected []identifier.SampleID
	bound    uint64
	// duplicates and stale count samples returned unconsumed.
	duplicates, stale int
}

type group struct {
	deliverer.Group
	missing int
}

// New returns a Fetcher that uses the entries in turn.
func New(clock clockwork.Clock, entries []Entry, options Options) *Fetcher {
	return &Fetcher{
		clock: clock, entries: entries, options: options,
		session: identifier.SessionNumber(clock.Now().UnixMicro()),
		have:    make(map[identifier.SampleID]bool),
		groups:  make(map[identifier.GroupID]*group),
	}
}

// Submit asks for groups. They are asked for again wherever a session opens,
// until every sample has come.
func (f *Fetcher) Submit(ctx context.Context, groups []deliverer.Group) error {
	f.mutex.Lock()
	for _, g := range groups {
		if _, known := f.groups[g.ID]; !known {
			f.groups[g.ID] = &group{Group: g, missing: g.Samples}
		}
	}
	entry, s, open := f.entries[f.current], f.session, f.open
	f.mutex.Unlock()
	if !open {
		return nil
	}
	if err := entry.Submit(ctx, deliverer.SubmitRequest{Model: f.options.Model, Session: s, Groups: groups}); err != nil {
		f.fail(err)
	}
	return nil
}

// Announce tells the entries of new weights, and returns once one knows.
func (f *Fetcher) Announce(ctx context.Context, v identifier.WeightVersion) error {
	a := deliverer.AnnounceRequest{Model: f.options.Model, Version: v}
	for ctx.Err() == nil {
		f.mutex.Lock()
		n := f.current
		f.mutex.Unlock()
		for k := range f.entries {
			if f.entries[(n+k)%len(f.entries)].Announce(ctx, a) == nil {
				return nil
			}
		}
		f.pause(ctx)
	}
	return ctx.Err()
}

// Next returns the next sample for a trainer at the given version. It ends
// only with a sample or with ctx.
func (f *Fetcher) Next(ctx context.Context, version identifier.WeightVersion) (deliverer.Sample, error) {
	for ctx.Err() == nil {
		if sample, ok := f.take(version); ok {
			return sample, nil
		}
		if err := f.fill(ctx, version); err != nil {
			f.fail(err)
			f.pause(ctx)
		}
	}
	return deliverer.Sample{}, ctx.Err()
}

// Missing returns how many samples have been asked for and not come.
func (f *Fetcher) Missing() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	missing := 0
	for _, g := range f.groups {
		missing += g.missing
	}
	return missing
}

// Discarded counts second copies and stale samples returned unconsumed.
func (f *Fetcher) Discarded() (duplicates, stale int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.duplicates, f.stale
}

// take gives out a buffered sample that is new and fresh.
func (f *Fetcher) take(version identifier.WeightVersion) (deliverer.Sample, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for len(f.buffered) > 0 {
		sample := f.buffered[0]
		f.buffered = f.buffered[1:]
		f.after = sample.Sequence
		g, wanted := f.groups[sample.Group]
		if !wanted || f.have[sample.ID] {
			f.duplicates++
			continue
		}
		if len(sample.Spans) == 0 || deliverer.Stale(version, labeler.OldestVersion(sample.Spans), f.bound) {
			f.stale++
			f.rejected = append(f.rejected, sample.ID)
			continue
		}
		f.have[sample.ID] = true
		g.missing--
		if g.missing == 0 {
			f.forget(g)
		}
		return sample, true
	}
	return deliverer.Sample{}, false
}

// forget drops a group that is whole. The caller holds the mutex.
func (f *Fetcher) forget(g *group) {
	delete(f.groups, g.ID)
	for n := range g.Samples {
		delete(f.have, deliverer.SampleIDOf(g.ID, n))
	}
}

// fill opens a session if there is none, and fetches.
func (f *Fetcher) fill(ctx context.Context, version identifier.WeightVersion) error {
	if err := f.ensureOpen(ctx); err != nil {
		return err
	}
	f.mutex.Lock()
	entry := f.entries[f.current]
	request := deliverer.FetchRequest{
		Model: f.options.Model, Session: f.session, After: f.after, Version: version,
		Rejected: f.rejected, Limit: f.options.BatchLimit,
	}
	f.mutex.Unlock()
	b, err := entry.Fetch(ctx, request)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.session != request.Session {
		return nil
	}
	f.rejected = nil
	f.bound = b.StalenessBound
	for _, sample := range b.Samples {
		if sample.Sequence == f.after+identifier.SequenceNumber(len(f.buffered))+1 {
			f.buffered = append(f.buffered, sample)
		}
	}
	return nil
}

func (f *Fetcher) ensureOpen(ctx context.Context) error {
	f.mutex.Lock()
	if f.open {
		f.mutex.Unlock()
		return nil
	}
	f.session++
	f.opened++
	f.after, f.buffered, f.rejected = 0, nil, nil
	entry := f.entries[f.current]
	opening := deliverer.OpenRequest{Model: f.options.Model, Session: f.session, Takeover: f.opened > 1}
	for id := range f.have {
		opening.Received = append(opening.Received, id)
	}
	f.mutex.Unlock()
	if err := entry.Open(ctx, opening); err != nil {
		return err
	}
	// From here on Submit sends groups itself; those known now are sent here.
	f.mutex.Lock()
	f.open = true
	submission := deliverer.SubmitRequest{Model: f.options.Model, Session: opening.Session}
	for _, g := range f.groups {
		submission.Groups = append(submission.Groups, g.Group)
	}
	f.mutex.Unlock()
	return entry.Submit(ctx, submission)
}

// fail leaves the entry in use for the next one.
func (f *Fetcher) fail(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	klog.InfoS("entry left", "entry", f.current, "session", f.session, "err", err)
	f.open = false
	f.current = (f.current + 1) % len(f.entries)
}

func (f *Fetcher) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(f.options.RetryDelay):
	}
}

var errStatus = errors.New("entry refused")
