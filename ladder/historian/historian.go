// Package historian tells which documents were proposed, by whom and when, and
// what was in force at an earlier revision.
package historian

import (
	"context"
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// To judge every proposal that the log keeps would take minutes at the target
// size: 21,000 a day at tens of milliseconds for a document of 474 KB. The list
// of proposals therefore needs their headers only: what was accepted stands in
// the follower's state. A document is kept, compressed, when somebody takes it
// to make a change from it; one that was taken elsewhere is folded from the
// newest carry-forward before it.

const (
	// maxRecords bounds the records that are looked at, from the log's end. It
	// is above the changes between two carry-forwards.
	maxRecords = 400
	// pageRecords is how many records one read asks for.
	pageRecords = 256
)

// ProposalSummary is one proposal that the log has.
type ProposalSummary struct {
	// Revision is the accepted one, 0 if the proposal was refused.
	Revision identifier.Revision     `json:"revision,omitempty"`
	Document identifier.DocumentID   `json:"document-id"`
	Base     identifier.Revision     `json:"base-revision"`
	Author   identifier.OperatorName `json:"author"`
	// Time is the log's own clock.
	Time time.Time `json:"time"`
	// Verdict is accepted, conflict or invalid.
	Verdict string `json:"verdict"`
}

// Follower tells what is in force.
type Follower interface {
	State() (accepter.State, bool)
}

// Historian answers from the log, and from the documents that it keeps.
type Historian struct {
	log      appender.Log
	follower Follower

	mutex sync.Mutex
	shelf shelf
}

// New returns a Historian that has read nothing yet.
func New(log appender.Log, f Follower) *Historian {
	return &Historian{log: log, follower: f, shelf: shelf{documents: make(map[identifier.Revision][]byte)}}
}

// Proposals returns the newest proposals, newest first, as far back as it can
// tell what was accepted.
func (h *Historian) Proposals(ctx context.Context) (entries []ProposalSummary, err error) {
	defer annotator.Annotate(&err, "read the history")
	state, _ := h.follower.State()
	records, _, err := h.tail(ctx, state.NextOffset)
	if err != nil {
		return nil, err
	}
	accepted := make(map[identifier.DocumentID]accepter.AcceptedDocument, len(state.RecentDocuments))
	for _, a := range state.RecentDocuments {
		accepted[a.ID] = a
	}
	var current identifier.Revision
	fromFirst := len(state.RecentDocuments) == 0 || state.RecentDocuments[0].Revision == 1
	for _, record := range records {
		r, err := accepter.DecodeRecord(record.Data)
		p, ok := r.(accepter.Proposal)
		if err != nil || !ok {
			continue
		}
		e := ProposalSummary{Document: p.DocumentID, Base: p.BaseRevision, Author: p.Author, Time: record.Time}
		a, ok := accepted[p.DocumentID]
		switch {
		case ok && a.Hash == p.Hash && a.Revision > current:
			e.Verdict, e.Revision, current = "accepted", a.Revision, a.Revision
		case ok && a.Hash == p.Hash:
			continue // A late copy.
		case current == 0 && !fromFirst:
			continue // It may have been accepted.
		case p.BaseRevision != current:
			e.Verdict = "conflict"
		default:
			e.Verdict = "invalid"
		}
		entries = append([]ProposalSummary{e}, entries...)
	}
	return entries, nil
}

// CacheDocument remembers the document in force, which somebody takes to change it.
func (h *Historian) CacheDocument(s accepter.State) {
	if s.Document == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.shelf.put(s.Revision, s.Document)
}

// At returns the document of a revision, nil if it is not known any more.
func (h *Historian) At(ctx context.Context, r identifier.Revision) (d *validator.Document, err error) {
	defer annotator.Annotate(&err, "read revision %d", r)
	state, _ := h.follower.State()
	if state.Revision == r {
		return state.Document, nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if d := h.shelf.get(r); d != nil || r == 0 || r > state.Revision {
		return d, nil
	}
	return h.fold(ctx, state.NextOffset, r)
}

// fold judges records from the newest carry-forward before r up to r. The
// caller holds the mutex.
func (h *Historian) fold(ctx context.Context, next identifier.LogOffset, r identifier.Revision) (*validator.Document, error) {
	records, whole, err := h.tail(ctx, next)
	if err != nil {
		return nil, err
	}
	var s accepter.State
	for _, record := range records {
		if c, ok := accepter.DecodeCheckpoint(record); ok && c.Revision <= r && c.NextOffset >= records[0].Offset && c.Revision > s.Revision {
			s, whole = c, true
		}
	}
	if !whole {
		return nil, nil
	}
	for _, record := range records {
		if s.Revision == r {
			break
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		s, _ = s.Apply(record)
	}
	if s.Revision != r {
		return nil, nil
	}
	h.shelf.put(r, s.Document)
	return s.Document, nil
}

// tail returns the newest records before next, and whether they are all that
// the stream ever had. It never reads at the log's end, where a read waits.
func (h *Historian) tail(ctx context.Context, next identifier.LogOffset) (records []appender.Record, whole bool, err error) {
	from := next - min(next, maxRecords)
	whole = from == 0
	for from < next {
		page, err := h.log.Read(ctx, appender.StreamConfiguration, from, pageRecords)
		if err != nil {
			return nil, false, err
		}
		if len(page.Records) == 0 {
			break
		}
		whole = whole && page.FirstRetained == 0
		for _, record := range page.Records {
			if record.Offset < next {
				records = append(records, record)
			}
			from = record.Offset + 1
		}
	}
	return records, whole, nil
}
