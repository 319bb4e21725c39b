package supervisor

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// The host list can be outdated, unavailable or wrong. A list that can't be read or
// names no entry therefore changes nothing, and the link to an entry that is no longer
// selected is closed only once its work is done.

// followHosts reads the host list and adjusts the links to it.
func (s *Supervisor) followHosts(ctx context.Context, tasks *conc.WaitGroup) {
	hosts, ok := s.readHosts(ctx)
	if s.newlyLeaving(hosts) {
		klog.InfoS("host listed as leaving, no more work taken", "address", s.options.Address)
		s.executor.Leave(ctx)
	}
	if ok {
		s.adjustLinks(ctx, tasks, subsetter.Pick(s.options.Executor.Target, s.options.Executor.Zone, s.candidates(hosts), s.options.MaxLinks))
	}
}

// readHosts reads the host list. ok is false if the read failed and the existing links
// should stay; without any links it is true, so that the entries from the settings are
// used.
func (s *Supervisor) readHosts(ctx context.Context) (hosts []lister.Host, ok bool) {
	if s.hosts == nil {
		return nil, true
	}
	listCtx, cancel := clockwork.WithTimeout(ctx, s.clock, listTimeout)
	defer cancel()
	hosts, err := s.hosts.Hosts(listCtx)
	if err != nil {
		klog.V(1).InfoS("host list not read", "err", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return hosts, err == nil || len(s.links) == 0
}

// newlyLeaving reports whether the list marks this host as leaving for the first time.
// Leaving is permanent: a host that leaves is replaced.
func (s *Supervisor) newlyLeaving(hosts []lister.Host) bool {
	for _, h := range hosts {
		if h.Role == lister.RoleTarget && h.Address == s.options.Address && h.State == lister.HostLeaving {
			return !s.executor.Status().Leaving
		}
	}
	return false
}

// candidates returns the entries that may be linked to: those from the settings and
// from the list, except those listed as leaving.
func (s *Supervisor) candidates(hosts []lister.Host) []subsetter.Entry {
	var entries []subsetter.Entry
	listed := make(map[string]bool)
	for _, h := range hosts {
		if h.Role != lister.RoleEntry || listed[h.Address] {
			continue
		}
		listed[h.Address] = true
		if h.State != lister.HostLeaving {
			entries = append(entries, subsetter.Entry{Address: h.Address, Zone: h.Zone})
		}
	}
	for _, address := range s.options.StaticEntries {
		if !listed[address] {
			listed[address] = true
			entries = append(entries, subsetter.Entry{Address: address})
		}
	}
	return entries
}

// adjustLinks starts a goroutine for each new entry and retires the links to entries
// that are no longer selected. It does nothing if no entry is selected.
func (s *Supervisor) adjustLinks(ctx context.Context, tasks *conc.WaitGroup, entries []subsetter.Entry) {
	if len(entries) == 0 || ctx.Err() != nil {
		return
	}
	selected := make(map[string]bool, len(entries))
	for _, e := range entries {
		selected[e.Address] = true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, retire := range s.links {
		if !selected[address] {
			close(retire)
			delete(s.links, address)
		}
	}
	for address := range selected {
		if _, ok := s.links[address]; ok {
			continue
		}
		retire := make(chan struct{})
		s.links[address] = retire
		tasks.Go(func() { s.maintainLink(ctx, address, retire) })
	}
}

// maintainLink dials an entry repeatedly until ctx ends or the link is to be retired.
func (s *Supervisor) maintainLink(ctx context.Context, address string, retire <-chan struct{}) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minRetryDelay, maxRetryDelay
	for {
		start := s.clock.Now()
		var err error
		if failed := recoverer.CatchPanic("link to an entry", func() { err = s.dialAndServe(ctx, address, retire) }); failed != nil {
			err = failed
		}
		if s.clock.Since(start) > maxRetryDelay {
			delays.Reset()
		}
		klog.V(1).InfoS("link to entry ended", "entry", address, "err", err)
		select {
		case <-ctx.Done():
			return
		case <-retire:
			return
		case <-s.clock.After(delays.NextBackOff()):
		}
	}
}

// dialAndServe dials an entry and serves the link until it ends or is retired.
func (s *Supervisor) dialAndServe(ctx context.Context, address string, retire <-chan struct{}) error {
	dialCtx, cancel := clockwork.WithTimeout(ctx, s.clock, dialTimeout)
	defer cancel()
	l, err := s.dialer.Dial(dialCtx, address)
	if err != nil {
		return err
	}
	defer l.Close()
	klog.InfoS("linked to entry", "entry", address)
	return s.executor.ServeUntil(ctx, l, retire)
}
