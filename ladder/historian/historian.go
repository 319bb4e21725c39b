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

// The history is read from the log when somebody first asks for it, and from
// then on only what is new: an entry that nobody asks spends nothing on it.
// What is kept is bounded. It never reads past what the follower has read,
// since a read at the end of the log waits for its poll time.

const (
	// maxEntries bounds the proposals remembered.
	maxEntries = 200
	// maxDocuments bounds the earlier documents remembered.
	maxDocuments = 32
	// pageRecords is how many records one read asks for.
	pageRecords = 256
)

// Entry is one proposal that the log has.
type Entry struct {
	// Revision is the accepted one, 0 if the proposal was refused.
	Revision identifier.Revision     `json:"revision,omitempty"`
	Document identifier.DocumentID   `json:"document-id"`
	Base     identifier.Revision     `json:"base-revision"`
	Author   identifier.OperatorName `json:"author"`
	// Time is the log's own clock.
	Time time.Time `json:"time"`
	// Verdict is accepted, conflict or invalid.
	Verdict string           `json:"verdict"`
	Faults  validator.Faults `json:"faults,omitempty"`
}

// Follower tells how far the configuration has been read.
type Follower interface {
	State() (accepter.State, bool)
}

// Historian remembers a bounded part of the history.
type Historian struct {
	log      appender.Log
	follower Follower

	mutex sync.Mutex
	state accepter.State
	// entries are the newest proposals, oldest first.
	entries []Entry
	// documents has the newest accepted documents.
	documents map[identifier.Revision]*validator.Document
}

// New returns a Historian that has read nothing yet.
func New(log appender.Log, f Follower) *Historian {
	return &Historian{log: log, follower: f, documents: make(map[identifier.Revision]*validator.Document)}
}

// Entries returns the remembered proposals, newest first.
func (h *Historian) Entries(ctx context.Context) (entries []Entry, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err := h.read(ctx); err != nil {
		return nil, err
	}
	for n := len(h.entries) - 1; n >= 0; n-- {
		entries = append(entries, h.entries[n])
	}
	return entries, nil
}

// At returns the document of a revision, nil if it is not remembered.
func (h *Historian) At(ctx context.Context, r identifier.Revision) (*validator.Document, error) {
	if s, _ := h.follower.State(); s.Revision == r {
		return s.Document, nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if d, ok := h.documents[r]; ok {
		return d, nil
	}
	if err := h.read(ctx); err != nil {
		return nil, err
	}
	return h.documents[r], nil
}

// read catches up with the follower. The caller holds the mutex.
func (h *Historian) read(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "read the history")
	target, _ := h.follower.State()
	for h.state.Next < target.Next {
		page, err := h.log.Read(ctx, appender.StreamConfiguration, h.state.Next, pageRecords)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
		if page.FirstKept > h.state.Next {
			// The revisions in between are gone: go on from what is in force.
			h.state = target
			return nil
		}
		for _, record := range page.Records {
			h.apply(record)
		}
	}
	return nil
}

func (h *Historian) apply(record appender.Record) {
	state, verdict := h.state.Apply(record)
	h.state = state
	r, err := accepter.DecodeRecord(record.Data)
	if err != nil {
		return
	}
	p, ok := r.(accepter.Proposal)
	if !ok {
		return
	}
	e := Entry{Document: p.Document, Base: p.Base, Author: p.Author, Time: record.Time}
	switch v := verdict.(type) {
	case accepter.Accepted:
		e.Verdict, e.Revision = "accepted", v.Revision
		h.documents[v.Revision] = state.Document
		delete(h.documents, v.Revision-min(v.Revision, maxDocuments))
	case accepter.Conflict:
		e.Verdict = "conflict"
	case accepter.Invalid:
		e.Verdict, e.Faults = "invalid", v.Faults
	case accepter.Ignored:
		return
	}
	h.entries = append(h.entries, e)
	if len(h.entries) > maxEntries {
		h.entries = h.entries[1:]
	}
}
