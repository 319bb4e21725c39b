package meter

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

const retention = time.Minute

// virtualClock is a host's clock; it follows the virtual time of synctest.
type virtualClock struct{ start time.Time }

func (c virtualClock) Elapsed() time.Duration { return time.Since(c.start) }

// hosts are meters that reach each other by name, unless they are lost.
type hosts struct {
	meters map[string]*Meter
	mutex  sync.Mutex
	lost   string
}

// Ask implements querier.Peers.
func (h *hosts) Ask(_ context.Context, address string, q messenger.Question) (r messenger.Reply, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if address == h.lost {
		return r, appender.ErrUnavailable
	}
	r.Kept = h.meters[address].Keep(*q.UsageCopy)
	return r, nil
}

func (h *hosts) lose(name string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lost = name
}

func newHosts(names ...string) *hosts {
	h := &hosts{meters: make(map[string]*Meter)}
	for _, name := range names {
		h.meters[name] = New(clockwork.NewRealClock(), virtualClock{time.Now()}, Options{
			Incarnation: identifier.Incarnation("i-" + name), Self: name, Members: func() []string { return names }, Peers: h, Retention: retention,
		})
	}
	return h
}

// known returns the starts of the ages asked for, as incarnation, account and age, in order.
func known(m *Meter, minAge, maxAge time.Duration) (list []string) {
	a := m.Answer(messenger.UsageQuestion{MinAge: minAge, MaxAge: maxAge})
	for _, s := range a.Starts {
		list = append(list, strings.Join([]string{string(a.Hosts[s.Host]), string(a.Accounts[s.Account]), s.Age.String()}, " "))
	}
	slices.Sort(list)
	return list
}

// Guards against starts that are lost with their host: two others must keep them, whichever are
// reachable.
func TestRun_CopiesStartsToTwoReachableHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts("a", "b", "c", "d", "e")
		h.lose("b")
		a := h.meters["a"]
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { a.Run(ctx); close(ended) }()
		a.RecordStart("x", time.Now().Add(-100*time.Millisecond))
		a.RecordStart("", time.Now())
		time.Sleep(copyInterval)
		synctest.Wait()
		a.RecordStart("y", time.Now())
		cancel()
		<-ended
		keepers := 0
		for _, name := range []string{"c", "d", "e"} {
			if len(h.meters[name].kept) > 0 {
				keepers++
				if diff := cmp.Diff([]string{"i-a x 600ms", "i-a y 0s"}, known(h.meters[name], 0, retention)); diff != "" {
					t.Errorf("%s keeps (-want +got):\n%s", name, diff)
				}
			}
		}
		if keepers != copyCount {
			t.Errorf("%d hosts keep the starts, want %d", keepers, copyCount)
		}
	})
}

// Guards against starts that are dropped before a keeper has them: they must go out once one can be
// reached.
func TestRun_CopiesLaterWhatNobodyTook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts("a", "b")
		h.lose("b")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.meters["a"].Run(ctx)
		h.meters["a"].RecordStart("x", time.Now())
		time.Sleep(3 * time.Second)
		synctest.Wait()
		h.lose("")
		time.Sleep(copyInterval)
		synctest.Wait()
		if diff := cmp.Diff([]string{"i-a x 3.5s"}, known(h.meters["b"], 0, retention)); diff != "" {
			t.Errorf("kept (-want +got):\n%s", diff)
		}
	})
}

// Guards against wrong ages, and memory that grows without end.
func TestAnswer_SelectsByAgeAndForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newHosts("a").meters["a"]
		time.Sleep(time.Second)
		m.RecordStart("x", time.Now())
		m.Keep(messenger.UsageCopy{Host: "i-b", Accounts: []identifier.AccountName{"y"}, Starts: []messenger.UsageStart{
			{Number: 1, Age: 5 * time.Second}, {Account: 1, Number: 2}, {Account: -1, Number: 3}, {Number: 4, Age: -1}, {Number: 5, Age: time.Hour},
		}})
		time.Sleep(10 * time.Second)
		for _, c := range []struct {
			minAge, maxAge time.Duration
			want           []string
		}{
			{0, time.Minute, []string{"i-a x 10s", "i-b y 15s"}},
			{10 * time.Second, 12 * time.Second, []string{"i-a x 10s"}},
			{11 * time.Second, 15 * time.Second, []string{"i-b y 15s"}},
			{0, 9 * time.Second, nil},
		} {
			if diff := cmp.Diff(c.want, known(m, c.minAge, c.maxAge)); diff != "" {
				t.Errorf("ages %s to %s (-want +got):\n%s", c.minAge, c.maxAge, diff)
			}
		}
		if up := m.Answer(messenger.UsageQuestion{}).Uptime; up != 11*time.Second {
			t.Errorf("uptime %s", up)
		}
		time.Sleep(retention)
		if list := known(m, 0, time.Hour); len(list) > 0 || len(m.kept) > 0 || len(m.own.starts) > 0 {
			t.Errorf("still kept: %v", list)
		}
	})
}

// Guards against memory that other hosts can fill without end.
func TestKeep_Bounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newHosts("a").meters["a"]
		log := messenger.UsageCopy{Host: "i-0", Accounts: []identifier.AccountName{"x"}, Starts: make([]messenger.UsageStart, maxStarts)}
		for range 2 {
			m.Keep(log)
		}
		if n := len(m.kept["i-0"].starts); n != maxStarts {
			t.Errorf("%d starts of one host are kept", n)
		}
		log.Starts = log.Starts[:1]
		for n := range maxLogs + 5 {
			log.Host = identifier.Incarnation(fmt.Sprint("i-", n))
			if kept := m.Keep(log); kept != (n < maxLogs) {
				t.Errorf("host %d: kept %t", n, kept)
			}
		}
	})
}
