package relayer

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// draftsTimeout bounds a peer's answer, as demandTimeout does.
const draftsTimeout = 500 * time.Millisecond

// Collector asks all owners for drafts: a later job of a trainer is mostly
// worked on by another owner.
type Collector struct {
	own func(ids []identifier.ItemID) []messenger.Draft
	// owners returns the addresses of the other owners.
	owners func() []string
	peers  Peers
}

// NewCollector returns a Collector.
func NewCollector(own func(ids []identifier.ItemID) []messenger.Draft, owners func() []string, p Peers) *Collector {
	return &Collector{own: own, owners: owners, peers: p}
}

// Collect hands the drafts of each owner to take as they come, and returns when
// all have answered or failed. An owner that doesn't answer costs its drafts,
// which are made again.
func (c *Collector) Collect(ctx context.Context, ids []identifier.ItemID, take func([]messenger.Draft)) {
	take(c.own(ids))
	ctx, cancel := context.WithTimeout(ctx, draftsTimeout)
	defer cancel()
	var questions conc.WaitGroup
	defer questions.Wait()
	for _, address := range c.owners() {
		questions.Go(func() {
			if r, err := c.peers.Ask(ctx, address, messenger.Question{Drafts: &messenger.DraftCall{Items: ids}}); err == nil {
				take(r.Drafts)
			}
		})
	}
}
