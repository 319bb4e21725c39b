package converger

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Goals holds the newest announced version of each model. Goals spread over every link
// in both directions, which needs neither a leader nor the log.
type Goals struct {
	clock clockwork.Clock
	mutex sync.Mutex
	// newest holds the newest goal of each model; versions never decrease.
	newest  map[identifier.ModelName]goal
	changed chan struct{}
}

// goal is the newest announced version of one model.
type goal struct {
	version identifier.WeightVersion
	// since is the time of the announcement by this process's clock.
	since time.Time
}

// maxGoals bounds the number of models that peers can make this process store.
const maxGoals = 1024

// NewGoals returns an empty Goals.
func NewGoals(clock clockwork.Clock) *Goals {
	return &Goals{clock: clock, newest: make(map[identifier.ModelName]goal), changed: make(chan struct{})}
}

// Learn merges goals from a trainer or a peer; older versions are ignored.
func (g *Goals) Learn(goals []messenger.WeightGoal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	updated := false
	now := g.clock.Now()
	for _, w := range goals {
		current, ok := g.newest[w.Model]
		if w.Version <= current.version || (!ok && len(g.newest) >= maxGoals) {
			continue
		}
		g.newest[w.Model] = goal{version: w.Version, since: now.Add(-max(0, w.Age))}
		updated = true
	}
	if updated {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// All returns every goal, ordered by model.
func (g *Goals) All() []messenger.WeightGoal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	goals := make([]messenger.WeightGoal, 0, len(g.newest))
	for m, w := range g.newest {
		goals = append(goals, messenger.WeightGoal{Model: m, Version: w.version, Age: g.clock.Since(w.since)})
	}
	slices.SortFunc(goals, func(a, b messenger.WeightGoal) int { return strings.Compare(string(a.Model), string(b.Model)) })
	return goals
}

// Newest returns a model's announced version, 0 if none is known.
func (g *Goals) Newest(m identifier.ModelName) identifier.WeightVersion {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.newest[m].version
}

// Announcement returns a model's announced version and the time of the announcement.
func (g *Goals) Announcement(m identifier.ModelName) (identifier.WeightVersion, time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.newest[m].version, g.newest[m].since
}

// Changed returns a channel that is closed at the next change of a goal.
func (g *Goals) Changed() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.changed
}
