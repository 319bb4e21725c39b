package cataloger

import (
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// TargetState is the state that a target reports.
type TargetState string

const (
	// StateReady means that the target accepts work.
	StateReady TargetState = "ready"
	// StateLeaving means that the target accepts no new work.
	StateLeaving TargetState = "leaving"
)

// Incarnation identifies one start of a target.
type Incarnation struct {
	Name    identifier.TargetName
	StartID int64
}

// Target is one live incarnation of a back end.
type Target struct {
	// Name usually changes when the target restarts.
	Name identifier.TargetName
	// StartID is when the target started by its own clock, in ms since 1970. It distinguishes
	// incarnations with the same name.
	StartID int64
	Service identifier.ServiceName
	Address string
	Zone    identifier.ZoneName
	// Slots is the number of requests that the target runs at once.
	Slots int
	State TargetState
	// Software is the version of the target's software. What two versions generate
	// doesn't fit together.
	Software identifier.SoftwareVersion
	// Weights is the last reported version of each loaded model.
	Weights map[identifier.ModelName]identifier.WeightVersion
}

// Incarnation returns which start of the target this is.
func (t Target) Incarnation() Incarnation { return Incarnation{t.Name, t.StartID} }
