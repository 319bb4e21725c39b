package relayer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// demandPause is between two questions about the owners' work. Trainers ask for
// a step every few seconds.
const demandPause = 2 * time.Second

// DemandAggregator adds up the work of all owners. It is asked for by whoever orders loads
// of weights.
type DemandAggregator struct {
	clock clockwork.Clock
	own   func() map[identifier.ModelName]identifier.TokenCount
	// owners returns the addresses of the other owners.
	owners func() []string
	peers  Peers

	mutex sync.Mutex
	sum   map[identifier.ModelName]identifier.TokenCount
	// askedAt is when the owners were asked last.
	askedAt time.Time
}

// NewTally returns a Tally that has asked nobody.
func NewTally(clock clockwork.Clock, own func() map[identifier.ModelName]identifier.TokenCount, owners func() []string, p Peers) *DemandAggregator {
	return &DemandAggregator{clock: clock, own: own, owners: owners, peers: p}
}

// Demand returns the last sum, and asks anew in the background if it is old.
func (t *DemandAggregator) Demand() map[identifier.ModelName]identifier.TokenCount {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.clock.Since(t.askedAt) > demandPause {
		t.askedAt = t.clock.Now()
		go t.ask()
	}
	return t.sum
}

func (t *DemandAggregator) ask() {
	sum := maps.Clone(t.own())
	if sum == nil {
		sum = make(map[identifier.ModelName]identifier.TokenCount)
	}
	// An owner that doesn't answer is left out: the shares of the others are a
	// fair sample.
	askAll(context.Background(), t.peers, t.owners(), messenger.Question{Demand: true}, func(r messenger.Reply) {
		for m, n := range r.Demand {
			sum[m] += n
		}
	})
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sum = sum
}
