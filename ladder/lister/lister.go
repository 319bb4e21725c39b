// Package lister reads the platform's lagging list of hosts.
package lister

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// HostState is what the platform says of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole is what runs on a host.
type HostRole string

// The roles of hosts.
const (
	RoleEntry  HostRole = "entry"
	RoleTarget HostRole = "target"
)

// Host is one line of the platform's list.
type Host struct {
	Name string   `json:"name"`
	Role HostRole `json:"role"`
	// Address is IP:port: an entry's peer listener, or a target.
	Address string              `json:"address"`
	Zone    identifier.ZoneName `json:"zone"`
	State   HostState           `json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
