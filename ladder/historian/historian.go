// Package historian lists the proposed documents, with author and time, and returns the
// documents of earlier revisions.
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

// Evaluating every proposal in the log would take minutes at the target size: 21,000 a
// day at tens of milliseconds each for a document of 474 KB. The list of proposals
// therefore reads only their headers and takes the accepted ones from the follower's
// state. A document is cached, compressed, when a client fetches it to make a change; a
// document that was fetched from another entry is rebuilt from the newest checkpoint
// before it.

const (
	// maxRecords bounds the number of records read from the log's end. It exceeds the
	// number of changes between two checkpoints.
	maxRecords = 400
	// pageRecords is the number of records requested per read.
	pageRecords = 256
)

// ProposalSummary describes one proposal in the log.
type ProposalSummary struct {
	// Revision is the accepted revision; 0 if the proposal was rejected.
	Revision identifier.Revision     `json:"revision,omitempty"`
	Document identifier.DocumentID   `json:"document-id"`
	Base     identifier.Revision     `json:"base-revision"`
	Author   identifier.OperatorName `json:"author"`
	// Time is the log's time of the record.
	Time time.Time `json:"time"`
	// Verdict is accepted, conflict or invalid.
	Verdict string `json:"verdict"`
}

// Follower returns the accepted state.
type Follower interface {
	State() (accepter.State, bool)
}

// Historian reads proposals and documents from the log and from its document cache.
type Historian struct {
	log      appender.Log
	follower Follower

	mutex sync.Mutex
	cache documentCache
}

// New returns a Historian with an empty cache.
func New(log appender.Log, f Follower) *Historian {
	return &Historian{log: log, follower: f, cache: documentCache{documents: make(map[identifier.Revision][]byte)}}
}

// Proposals returns the newest proposals, newest first, as far back as it can determine
// which were accepted.
func (h *Historian) Proposals(ctx context.Context) (proposals []ProposalSummary, err error) {
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
	historyComplete := len(state.RecentDocuments) == 0 || state.RecentDocuments[0].Revision == 1
	for _, record := range records {
		r, err := accepter.DecodeRecord(record.Data)
		p, ok := r.(accepter.Proposal)
		if err != nil || !ok {
			continue
		}
		summary := ProposalSummary{Document: p.DocumentID, Base: p.BaseRevision, Author: p.Author, Time: record.Time}
		a, ok := accepted[p.DocumentID]
		switch {
		case ok && a.Hash == p.Hash && a.Revision > current:
			summary.Verdict, summary.Revision, current = "accepted", a.Revision, a.Revision
		case ok && a.Hash == p.Hash:
			continue // A duplicate of an accepted proposal.
		case current == 0 && !historyComplete:
			continue // Unknown: it may have been accepted.
		case p.BaseRevision != current:
			summary.Verdict = "conflict"
		default:
			summary.Verdict = "invalid"
		}
		proposals = append([]ProposalSummary{summary}, proposals...)
	}
	return proposals, nil
}

// CacheDocument caches the document in force when a client fetches it to make a change.
func (h *Historian) CacheDocument(s accepter.State) {
	if s.Document == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.cache.put(s.Revision, s.Document)
}

// At returns the document of a revision, or nil if it is no longer known.
func (h *Historian) At(ctx context.Context, r identifier.Revision) (d *validator.Document, err error) {
	defer annotator.Annotate(&err, "read revision %d", r)
	state, _ := h.follower.State()
	if state.Revision == r {
		return state.Document, nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if d := h.cache.get(r); d != nil || r == 0 || r > state.Revision {
		return d, nil
	}
	return h.rebuild(ctx, state.NextOffset, r)
}

// rebuild applies records from the newest checkpoint at or before r up to r.
// The caller holds the mutex.
func (h *Historian) rebuild(ctx context.Context, next identifier.LogOffset, r identifier.Revision) (*validator.Document, error) {
	records, complete, err := h.tail(ctx, next)
	if err != nil {
		return nil, err
	}
	var s accepter.State
	for _, record := range records {
		if c, ok := accepter.DecodeCheckpoint(record); ok && c.Revision <= r && c.NextOffset >= records[0].Offset && c.Revision > s.Revision {
			s, complete = c, true
		}
	}
	if !complete {
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
	h.cache.put(r, s.Document)
	return s.Document, nil
}

// tail returns the newest records before next, and whether they are all records that
// the stream ever had. It never reads at the log's end, where a read would wait.
func (h *Historian) tail(ctx context.Context, next identifier.LogOffset) (records []appender.Record, complete bool, err error) {
	from := next - min(next, maxRecords)
	complete = from == 0
	for from < next {
		page, err := h.log.Read(ctx, appender.StreamConfiguration, from, pageRecords)
		if err != nil {
			return nil, false, err
		}
		if len(page.Records) == 0 {
			break
		}
		complete = complete && page.FirstRetained == 0
		for _, record := range page.Records {
			if record.Offset < next {
				records = append(records, record)
			}
			from = record.Offset + 1
		}
	}
	return records, complete, nil
}
