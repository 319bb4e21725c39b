// Package lister reads the platform's list of hosts, which lags behind changes.
package lister

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// HostState is the state of a host according to the platform.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole is the kind of program on a host.
type HostRole string

// The roles of hosts.
const (
	RoleEntry  HostRole = "entry"
	RoleTarget HostRole = "target"
)

// Host is one entry of the platform's list.
type Host struct {
	Name string   `json:"name"`
	Role HostRole `json:"role"`
	// Address is IP:port of an entry's peer listener or of a target.
	Address string              `json:"address"`
	Zone    identifier.ZoneName `json:"zone"`
	State   HostState           `json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It lags behind changes.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
