package throttler

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/updater"
)

const (
	peerDelay, targetDelay = time.Millisecond, 20 * time.Millisecond
	// settled is how long a new fleet needs to grant whole limits.
	settled = 15 * time.Second
	// maxListed is the number of hosts that the store lists.
	maxListed = 12
	listAge   = 3 * time.Second
)

// arrival is a request that reached a target.
type arrival struct {
	host string
	at   time.Time
	// counts is set if the host had been told of the limit long enough before.
	counts bool
}

// limitedTarget is a target that may name a limit.
type limitedTarget struct {
	limit sender.RequestLimit
	// namedAt is when it first named a limit.
	namedAt  time.Time
	toldAt   map[string]time.Time
	arrivals []arrival
}

// fleet is a number of hosts before the same targets.
type fleet struct {
	t     *testing.T
	clock clockwork.Clock
	tasks conc.WaitGroup
	ctx   context.Context
	end   context.CancelFunc

	mutex   sync.Mutex
	targets map[identifier.TargetName]*limitedTarget
	hosts   map[string]*fleetHost
	// listed are the hosts that the store lists.
	listed []string
	served int
}

// fleetHost is one host.
type fleetHost struct {
	*Throttler
	name string
	// unreachable hosts neither reach other hosts nor are reached by them.
	unreachable bool
	// frozenUntil is the time until which the host does nothing.
	frozenUntil time.Time
	// list is the list that the host read at readAt.
	list   []string
	readAt time.Time
}

func newFleet(t *testing.T, hosts int, targets ...identifier.TargetName) *fleet {
	f := &fleet{t: t, clock: clockwork.NewRealClock(), targets: make(map[identifier.TargetName]*limitedTarget), hosts: make(map[string]*fleetHost)}
	f.ctx, f.end = context.WithCancel(context.Background())
	for _, name := range targets {
		f.targets[name] = &limitedTarget{toldAt: make(map[string]time.Time)}
	}
	for n := range hosts {
		f.start(fmt.Sprintf("10.0.%d.%d:7080", n/250, n%250))
	}
	return f
}

// granterOf returns the host that ranks first for a target.
func (h *fleetHost) granterOf(name identifier.TargetName) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.roster.Granters(name)[0]
}

// start adds a host, or restarts the one of that name.
func (f *fleet) start(name string) *fleetHost {
	h := &fleetHost{name: name}
	h.Throttler = New(f.clock, hostTransport{f, name}, Options{Self: name, Peers: hostPeers{f, name}, Members: func() ([]string, time.Time) { return f.members(h) }})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, known := f.hosts[name]; !known && len(f.listed) < maxListed {
		f.listed = append(f.listed, name)
	}
	f.hosts[name] = h
	for _, target := range f.targets {
		delete(target.toldAt, name) // a restart excuses a host until it is told again
	}
	f.tasks.Go(func() { h.Run(f.ctx) })
	return h
}

// members returns the list as the host has last read it.
func (f *fleet) members(h *fleetHost) ([]string, time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now := f.clock.Now(); now.Sub(h.readAt) >= listAge && !h.frozenUntil.After(now) {
		h.list, h.readAt = append([]string(nil), f.listed...), now
	}
	return h.list, h.readAt
}

// name makes a target name a limit; a negative rate withdraws it.
func (f *fleet) name(target identifier.TargetName, rate identifier.RequestRate) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	t := f.targets[target]
	t.limit = sender.RequestLimit{Limited: rate >= 0, Rate: max(0, rate)}
	if t.namedAt.IsZero() {
		t.namedAt = f.clock.Now()
	}
}

// hostTransport is the way from one host to the targets.
type hostTransport struct {
	*fleet
	host string
}

// Warm implements sender.Transport.
func (hostTransport) Warm(cataloger.Target) bool { return false }

// Events implements sender.Transport.
func (hostTransport) Events(*sender.Response) sender.Events { return nil }

