package converger

import (
	"slices"
	"strings"
	"sync"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Goals holds the newest announced version of each model. It spreads over
// every link both ways, so that it needs neither a leader nor the log.
type Goals struct {
	mutex sync.Mutex
	// newest only grows.
	newest  map[identifier.ModelName]identifier.WeightVersion
	changed chan struct{}
}

// maxGoals bounds the models that peers can make this process remember.
const maxGoals = 1024

// NewGoals returns an empty Goals.
func NewGoals() *Goals {
	return &Goals{newest: make(map[identifier.ModelName]identifier.WeightVersion), changed: make(chan struct{})}
}

// Learn takes goals from a trainer or a peer; older ones change nothing.
func (g *Goals) Learn(goals []messenger.WeightGoal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	learned := false
	for _, goal := range goals {
		known, ok := g.newest[goal.Model]
		if goal.Version <= known || (!ok && len(g.newest) >= maxGoals) {
			continue
		}
		g.newest[goal.Model] = goal.Version
		learned = true
	}
	if learned {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// All returns every goal, ordered by model.
func (g *Goals) All() []messenger.WeightGoal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	goals := make([]messenger.WeightGoal, 0, len(g.newest))
	for m, v := range g.newest {
		goals = append(goals, messenger.WeightGoal{Model: m, Version: v})
	}
	slices.SortFunc(goals, func(a, b messenger.WeightGoal) int { return strings.Compare(string(a.Model), string(b.Model)) })
	return goals
}

// Newest returns a model's goal, 0 if none is known.
func (g *Goals) Newest(m identifier.ModelName) identifier.WeightVersion {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.newest[m]
}

// Changed returns a channel that is closed when a goal moves on.
func (g *Goals) Changed() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.changed
}
