package runner

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/lister"
)

// addresses are the other entries' peer listeners: those of the settings, and
// those of the host list where there is one.
type addresses struct {
	settings []string
	// hosts is nil without a host list.
	hosts lister.HostList
}

func newAddresses(s Settings) addresses {
	var a addresses
	for _, peer := range s.Peer {
		a.settings = append(a.settings, string(peer))
	}
	if s.Hosts != "" {
		a.hosts = lister.NewHTTPHostList(string(s.Hosts))
	}
	return a
}

// Addresses implements accepter.Addresses. A list that can't be read leaves
// those of the settings.
func (a addresses) Addresses(ctx context.Context) ([]string, error) {
	all := a.settings
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
