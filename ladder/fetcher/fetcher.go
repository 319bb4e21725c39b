// Package fetcher is the trainer's client for sample delivery: it returns every
// sample to the trainer exactly once, also when entries fail.
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

// Only the trainer knows which samples it has consumed, so the final check is
// here: duplicates and samples beyond the staleness bound are not returned to
// the trainer.

// Entry is the interface of an entry that a trainer uses.
type Entry interface {
	Open(ctx context.Context, o deliverer.OpenRequest) error
	Submit(ctx context.Context, s deliverer.SubmitRequest) error
	Fetch(ctx context.Context, f deliverer.FetchRequest) (deliverer.Batch, error)
	Announce(ctx context.Context, a deliverer.AnnounceRequest) error
}

// ErrSuperseded is returned by an Entry that does not have the session.
var ErrSuperseded = deliverer.ErrSuperseded

// Options configure a Fetcher.
type Options struct {
	Model identifier.ModelName
	// BatchLimit is the maximum number of samples per fetch.
	BatchLimit int
	// RetryDelay is the delay before another entry is tried.
	RetryDelay time.Duration
}

// Fetcher is the client of one trainer. Its methods may be called concurrently,
// except for Next.
type Fetcher struct {
	clock   clockwork.Clock
	entries []Entry
	options Options

	mutex sync.Mutex
	// current is the index of the entry in use.
	current int
	// session is incremented each time a session is opened.
	session   identifier.SessionNumber
	open      bool
	openCount int
	// lastSequence is the sequence number of the last sample processed in this
	// session.
	lastSequence identifier.SequenceNumber
	// received has the samples received of unfinished groups.
	received map[identifier.SampleID]bool
	// groups has the groups of which samples are missing.
	groups         map[identifier.GroupID]*group
	buffered       []deliverer.Sample
	rejected       []identifier.SampleID
	stalenessBound uint64
	// duplicates and stale count discarded samples.
	duplicates, stale int
}

type group struct {
	deliverer.Group
	missing int
}

// New returns a Fetcher that switches to the next entry when one fails.
func New(clock clockwork.Clock, entries []Entry, options Options) *Fetcher {
	return &Fetcher{
		clock: clock, entries: entries, options: options,
		session:  identifier.SessionNumber(clock.Now().UnixMicro()),
		received: make(map[identifier.SampleID]bool),
		groups:   make(map[identifier.GroupID]*group),
	}
}

// Submit requests groups. They are submitted again whenever a session opens,
// until every sample has arrived.
func (f *Fetcher) Submit(ctx context.Context, groups []deliverer.Group) error {
	f.mutex.Lock()
	for _, g := range groups {
		if _, known := f.groups[g.ID]; !known {
			f.groups[g.ID] = &group{Group: g, missing: g.Samples}
		}
	}
	entry, session, open := f.entries[f.current], f.session, f.open
	f.mutex.Unlock()
	if !open {
		return nil
	}
	if err := entry.Submit(ctx, deliverer.SubmitRequest{Model: f.options.Model, Session: session, Groups: groups}); err != nil {
		f.switchEntry(err)
	}
	return nil
}

// Announce announces new weights, and returns once one entry has accepted the
// announcement.
func (f *Fetcher) Announce(ctx context.Context, v identifier.WeightVersion) error {
	a := deliverer.AnnounceRequest{Model: f.options.Model, Version: v}
	for ctx.Err() == nil {
		f.mutex.Lock()
		first := f.current
		f.mutex.Unlock()
		for n := range f.entries {
			if f.entries[(first+n)%len(f.entries)].Announce(ctx, a) == nil {
				return nil
			}
		}
		f.waitRetryDelay(ctx)
	}
	return ctx.Err()
}

