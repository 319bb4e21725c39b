package cataloger

import (
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// TargetState is what a target says of itself.
type TargetState string

// The states of a target.
const (
	// StateReady takes work.
	StateReady TargetState = "ready"
	// StateLeaving takes no new work.
	StateLeaving TargetState = "leaving"
)

// Target is one live incarnation of a back end.
type Target struct {
	// Name is new at most starts.
	Name identifier.TargetName
	// StartID tells incarnations with the same name apart.
	StartID int64
	Service identifier.ServiceName
	Address string
	Zone    identifier.ZoneName
	// Slots is how many requests it runs at once.
	Slots int
	State TargetState
	// Weights has the version of each model that it has loaded, as it said
	// last.
	Weights map[identifier.ModelName]identifier.WeightVersion
}
