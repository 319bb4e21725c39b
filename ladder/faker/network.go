package faker

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Serve serves a link that the process from dialed.
type Serve func(from string, l messenger.Link)

// Network connects dialers to listeners within one process.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]Serve
	tasks     sync.WaitGroup
}

// NewNetwork returns a Network without listeners.
func NewNetwork() *Network { return &Network{listeners: make(map[string]Serve)} }

// Listen makes the network call serve for every later link to address.
func (n *Network) Listen(address string, serve Serve) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[address] = serve
}

// Close makes the network refuse later links to address.
func (n *Network) Close(address string) { n.Listen(address, nil) }

// Dial implements supervisor.Dialer for an unnamed process.
func (n *Network) Dial(ctx context.Context, address string) (messenger.Link, error) {
	return n.Dialer("").Dial(ctx, address)
}

// Dialer returns the Dialer of the process from.
func (n *Network) Dialer(from string) *Dialer { return &Dialer{network: n, from: from} }

// Dialer opens links for one process.
type Dialer struct {
	network *Network
	from    string
}

// Dial implements supervisor.Dialer.
func (d *Dialer) Dial(ctx context.Context, address string) (messenger.Link, error) {
	n := d.network
	n.mutex.Lock()
	serve := n.listeners[address]
	n.mutex.Unlock()
	if serve == nil {
		return nil, errors.Errorf("dial %s: connection refused", address)
	}
	client, server := messenger.NewPipe()
	n.tasks.Go(func() {
		defer server.Close()
		serve(d.from, server)
	})
	return client, ctx.Err()
}

// Wait blocks until no link is being served.
func (n *Network) Wait() { n.tasks.Wait() }

// HostList returns the hosts that were last set.
type HostList struct {
	mutex sync.Mutex
	hosts []lister.Host
}

// NewHostList returns a HostList of the hosts.
func NewHostList(hosts ...lister.Host) *HostList { return &HostList{hosts: hosts} }

// Set replaces the list.
func (l *HostList) Set(hosts ...lister.Host) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hosts = hosts
}

// Hosts implements lister.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]lister.Host, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]lister.Host(nil), l.hosts...), ctx.Err()
}
