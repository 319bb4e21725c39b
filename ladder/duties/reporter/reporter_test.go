package reporter

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/duties/meter"
	"github.com/lycheeladder/lycheeladder/ladder/duties/pacer"
	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/leaser"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const (
	length   = 5 * time.Second
	lateness = 10 * time.Second
	kept     = time.Minute
)

var partition = storer.Partition{Topic: "keyed.test"}

// wall is a host's clock, which is wrong by skew.
type wall struct {
	clockwork.Clock
	skew *atomic.Int64
}

func (w wall) Now() time.Time                       { return w.Clock.Now().Add(time.Duration(w.skew.Load())) }
func (w wall) Since(at time.Time) time.Duration     { return w.Now().Sub(at) }
func (w wall) Elapsed() time.Duration               { return w.Clock.Since(time.Unix(946_000_000, 0)) }
func (w wall) Until(at time.Time) (d time.Duration) { return at.Sub(w.Now()) }

// host is one host of a world. The last fields are guarded by the world's mutex.
type host struct {
	*world
	name  string
	skew  atomic.Int64
	meter *meter.Meter
	// token is 0 unless the host believes that it holds the lease.
	token identifier.FencingToken
	lost  bool
	// alone is set while the host reaches no other.
	alone bool
	stop  context.CancelFunc
}

// Token implements Lease.
func (h *host) Token() (identifier.FencingToken, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.token, h.token > 0 && !h.lost
}

// EncodeUsage implements Platform.
func (*host) EncodeUsage(w Window, c Counts) ([]byte, error) {
	text, err := json.Marshal(c)
	return fmt.Appendf(nil, "%d %s", w, text), err
}

// SendUsage implements Platform.
func (h *host) SendUsage(ctx context.Context, body []byte, authorize pacer.Authorize) error {
	if _, ok := authorize(); !ok {
		return pacer.ErrNotHolder
	}
	var w Window
	if _, err := fmt.Sscan(string(body), &w); err != nil {
		return err
	}
	page, err := h.store.Newest(context.Background(), partition, "")
	stored := slices.ContainsFunc(page.Records, func(r storer.Record) bool { return r.Key == w.key() && string(r.Value) == string(body) })
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err == nil && !stored {
		h.violations = append(h.violations, fmt.Sprintf("report %s was sent and isn't stored", body))
	}
	if before, ok := h.reports[w]; ok && before != string(body) {
		h.violations = append(h.violations, fmt.Sprintf("report %s after %s", body, before))
	}
	h.calls = append(h.calls, fmt.Sprint(h.name, " ", w))
	if h.failure != nil {
		return h.failure
	}
	if _, ok := h.reports[w]; !ok {
		h.reports[w], h.arrived[w] = string(body), time.Now()
	}
	return ctx.Err()
}

// world has hosts, a store and the platform.
type world struct {
	store   *faker.Store
	encoder *encoder.Encoder
	tasks   conc.WaitGroup

	mutex sync.Mutex
	hosts map[string]*host
	names []string
	// reports has the bytes of the first report of each window that arrived, arrived when it did.
	reports map[Window]string
	arrived map[Window]time.Time
	// calls has sender and window of all reports; failure is what the platform answers.
	calls      []string
	failure    error
	violations []string
	// others are records that another writer appends just before the next append.
	others []storer.Record
}

// Ask implements querier.Peers for the questions of a host.
func (h *host) Ask(ctx context.Context, address string, q messenger.Question) (r messenger.Reply, err error) {
	h.mutex.Lock()
	asked := h.hosts[address]
	lost := asked.lost || h.alone
	h.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return r, appender.ErrUnavailable
	}
	time.Sleep(2 * time.Millisecond)
	q = transport(h.encoder, q).(messenger.Question)
	if q.UsageCopy != nil {
		r.Kept = asked.meter.Keep(*q.UsageCopy)
	} else {
		a := asked.meter.Answer(*q.Usage)
		r.Usage = &a
	}
	time.Sleep(2 * time.Millisecond)
	return transport(h.encoder, r).(messenger.Reply), nil
}

// transport returns a message as the other end receives it.
func transport(e *encoder.Encoder, m messenger.Message) messenger.Message {
	frame, err := e.Encode(m)
	if err != nil {
		panic(err)
	}
	if m, err = e.Decode(frame); err != nil {
		panic(err)
	}
	return m
}

// racingLog lets other writers come first.
type racingLog struct {
	*faker.Store
	world *world
}

// Append implements storer.Log.
func (l racingLog) Append(ctx context.Context, p storer.Partition, at identifier.LogOffset, records []storer.Record) (identifier.LogOffset, error) {
	l.world.mutex.Lock()
	first := l.world.others
	l.world.others = nil
	l.world.mutex.Unlock()
	l.Put(p, first...)
	return l.Store.Append(ctx, p, at, records)
}

