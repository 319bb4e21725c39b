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

// The host list lags and can be away or wrong, so it is followed with care: a
// list that can't be read or names no entry changes nothing, and an entry that
// it no longer wants is left only once the work of its link is done.

// followHosts reads the list and makes the links it asks for.
func (s *Supervisor) followHosts(ctx context.Context, tasks *conc.WaitGroup) {
	hosts, known := s.readHosts(ctx)
	if s.isLeaving(hosts) {
		klog.InfoS("host listed as leaving, no more work taken", "address", s.options.Address)
		s.executor.Leave(ctx)
	}
	if known {
		s.adjust(ctx, tasks, subsetter.Pick(s.options.Executor.Target, s.options.Executor.Zone, s.candidates(hosts), s.options.MaxLinks))
	}
}

func (s *Supervisor) readHosts(ctx context.Context) (hosts []lister.Host, known bool) {
	if s.hosts == nil {
		return nil, true
	}
	bounded, cancel := clockwork.WithTimeout(ctx, s.clock, listTimeout)
	defer cancel()
	hosts, err := s.hosts.Hosts(bounded)
	if err != nil {
		klog.V(1).InfoS("host list not read", "err", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return hosts, err == nil || len(s.dialled) == 0
}

// isLeaving says whether the list names this host as leaving. Leaving is for
// good: a host that leaves is replaced.
func (s *Supervisor) isLeaving(hosts []lister.Host) bool {
	for _, h := range hosts {
		if h.Role == lister.RoleTarget && h.Address == s.options.Address && h.State == lister.HostLeaving {
			return !s.executor.Status().Leaving
		}
	}
	return false
}

// candidates returns the entries that may be linked to: those of the settings
// and the list but for the ones that the list says are leaving.
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

// adjust starts a task for each new entry and retires the links to those no
// longer wanted. It does nothing where no entry is wanted.
func (s *Supervisor) adjust(ctx context.Context, tasks *conc.WaitGroup, entries []subsetter.Entry) {
	if len(entries) == 0 || ctx.Err() != nil {
		return
	}
	wanted := make(map[string]bool, len(entries))
	for _, e := range entries {
		wanted[e.Address] = true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, retire := range s.dialled {
		if !wanted[address] {
			close(retire)
			delete(s.dialled, address)
		}
	}
	for address := range wanted {
		if _, ok := s.dialled[address]; ok {
			continue
		}
		retire := make(chan struct{})
		s.dialled[address] = retire
		tasks.Go(func() { s.keepLinked(ctx, address, retire) })
	}
}

// keepLinked dials an entry again and again until ctx ends or the link is to
// retire.
func (s *Supervisor) keepLinked(ctx context.Context, address string, retire <-chan struct{}) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, longestPause
	for {
		began := s.clock.Now()
		var err error
		if failed := recoverer.CatchPanic("link to an entry", func() { err = s.serve(ctx, address, retire) }); failed != nil {
			err = failed
		}
		if s.clock.Since(began) > longestPause {
			pauses.Reset()
		}
		klog.V(1).InfoS("link to entry ended", "entry", address, "err", err)
		select {
		case <-ctx.Done():
			return
		case <-retire:
			return
		case <-s.clock.After(pauses.NextBackOff()):
		}
	}
}

func (s *Supervisor) serve(ctx context.Context, address string, retire <-chan struct{}) error {
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