// Next returns the next sample for a trainer at the given version. It returns
// only with a sample or when ctx ends.
func (f *Fetcher) Next(ctx context.Context, version identifier.WeightVersion) (deliverer.Sample, error) {
	for ctx.Err() == nil {
		if sample, ok := f.nextBuffered(version); ok {
			return sample, nil
		}
		if err := f.fetchBatch(ctx, version); err != nil {
			f.switchEntry(err)
			f.waitRetryDelay(ctx)
		}
	}
	return deliverer.Sample{}, ctx.Err()
}

// Missing returns the number of samples requested and not received.
func (f *Fetcher) Missing() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	missing := 0
	for _, g := range f.groups {
		missing += g.missing
	}
	return missing
}

// Discarded returns the numbers of duplicate and of stale samples, which were
// not returned to the trainer.
func (f *Fetcher) Discarded() (duplicates, stale int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.duplicates, f.stale
}

// nextBuffered returns the next buffered sample that is neither a duplicate nor
// stale.
func (f *Fetcher) nextBuffered(version identifier.WeightVersion) (deliverer.Sample, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for len(f.buffered) > 0 {
		sample := f.buffered[0]
		f.buffered = f.buffered[1:]
		f.lastSequence = sample.Sequence
		g, wanted := f.groups[sample.Group]
		if !wanted || f.received[sample.ID] {
			f.duplicates++
			continue
		}
		if len(sample.Spans) == 0 || deliverer.Stale(version, labeler.OldestVersion(sample.Spans), f.stalenessBound) {
			f.stale++
			f.rejected = append(f.rejected, sample.ID)
			continue
		}
		f.received[sample.ID] = true
		g.missing--
		if g.missing == 0 {
			f.removeGroup(g)
		}
		return sample, true
	}
	return deliverer.Sample{}, false
}

// removeGroup removes a complete group. The caller holds the mutex.
func (f *Fetcher) removeGroup(g *group) {
	delete(f.groups, g.ID)
	for n := range g.Samples {
		delete(f.received, deliverer.SampleIDOf(g.ID, n))
	}
}

// fetchBatch opens a session if none is open, and fetches samples into the
// buffer.
func (f *Fetcher) fetchBatch(ctx context.Context, version identifier.WeightVersion) error {
	if err := f.ensureOpen(ctx); err != nil {
		return err
	}
	f.mutex.Lock()
	entry := f.entries[f.current]
	request := deliverer.FetchRequest{
		Model: f.options.Model, Session: f.session, After: f.lastSequence, Version: version,
		Rejected: f.rejected, Limit: f.options.BatchLimit,
	}
	f.mutex.Unlock()
	batch, err := entry.Fetch(ctx, request)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.session != request.Session {
		return nil
	}
	f.rejected = nil
	f.stalenessBound = batch.StalenessBound
	for _, sample := range batch.Samples {
		if sample.Sequence == f.lastSequence+identifier.SequenceNumber(len(f.buffered))+1 {
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
	f.openCount++
	f.lastSequence, f.buffered, f.rejected = 0, nil, nil
	entry := f.entries[f.current]
	request := deliverer.OpenRequest{Model: f.options.Model, Session: f.session, Takeover: f.openCount > 1}
	for id := range f.received {
		request.Received = append(request.Received, id)
	}
	f.mutex.Unlock()
	if err := entry.Open(ctx, request); err != nil {
		return err
	}
	// From here on Submit sends groups itself; groups submitted before are sent
	// here.
	f.mutex.Lock()
	f.open = true
	submitRequest := deliverer.SubmitRequest{Model: f.options.Model, Session: request.Session}
	for _, g := range f.groups {
		submitRequest.Groups = append(submitRequest.Groups, g.Group)
	}
	f.mutex.Unlock()
	return entry.Submit(ctx, submitRequest)
}

// switchEntry closes the session and selects the next entry.
func (f *Fetcher) switchEntry(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	klog.InfoS("switching to the next entry", "entry", f.current, "session", f.session, "err", err)
	f.open = false
	f.current = (f.current + 1) % len(f.entries)
}

func (f *Fetcher) waitRetryDelay(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(f.options.RetryDelay):
	}
}

var errUnexpectedStatus = errors.New("entry refused the call")