// newWorld starts hosts whose clocks are wrong by the given times.
func newWorld(skews ...time.Duration) *world {
	e, err := encoder.New()
	if err != nil {
		panic(err)
	}
	w := &world{
		encoder: e,
		store:   faker.NewStore(clockwork.NewRealClock()), hosts: make(map[string]*host),
		reports: make(map[Window]string), arrived: make(map[Window]time.Time),
	}
	for n := range skews {
		w.names = append(w.names, fmt.Sprint("host-", n))
	}
	for n, skew := range skews {
		w.hosts[w.names[n]] = &host{world: w, name: w.names[n]}
		w.hosts[w.names[n]].skew.Store(int64(skew))
		w.start(w.names[n])
	}
	return w
}

// start starts a host's process.
func (w *world) start(name string) {
	h := w.hosts[name]
	clock := wall{clockwork.NewRealClock(), &h.skew}
	members := func() []string { return w.names }
	h.meter = meter.New(clock, clock, meter.Options{Incarnation: identifier.NewIncarnation(), Self: name, Members: members, Peers: h, Retention: kept})
	r := New(clock, clock, racingLog{w.store, w}, h.meter, h, h, pacer.New(clock, 25), Options{
		Partition: partition, Holder: leaser.Holder(name), Self: name, Members: members, Peers: h, WindowLength: length, Lateness: lateness, Retention: kept, Counter: recorder.New(),
	})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	w.tasks.Go(func() { h.meter.Run(ctx) })
	w.tasks.Go(func() { r.Run(ctx) })
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.stop()
	}
	w.tasks.Wait()
	time.Sleep(time.Second) // questions to lost hosts last as long
}

// setToken makes a host believe that it holds the lease, or not if the token is 0.
func (w *world) setToken(name string, token identifier.FencingToken) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hosts[name].token = token
}

func (w *world) setLost(name string, lost bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hosts[name].lost = lost
}

func (w *world) setAlone(name string, alone bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hosts[name].alone = alone
}

func (w *world) setFailure(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failure = err
}

// nowWindow returns the window of true time.
func nowWindow() Window { return windowAt(time.Duration(time.Now().UnixNano()), length) }

// sleepInto sleeps until a moment of the next window.
func sleepInto(d time.Duration) {
	time.Sleep(time.Until(time.Unix(0, int64((nowWindow()+1).begin(length)))) + d)
}

func (w *world) record(name string, account identifier.AccountName, count int) {
	h := w.hosts[name]
	for range count {
		h.meter.RecordStart(account, wall{clockwork.NewRealClock(), &h.skew}.Now())
	}
}

// check compares the reports since a window with the wanted ones, and that no rule was broken.
func (w *world) check(t *testing.T, since Window, want ...string) {
	t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var got []string
	for n := range want {
		got = append(got, w.reports[since+Window(n)])
		if want[n] != "" {
			want[n] = fmt.Sprintf("%d %s", since+Window(n), want[n])
		}
		end := time.Unix(0, int64((since + Window(n) + 1).begin(length)))
		if late := w.arrived[since+Window(n)].Sub(end); late > lateness {
			t.Errorf("window %d of the test was reported %s after its end", n, late)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	for _, v := range w.violations {
		t.Error(v)
	}
}

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, skews []time.Duration, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(skews...)
		defer w.close()
		f(t, w)
	})
}

var rightClocks = []time.Duration{0, 0, 0}

// Guards against wrong counts, late reports and windows without a report.
func TestRun_ReportsEveryWindowFromTheFirst(t *testing.T) {
	inWorld(t, rightClocks, func(t *testing.T, w *world) {
		first := nowWindow()
		w.setToken("host-0", 7)
		sleepInto(time.Millisecond)
		w.record("host-0", "b", 2)
		w.record("host-1", "a", 3)
		sleepInto(-time.Millisecond)
		w.record("host-2", "b", 1)
		sleepInto(length)
		sleepInto(2 * time.Second)
		w.check(t, first-1, "", "null", `{"a":3,"b":3}`, "null", "null")
	})
}