// Send implements sender.Transport.
func (h hostTransport) Send(_ context.Context, to cataloger.Target, _ sender.Call) (*sender.Response, error) {
	h.mutex.Lock()
	target, now := h.targets[to.Name], h.clock.Now()
	told, ok := target.toldAt[h.host]
	target.arrivals = append(target.arrivals, arrival{h.host, now, ok && now.Sub(told) >= faker.LimitTellingTime})
	limit := target.limit
	if limit.Limited && !ok {
		target.toldAt[h.host] = now.Add(targetDelay)
	}
	h.mutex.Unlock()
	time.Sleep(targetDelay)
	return &sender.Response{Status: http.StatusOK, RequestLimit: &limit, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// hostPeers is the way from one host to the others.
type hostPeers struct {
	*fleet
	host string
}

// Ask implements querier.Peers.
func (h hostPeers) Ask(ctx context.Context, address string, q messenger.Question) (messenger.Reply, error) {
	h.mutex.Lock()
	peer, ok := h.hosts[address]
	now := h.clock.Now()
	reachable := ok && !peer.unreachable && !h.hosts[h.host].unreachable && !peer.frozenUntil.After(now)
	h.mutex.Unlock()
	if !reachable {
		<-ctx.Done()
		return messenger.Reply{}, errors.New("no answer")
	}
	time.Sleep(peerDelay)
	var r messenger.Reply
	if q.Limits {
		r.Limits = peer.Limits()
	} else {
		answer := peer.Answer(*q.Permit)
		r.Permit = &answer
	}
	time.Sleep(peerDelay)
	return r, nil
}

// load makes each host call a random target every pause, for the given time.
func (f *fleet) load(pause, length time.Duration) {
	f.mutex.Lock()
	var hosts []*fleetHost
	for _, h := range f.hosts {
		hosts = append(hosts, h)
	}
	var names []identifier.TargetName
	for name := range f.targets {
		names = append(names, name)
	}
	f.mutex.Unlock()
	end := f.clock.Now().Add(length)
	var callers conc.WaitGroup
	for n, h := range hosts {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			time.Sleep(time.Duration(random.Int64N(int64(pause))))
			for f.clock.Now().Before(end) {
				f.mutex.Lock()
				frozen := h.frozenUntil.Sub(f.clock.Now())
				current := f.hosts[h.name]
				f.mutex.Unlock()
				time.Sleep(max(0, frozen))
				name := names[random.IntN(len(names))]
				callers.Go(func() {
					if _, err := current.Send(f.ctx, cataloger.Target{Name: name}, sender.Call{}); err == nil {
						f.mutex.Lock()
						f.served++
						f.mutex.Unlock()
					}
				})
				time.Sleep(pause)
			}
		})
	}
	callers.Wait()
}

// most returns the greatest number of requests that count within the users' period at a
// target, and the number of all, from the given time on.
func (f *fleet) most(name identifier.TargetName, from time.Time) (most, all int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var counted []time.Time
	for _, a := range f.targets[name].arrivals {
		if a.counts && !a.at.Before(from) {
			counted = append(counted, a.at)
		}
	}
	return faker.MostWithinLimitPeriod(counted), len(counted)
}

// check checks the requests from the given time on against a limit.
func (f *fleet) check(name identifier.TargetName, rate identifier.RequestRate, from time.Time) {
	f.t.Helper()
	most, all := f.most(name, from)
	allowed := faker.MaxLimited(float64(rate) * faker.LimitPeriod.Seconds())
	f.t.Logf("%s: %d requests, most in %s %d, allowed %.0f", name, all, faker.LimitPeriod, most, allowed)
	if float64(most) > allowed {
		f.t.Errorf("%s got %d requests in %s, at most %.0f are allowed", name, most, faker.LimitPeriod, allowed)
	}
}

// run runs a test on a fleet in virtual time.
func run(t *testing.T, hosts int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, "a", "b", "c")
		time.Sleep(settled)
		test(t, f)
		f.end()
		f.tasks.Wait()
		time.Sleep(2 * time.Second) // questions without an answer end
	})
}

