// Package describer defines how a host describes the state of the duties to operators.
package describer

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/duties/autoscaler"
	"github.com/lycheeladder/lycheeladder/ladder/duties/reporter"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/leaser"
)

// Status is the state of the duties as one host knows it.
type Status struct {
	Host identifier.EntryName `json:"host"`
	// Duties are the duties that are on.
	Duties []string `json:"duties"`
	// Holder is the peer address of the host that holds the lease of all duties; empty if
	// there is none, as far as this host knows.
	Holder leaser.Holder           `json:"holder"`
	Token  identifier.FencingToken `json:"token"`
	// HeldFor is the time in nanoseconds for which this host has seen the holder with that token.
	HeldFor time.Duration `json:"held-for"`
	// Own is set if this host may act as the holder now.
	Own bool `json:"own"`
	// LastUsage and LastScale are the calls that this host has sent last, nil if it sent none.
	LastUsage *reporter.Outcome   `json:"last-usage,omitempty"`
	LastScale *autoscaler.Outcome `json:"last-scale,omitempty"`
}
