package runner

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/lister"
)

// peerAddresses provides the peer listeners of the other entries, from the
// settings and, if configured, from the platform's host list.
type peerAddresses struct {
	static []string
	// hosts is nil if no host list is configured.
	hosts lister.HostList
}

func newPeerAddresses(s Settings) peerAddresses {
	var a peerAddresses
	for _, peer := range s.Peer {
		a.static = append(a.static, string(peer))
	}
	if s.Hosts != "" {
		a.hosts = lister.NewHTTPHostList(string(s.Hosts))
	}
	return a
}

// Addresses implements accepter.Addresses. If the host list can't be read, it
// returns the addresses of the settings, or the error if there are none.
func (a peerAddresses) Addresses(ctx context.Context) ([]string, error) {
	all := a.static
	if a.hosts == nil {
		return all, nil
	}
	hosts, err := a.hosts.Hosts(ctx)
	if err != nil && len(all) > 0 {
		return all, nil
	}
	for _, h := range hosts {
		if h.Role == lister.RoleEntry {
			all = append(all[:len(all):len(all)], h.Address)
		}
	}
	return all, err
}