// Guards against fleets in which each host keeps to the limit by itself.
func TestSend_AFleetOfAnySizeKeepsToTheLimit(t *testing.T) {
	for _, hosts := range []int{1, 7, 133, 330} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			run(t, hosts, func(t *testing.T, f *fleet) {
				limits := map[identifier.TargetName]identifier.RequestRate{"a": 1, "b": 2.3, "c": 12}
				for name, rate := range limits {
					f.name(name, rate)
				}
				start := f.clock.Now()
				f.load(100*time.Millisecond, 20*time.Second)
				for name, rate := range limits {
					from := start.Add(faker.LimitNotice)
					f.check(name, rate, from)
					// One host alone calls each target only 3 times a second.
					want := 0.7 * min(float64(rate), 10*float64(hosts)/3) * f.clock.Since(from).Seconds()
					if _, all := f.most(name, from); hosts < 100 && float64(all) < want-1 {
						t.Errorf("%s got %d requests, it would have taken %.0f", name, all, want)
					}
				}
			})
		})
	}
}

func TestSend_LimitsChangeAndEnd(t *testing.T) {
	run(t, 30, func(t *testing.T, f *fleet) {
		f.name("a", 20)
		f.name("b", 0)
		f.load(100*time.Millisecond, 10*time.Second)
		f.name("a", 1)
		f.name("b", 5)
		lowered := f.clock.Now()
		f.load(100*time.Millisecond, 15*time.Second)
		f.check("a", 1, lowered.Add(faker.LimitNotice))
		f.check("b", 5, lowered.Add(faker.LimitNotice))
		if _, all := f.most("b", lowered); all < 20 {
			t.Errorf("%d requests in 15 s to the target that accepts 5 a second again", all)
		}
		f.name("a", -1)
		f.name("b", -1)
		f.load(100*time.Millisecond, 15*time.Second)
		before := f.served
		f.load(100*time.Millisecond, 5*time.Second)
		if served := f.served - before; served < 30*10*5*9/10 {
			t.Errorf("%d of 1500 requests served after the limits were withdrawn", served)
		}
	})
}

// Hosts are frozen, cut off, restarted and added, those that grant permits above all.
func TestSend_HostsComeAndGo(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(f *fleet, granter string)
	}{
		{"granter freezes", func(f *fleet, granter string) { f.hosts[granter].frozenUntil = f.clock.Now().Add(5 * time.Second) }},
		{"granter cut off for good", func(f *fleet, granter string) { f.hosts[granter].unreachable = true }},
		{"granter leaves the list", func(f *fleet, granter string) { f.listed = without(f.listed, granter) }},
		{"one host after the other restarts", func(f *fleet, _ string) {
			pause := time.Duration(0)
			for name := range f.hosts {
				pause += 400 * time.Millisecond
				f.clock.AfterFunc(pause, func() { f.start(name) })
			}
		}},
		{"all hosts restart", func(f *fleet, _ string) {
			for name := range f.hosts {
				go f.start(name)
			}
		}},
		{"hosts join", func(f *fleet, _ string) {
			f.listed = without(without(f.listed, f.listed[0]), f.listed[1])
			for n := range 20 {
				go f.start(fmt.Sprintf("10.9.0.%d:7080", n))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 20, func(t *testing.T, f *fleet) {
				const rate = 2
				f.name("a", rate)
				start := f.clock.Now()
				f.load(100*time.Millisecond, 6*time.Second)
				granter := f.hosts[f.listed[0]].granterOf("a")
				f.mutex.Lock()
				c.disturb(f, granter)
				f.mutex.Unlock()
				synctest.Wait()
				f.load(100*time.Millisecond, 20*time.Second)
				f.check("a", rate, start.Add(faker.LimitNotice))
				if _, all := f.most("a", f.clock.Now().Add(-5*time.Second)); all == 0 {
					t.Error("the target gets no requests in the end")
				}
			})
		})
	}
}

func without(list []string, name string) (rest []string) {
	for _, other := range list {
		if other != name {
			rest = append(rest, other)
		}
	}
	return rest
}

