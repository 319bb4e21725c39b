package relayer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
)

// demandInterval is the minimum time between two queries of the owners' demand.
// Trainers request a step every few seconds.
const demandInterval = 2 * time.Second

// DemandAggregator adds up the demand of all owners. It is used by the process that
// orders loads of weights.
type DemandAggregator struct {
	clock       clockwork.Clock
	localDemand func() map[identifier.ModelName]identifier.TokenCount
	// owners returns the addresses of the other owners.
	owners func() []string
	peers  querier.Peers

	mutex sync.Mutex
	sum   map[identifier.ModelName]identifier.TokenCount
	// queriedAt is when the owners were last queried.
	queriedAt time.Time
}

// NewTally returns a DemandAggregator that has not queried the owners yet.
func NewTally(clock clockwork.Clock, localDemand func() map[identifier.ModelName]identifier.TokenCount, owners func() []string, p querier.Peers) *DemandAggregator {
	return &DemandAggregator{clock: clock, localDemand: localDemand, owners: owners, peers: p}
}

// Demand returns the last known sum, and starts a new query in the background if it
// is old.
func (a *DemandAggregator) Demand() map[identifier.ModelName]identifier.TokenCount {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.clock.Since(a.queriedAt) > demandInterval {
		a.queriedAt = a.clock.Now()
		go a.query()
	}
	return a.sum
}

func (a *DemandAggregator) query() {
	sum := maps.Clone(a.localDemand())
	if sum == nil {
		sum = make(map[identifier.ModelName]identifier.TokenCount)
	}
	// Owners that do not answer are left out; the shares of the others are a fair
	// sample.
	askAll(context.Background(), a.peers, a.owners(), messenger.Question{Demand: true}, func(r messenger.Reply) {
		for m, n := range r.Demand {
			sum[m] += n
		}
	})
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sum = sum
}