// Guards against windows by the clock of one host: two of five are wrong, one jumps, and the holder's
// is one of them.
func TestRun_WindowsAreThoseOfMostClocks(t *testing.T) {
	inWorld(t, []time.Duration{6 * time.Second, -6 * time.Second, 20 * time.Millisecond, 0, -10 * time.Millisecond}, func(t *testing.T, w *world) {
		w.setToken("host-0", 7)
		sleepInto(100 * time.Millisecond)
		first := nowWindow()
		for n := range 4 {
			w.record("host-1", "a", n+1)
			time.Sleep(length - 200*time.Millisecond)
			w.record("host-2", "b", n+1)
			w.hosts["host-0"].skew.Store(int64(time.Duration(n-2) * 3 * time.Second))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		w.check(t, first, `{"a":1,"b":1}`, `{"a":2,"b":2}`, `{"a":3,"b":3}`, `{"a":4,"b":4}`)
	})
}

// Guards against windows that move by seconds when a host with a right clock is lost, so that
// fewer clocks are left than the true time was measured with.
func TestRun_ALostClockDoesNotMoveWindows(t *testing.T) {
	inWorld(t, []time.Duration{6 * time.Second, 0, 0}, func(t *testing.T, w *world) {
		w.setToken("host-0", 7)
		sleepInto(2 * time.Second)
		first := nowWindow()
		w.setLost("host-1", true)
		for n := range 4 {
			sleepInto(500 * time.Millisecond)
			w.record("host-2", "a", n+1)
			time.Sleep(4 * time.Second)
			w.record("host-2", "b", n+1)
		}
		sleepInto(length)
		sleepInto(4 * time.Second)
		w.check(t, first, "null", `{"a":1,"b":1}`, `{"a":2,"b":2}`, `{"a":3,"b":3}`, `{"a":4,"b":4}`)
	})
}

// Guards against starts that are lost with their host, and against counting those twice that their
// host and their keepers tell of.
func TestRun_FindsTheStartsOfALostHost(t *testing.T) {
	inWorld(t, []time.Duration{0, 0, 0, 0, 0}, func(t *testing.T, w *world) {
		w.setToken("host-0", 7)
		sleepInto(time.Second)
		first := nowWindow()
		w.record("host-1", "a", 5)
		w.record("host-2", "b", 4)
		time.Sleep(time.Second)
		w.setLost("host-1", true)
		sleepInto(6 * time.Second)
		w.check(t, first, `{"a":5,"b":4}`)
	})
}

// Guards against a second count of a window after a takeover, and against a frozen holder that goes on
// when it resumes.
func TestRun_ATakeoverSendsTheSameBytesAgain(t *testing.T) {
	inWorld(t, rightClocks, func(t *testing.T, w *world) {
		w.setToken("host-0", 7)
		w.setFailure(errors.New("no response"))
		sleepInto(time.Second)
		first := nowWindow()
		w.record("host-1", "a", 5)
		sleepInto(2 * time.Second)
		w.setToken("host-0", 0)
		w.setFailure(nil)
		w.record("host-1", "a", 1) // of the second window
		time.Sleep(4 * time.Second)
		before := len(w.calls)
		w.setToken("host-2", 9)
		sleepInto(4 * time.Second)
		w.check(t, first, `{"a":5}`, `{"a":1}`)
		for _, c := range w.calls[before:] {
			if c[:6] != "host-2" {
				t.Errorf("call of %s after the takeover", c)
			}
		}
	})
}

// Guards against reports that the store doesn't have, and against the loss of windows in an outage.
func TestRun_AnOutageOfTheStoreDelaysReports(t *testing.T) {
	inWorld(t, rightClocks, func(t *testing.T, w *world) {
		w.setToken("host-0", 7)
		sleepInto(time.Second)
		first := nowWindow()
		w.record("host-1", "a", 5)
		w.store.SetDown(true)
		sleepInto(4 * time.Second)
		w.mutex.Lock()
		if len(w.reports[first]) > 0 {
			t.Errorf("report %s during the outage", w.reports[first])
		}
		w.mutex.Unlock()
		w.store.SetDown(false)
		time.Sleep(3 * time.Second)
		w.check(t, first, `{"a":5}`)
	})
}

// Guards against a report that is built again because the answer to its append was lost.
func TestRun_ALostAnswerOfTheStore(t *testing.T) {
	for name, fault := range map[string]faker.AppendFault{"lost answer": faker.LoseAnswer{}, "late": faker.DelayAppend{By: 1300 * time.Millisecond}, "refused": faker.RefuseAppend{}} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, rightClocks, func(t *testing.T, w *world) {
				w.setToken("host-0", 7)
				sleepInto(3 * time.Second)
				first := nowWindow()
				w.record("host-1", "a", 5)
				w.store.Fail(fault)
				sleepInto(5 * time.Second)
				w.check(t, first, `{"a":5}`)
			})
		})
	}
}

// Guards against a second report of a window that another host has stored at the same moment.
func TestRun_AnotherHostStoresFirst(t *testing.T) {
	inWorld(t, rightClocks, func(t *testing.T, w *world) {
		w.setToken("host-0", 7)
		sleepInto(4 * time.Second)
		first := nowWindow()
		w.record("host-1", "a", 5)
		w.mutex.Lock()
		w.others = []storer.Record{{Key: first.key(), Value: fmt.Appendf(nil, `%d {"a":4}`, first)}}
		w.mutex.Unlock()
		sleepInto(2 * time.Second)
		w.setToken("host-0", 0)
		w.setToken("host-2", 9)
		sleepInto(2 * time.Second)
		w.check(t, first, `{"a":4}`, "null")
	})
}