// Guards against a restarted target that is taken for the one that named the limit.
func TestSend_ARestartedTargetHasNoLimit(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		f.name("a", 0)
		h := f.hosts["10.0.0.0:7080"]
		send := func(startID int64) error {
			_, err := h.Send(f.ctx, cataloger.Target{Name: "a", StartID: startID}, sender.Call{})
			return err
		}
		if err := send(1); err != nil {
			t.Fatal(err)
		}
		if err := send(1); !errors.Is(err, sender.ErrLimited) || !errors.Is(err, sender.ErrNotSent) {
			t.Errorf("second request to a target that accepts none: %v", err)
		}
		if a := h.Allowance(cataloger.Target{Name: "a", StartID: 1}); !a.Limited || a.Wait == 0 {
			t.Errorf("allowance %+v", a)
		}
		f.name("a", -1)
		for range 3 {
			if err := send(2); err != nil {
				t.Errorf("request to the restarted target: %v", err)
			}
		}
	})
}

// Guards against a limit that is withdrawn by a response to an older request.
func TestSend_AnOlderResponseWithdrawsNoLimit(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		h, to := f.hosts["10.0.0.0:7080"], cataloger.Target{Name: "a"}
		sentBefore := f.clock.Now()
		time.Sleep(time.Second)
		h.learnResponse(to, sender.RequestLimit{Limited: true, Rate: 1}, f.clock.Now())
		h.learnResponse(to, sender.RequestLimit{}, sentBefore)
		if !h.Allowance(to).Limited {
			t.Error("the limit was withdrawn")
		}
	})
}

// Guards against a caller that leaves and thereby keeps the others from a target.
func TestSend_ACallerThatLeavesDeniesNobodyElse(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		var h *fleetHost
		for _, candidate := range f.hosts {
			if candidate.granterOf("a") != candidate.name {
				h = candidate
			}
		}
		to := cataloger.Target{Name: "a"}
		h.learnResponse(to, sender.RequestLimit{Limited: true, Rate: 5}, f.clock.Now())
		ctx, leave := context.WithCancel(f.ctx)
		leave()
		if _, err := h.Send(ctx, to, sender.Call{}); !errors.Is(err, sender.ErrNotSent) || errors.Is(err, sender.ErrLimited) {
			t.Errorf("call that was abandoned: %v", err)
		}
		if a := h.Allowance(to); a.Wait != 0 || a.Pending != 0 {
			t.Errorf("allowance for the others %+v", a)
		}
	})
}

// countingControl counts the requests of lycheeladder itself.
type countingControl struct{ status, load int }

// Status implements updater.TargetClient.
func (c *countingControl) Status(context.Context, cataloger.Target) (updater.TargetStatus, error) {
	c.status++
	return updater.TargetStatus{}, nil
}

// Load implements updater.TargetClient.
func (c *countingControl) Load(context.Context, cataloger.Target, updater.LoadOrder) error {
	c.load++
	return nil
}

func TestControlClient_CountsTowardsTheLimit(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		h, to := f.hosts["10.0.0.0:7080"], cataloger.Target{Name: "a"}
		h.learnResponse(to, sender.RequestLimit{Limited: true, Rate: 1}, f.clock.Now())
		counts := &countingControl{}
		c := NewControlClient(counts, h.Throttler)
		for range 40 {
			if _, err := c.Status(f.ctx, to); err == nil {
				if err := c.Load(f.ctx, to, updater.LoadOrder{}); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		if all := counts.status + counts.load; counts.load != counts.status || all < 14 || all > 22 {
			t.Errorf("%d status requests and %d orders in 20 s, at 1 a second", counts.status, counts.load)
		}
	})
}

func BenchmarkAnswer(b *testing.B) {
	members := make([]string, maxListed)
	for n := range members {
		members[n] = fmt.Sprintf("10.0.0.%d:7080", n)
	}
	t := New(clockwork.NewRealClock(), nil, Options{Self: members[0]})
	t.roster.Update(time.Now(), members, time.Now())
	call := messenger.PermitCall{Target: messenger.TargetLimit{Target: "i-7f3a91c2", Limit: messenger.RequestLimit{Limited: true, Rate: 1e6}}}
	for b.Loop() {
		t.Answer(call)
	}
}
