package supervisor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// slowTarget is a target whose calls take a minute.
type slowTarget struct{ caller.Target }

func (slowTarget) Do(ctx context.Context, _ caller.Work, sink func(caller.Chunk) error) (int, error) {
	select {
	case <-time.After(time.Minute):
		return 200, sink(caller.Chunk{Data: []byte("answer")})
	case <-ctx.Done():
		return 0, caller.ErrIncomplete
	}
}

// fakePlatform is the host list and the entries that a sidecar dials.
type fakePlatform struct {
	mutex sync.Mutex
	hosts []lister.Host
	err   error
	// links has the remote end of each link, by the entry's address.
	links map[string]messenger.Link
}

func (p *fakePlatform) Hosts(context.Context) ([]lister.Host, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.hosts, p.err
}

func (p *fakePlatform) Dial(_ context.Context, address string) (messenger.Link, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	near, far := messenger.NewPipe()
	p.links[address] = far
	return near, nil
}

func (p *fakePlatform) link(address string) messenger.Link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.links[address]
}

func (p *fakePlatform) list(err error, hosts ...lister.Host) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hosts, p.err = hosts, err
}

func entryAt(address string, state lister.HostState) lister.Host {
	return lister.Host{Name: address, Role: lister.RoleEntry, Address: address, Zone: "z", State: state}
}

// withSidecar runs a sidecar with one link, to entry "a", in virtual time.
func withSidecar(t *testing.T, test func(t *testing.T, p *fakePlatform, s *Supervisor)) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{links: make(map[string]messenger.Link)}
		p.list(nil, entryAt("a", lister.HostLive))
		options := Options{
			Executor:     executor.DefaultOptions(),
			Heartbeats:   heartbeater.Options{Interval: time.Hour, Deadline: 3 * time.Hour},
			ListInterval: time.Second, MaxLinks: 1, Address: "t",
		}
		options.Executor.Target, options.Executor.Incarnation = "stock-1", "i"
		s := New(clockwork.NewRealClock(), slowTarget{}, p, p, options)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Run(ctx)
		}()
		time.Sleep(time.Second)
		test(t, p, s)
		cancel()
		<-done
	})
}

// receive returns the kinds of the messages received until the link or the time ends.
func receive(l messenger.Link, within time.Duration) (kinds []string) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for {
		m, err := l.Receive(ctx)
		if errors.Is(err, messenger.ErrClosed) {
			return append(kinds, "closed")
		}
		switch m := m.(type) {
		case messenger.Heartbeat:
			if m.Leaving {
				kinds = append(kinds, "leaving")
			}
		case messenger.Chunk:
			kinds = append(kinds, "chunk "+string(m.Data))
		case messenger.End:
			kinds = append(kinds, "end "+string(m.Reason))
			_ = l.Send(ctx, messenger.Release{Request: m.Request, Attempt: m.Attempt})
		case messenger.Refused:
			kinds = append(kinds, "refused "+string(m.Reason))
		case messenger.Hello, messenger.Start, messenger.Cancel, messenger.Resume, messenger.Release,
			messenger.Configuration, messenger.Crashed, messenger.Locate, messenger.Located,
			messenger.Question, messenger.Reply:
		case nil:
			return kinds
		}
	}
}

func startRequest(t *testing.T, l messenger.Link, r identifier.RequestID) {
	for _, m := range []messenger.Message{
		messenger.Configuration{Revision: 1, Slots: 4, QueueLimit: 4},
		messenger.Start{Request: r, Attempt: 1, Incarnation: "i", Timeout: time.Hour},
	} {
		if err := l.Send(t.Context(), m); err != nil {
			t.Fatal(err)
		}
	}
}

func TestEntryReplaced_FinishesItsWorkFirst(t *testing.T) {
	withSidecar(t, func(t *testing.T, p *fakePlatform, _ *Supervisor) {
		startRequest(t, p.link("a"), "r")
		p.list(nil, entryAt("b", lister.HostLive), entryAt("a", lister.HostLeaving))
		want := []string{"leaving", "chunk answer", "end whole", "closed"}
		if diff := cmp.Diff(want, receive(p.link("a"), time.Hour)); diff != "" {
			t.Errorf("messages to the replaced entry (-want +got):\n%s", diff)
		}
		if p.link("b") == nil {
			t.Error("the new entry was not dialled")
		}
	})
}

func TestListUnavailableOrEmpty_ChangesNothing(t *testing.T) {
	withSidecar(t, func(t *testing.T, p *fakePlatform, _ *Supervisor) {
		p.list(errors.New("list down"))
		time.Sleep(time.Minute)
		p.list(nil)
		if diff := cmp.Diff([]string(nil), receive(p.link("a"), time.Minute)); diff != "" {
			t.Errorf("messages to the entry (-want +got):\n%s", diff)
		}
	})
}

func TestOwnHostLeaving_RefusesNewWorkAndFinishesRunningWork(t *testing.T) {
	withSidecar(t, func(t *testing.T, p *fakePlatform, s *Supervisor) {
		startRequest(t, p.link("a"), "before")
		// The sidecar reads the list at this very moment; work that has started by then
		// must be finished.
		synctest.Wait()
		p.list(nil, entryAt("a", lister.HostLive), lister.Host{Role: lister.RoleTarget, Address: "t", State: lister.HostLeaving})
		time.Sleep(2 * time.Second)
		startRequest(t, p.link("a"), "after")
		want := []string{"leaving", "refused leaving", "chunk answer", "end whole"}
		if diff := cmp.Diff(want, receive(p.link("a"), 2*time.Minute)); diff != "" {
			t.Errorf("messages to the entry (-want +got):\n%s", diff)
		}
		if left := s.Drain(t.Context()); left != 0 {
			t.Errorf("%d answers left", left)
		}
	})
}