// Guards against reports that are lost or out of order while the platform refuses or is silent.
func TestRun_SendsUntilAcknowledged(t *testing.T) {
	for name, failure := range map[string]error{"silent": errors.New("no response"), "too many calls": pacer.ErrTooManyCalls} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, rightClocks, func(t *testing.T, w *world) {
				w.setToken("host-0", 7)
				sleepInto(3 * time.Second)
				first := nowWindow()
				w.setFailure(failure)
				w.record("host-1", "a", 5)
				sleepInto(length)
				w.setFailure(nil)
				sleepInto(3 * time.Second)
				w.check(t, first, `{"a":5}`, "null")
				if !slices.IsSorted(w.calls) || len(w.calls) > 20 {
					t.Errorf("calls %v", w.calls)
				}
			})
		})
	}
}

// Guards against reports that are never sent because the platform was away for a minute.
func TestRun_SendsAfterALongSilence(t *testing.T) {
	inWorld(t, rightClocks, func(t *testing.T, w *world) {
		w.setToken("host-0", 7)
		sleepInto(3 * time.Second)
		first := nowWindow()
		w.setFailure(errors.New("no response"))
		w.record("host-1", "a", 5)
		time.Sleep(time.Minute)
		w.setFailure(nil)
		time.Sleep(3 * time.Second)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for n := range Window(11) {
			if w.reports[first+n] == "" {
				t.Errorf("window %d of the test has no report", n)
			}
		}
	})
}

// Guards against windows without a report when all processes start again, and against reports of
// the time in which none was there.
func TestRun_AllMembersRestarted(t *testing.T) {
	inWorld(t, rightClocks, func(t *testing.T, w *world) {
		w.setToken("host-0", 7)
		sleepInto(4 * time.Second)
		first := nowWindow()
		w.setToken("host-0", 0)
		for _, h := range w.hosts {
			h.stop()
		}
		w.tasks.Wait()
		time.Sleep(10 * time.Second)
		for name := range w.hosts {
			w.start(name)
		}
		w.record("host-1", "a", 1)
		time.Sleep(4 * time.Second)
		w.setToken("host-0", 7)
		sleepInto(length)
		sleepInto(length)
		w.check(t, first, "", "", `{"a":1}`, "null", "null")
	})
}

// Guards against two different counts of one window, whatever hosts believe about the lease and
// whichever answers are lost.
func TestRun_NeverTwoCountsOfOneWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type step struct{ holder, also, alone, fault, failure, starts, sleep int }
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				rapid.IntRange(0, 3).Draw(r, "holder"), rapid.IntRange(0, 6).Draw(r, "also believes"), rapid.IntRange(0, 6).Draw(r, "reaches no other"), rapid.IntRange(0, 6).Draw(r, "fault of the store"),
				rapid.IntRange(0, 3).Draw(r, "failure of the platform"), rapid.IntRange(0, 3).Draw(r, "starts"), rapid.IntRange(100, 9000).Draw(r, "ms"),
			}
		}), 1, 12).Draw(r, "steps")
		synctest.Test(t, func(*testing.T) {
			w := newWorld(0, 100*time.Millisecond, -100*time.Millisecond)
			defer w.close()
			for n, s := range steps {
				for k, name := range w.names {
					w.setToken(name, 0)
					w.setAlone(name, k == s.alone)
					if k == s.holder || k == s.also {
						w.setToken(name, identifier.FencingToken(n+1))
					}
				}
				switch s.fault {
				case 0:
					w.store.Fail(faker.LoseAnswer{})
				case 1:
					w.store.Fail(faker.DelayAppend{By: 2 * time.Second})
				case 2:
					w.store.SetDown(true)
				case 3:
					w.store.Forget()
				}
				w.setFailure([]error{nil, nil, errors.New("no response"), pacer.ErrTooManyCalls}[s.failure])
				w.record(w.names[n%3], "a", s.starts)
				time.Sleep(time.Duration(s.sleep) * time.Millisecond)
				w.store.SetDown(false)
			}
			for _, name := range w.names {
				w.setToken(name, 0)
				w.setAlone(name, false)
			}
			w.setFailure(nil)
			time.Sleep(3 * time.Second)
			w.setToken("host-1", 100)
			time.Sleep(20 * time.Second)
			w.mutex.Lock()
			defer w.mutex.Unlock()
			for _, v := range w.violations {
				r.Error(v)
			}
			if last := nowWindow() - 2; w.reports[last] == "" {
				r.Errorf("no report of window %d, calls %v", last, w.calls)
			}
		})
	})
}
