package admitter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Guards against a target without a response that holds up all requests of a host whose limit it
// uses up, although the other target would respond.
func TestAdmit_ASilentTargetDoesNotHoldUpTheOthers(t *testing.T) {
	for _, hosts := range []int{1, 12, 150} {
		synctest.Test(t, func(t *testing.T) {
			a, _ := newAdmitter(hosts)
			send(t, a, live(time.Second), 25*time.Millisecond, crowded)
			for n := 0; n < max(1, 12/hosts); n++ {
				silent, err := a.Admit(context.Background(), "s", live(time.Second))
				if err != nil {
					t.Fatal(err)
				}
				silent.Sent("a")
				defer silent.Done(Result{})
			}
			sent := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			ticket, err := a.Admit(ctx, "s", live(time.Second))
			if err != nil {
				t.Fatalf("%d hosts: %v after %s", hosts, err, time.Since(sent))
			}
			ticket.Done(Result{})
		})
	}
}

// Guards against a limit that can't grow because the service had no listed target when admission
// began, such as while the last one was leaving.
func TestAdmit_TheLimitGrowsAfterABeginWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := newAdmitter(1)
		listed := c.targets
		c.targets = nil
		send(t, a, live(time.Second), 25*time.Millisecond, Result{Verdict: VerdictRefused})
		c.targets = listed
		time.Sleep(maxFull)
		for range 200 {
			send(t, a, Request{Owed: true}, 25*time.Millisecond, Result{Verdict: VerdictServed})
		}
		if got := a.services["s"].all.value; got < 1 {
			t.Errorf("a limit of %.3f after 200 responses", got)
		}
	})
}

// Guards against a call that is held until its deadline because a single slow call uses up the
// limit, while the targets report free places.
func TestAdmit_AWaitingCallIsSentInTimeWhileThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(12)
		send(t, a, live(time.Second), 25*time.Millisecond, crowded)
		send(t, a, Request{Owed: true}, 25*time.Millisecond, Result{Verdict: VerdictServed, Load: &sender.Load{Running: 1, Waiting: 0, Places: 6}})
		a.services["s"].all.value = 1
		slow, err := a.Admit(context.Background(), "s", live(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		defer slow.Done(Result{})
		ctx, cancel := context.WithTimeout(context.Background(), 120*time.Millisecond)
		defer cancel()
		ticket, err := a.Admit(ctx, "s", live(120*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		ticket.Done(Result{})
	})
}

// Guards against forgetting which targets are full on services with many targets.
func TestTargets_ListedOnesAreNotForgotten(t *testing.T) {
	const count = 3 * forgetTargets
	c := &catalog{}
	for n := range count {
		c.targets = append(c.targets, cataloger.Target{Name: identifier.TargetName(fmt.Sprint(n)), Service: "s"})
	}
	s := newService(New(clockwork.NewFakeClock(), c, Options{}), "s")
	for _, l := range c.targets {
		s.targetOf(l.Name).load = sender.Load{Places: 2}
	}
	for n := range 2 * count {
		s.targetOf(identifier.TargetName(fmt.Sprint("gone ", n)))
	}
	if got := s.places(); got != 2*count {
		t.Errorf("%d places are known, want %d", got, 2*count)
	}
	if len(s.targets) > 4*count {
		t.Errorf("%d targets are known, %d listed", len(s.targets), count)
	}
}

// countedCatalog counts how often the targets are read.
type countedCatalog struct {
	catalog
	reads int
}

func (c *countedCatalog) ReadyTargets(s identifier.ServiceName) []cataloger.Target {
	c.reads++
	return c.catalog.ReadyTargets(s)
}

// Guards against a review whose work grows with the square of the waiting requests, which would
// take all of a small host's processor.
func TestReview_ReadsTargetsOnceForAllWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &countedCatalog{catalog: catalog{targets: []cataloger.Target{{Name: "a", Service: "s", Slots: 6}}}}
		a := New(clockwork.NewRealClock(), c, Options{})
		send(t, a, live(time.Second), 25*time.Millisecond, crowded)
		ctx, cancel := context.WithCancel(context.Background())
		for range 1000 {
			go func() { _, _ = a.Admit(ctx, "s", live(time.Hour)) }()
		}
		synctest.Wait()
		a.mutex.Lock()
		c.reads = 0
		a.services["s"].review(time.Now())
		if waiting := len(a.services["s"].queue); waiting < 900 || c.reads > 50 {
			t.Errorf("targets were read %d times for %d waiting requests", c.reads, waiting)
		}
		a.mutex.Unlock()
		cancel()
		time.Sleep(time.Second)
	})
}
