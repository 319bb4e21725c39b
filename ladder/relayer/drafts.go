package relayer

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// DraftCollector asks for drafts whoever may have some: all owners, since a later
// job of a trainer is mostly worked on by another one, and the former owner of
// the job.
type DraftCollector struct {
	own func(m identifier.ModelName) []messenger.Draft
	// others returns the addresses of those to ask about a job.
	others func(id identifier.JobID) []string
	peers  Peers
}

// NewDraftCollector returns a Collector.
func NewDraftCollector(own func(m identifier.ModelName) []messenger.Draft, others func(id identifier.JobID) []string, p Peers) *DraftCollector {
	return &DraftCollector{own: own, others: others, peers: p}
}

// Collect hands the drafts of each peer to take as they come, and returns when
// all have answered or failed. A peer that doesn't answer costs its drafts, which
// are made again.
func (c *DraftCollector) Collect(ctx context.Context, id identifier.JobID, m identifier.ModelName, take func([]messenger.Draft)) {
	take(c.own(m))
	q := messenger.Question{Drafts: &messenger.DraftCall{Job: id, Model: m}}
	askAll(ctx, c.peers, c.others(id), q, func(r messenger.Reply) { take(r.Drafts) })
}
