package relayer

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
)

// DraftCollector requests drafts from the processes that may have some: all owners,
// because the next job of a trainer usually has a different owner, and the former
// owner of the job.
type DraftCollector struct {
	localDrafts func(m identifier.ModelName) []messenger.Draft
	// peersOf returns the addresses of the peers to query about a job.
	peersOf func(id identifier.JobID) []string
	peers   querier.Peers
}

// NewDraftCollector returns a DraftCollector.
func NewDraftCollector(localDrafts func(m identifier.ModelName) []messenger.Draft, peersOf func(id identifier.JobID) []string, p querier.Peers) *DraftCollector {
	return &DraftCollector{localDrafts: localDrafts, peersOf: peersOf, peers: p}
}

// Collect passes the drafts of each peer to take as they arrive, and returns when all
// peers have answered or failed. The drafts of a peer that does not answer are
// generated again.
func (c *DraftCollector) Collect(ctx context.Context, id identifier.JobID, m identifier.ModelName, take func([]messenger.Draft)) {
	take(c.localDrafts(m))
	q := messenger.Question{Drafts: &messenger.DraftCall{Job: id, Model: m}}
	askAll(ctx, c.peers, c.peersOf(id), q, func(r messenger.Reply) { take(r.Drafts) })
}
