package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/admission/admitter"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// The loads are those of the users' heavy days: three plain targets with 6 places and a queue of
// 24, calls of some 25 ms with a goal of 150 ms, scoring calls of 30 ms.

// unrestricted admits all requests at once, as forwarders did before there was an admitter.
type unrestricted struct{}

func (unrestricted) Admit(context.Context, identifier.ServiceName, admitter.Request) (*admitter.Ticket, error) {
	return nil, nil
}
func (unrestricted) Count(identifier.ServiceName, admitter.Request) *admitter.Ticket { return nil }
func (unrestricted) InForce(identifier.ServiceName) bool                             { return false }
func (unrestricted) Prefers(identifier.ServiceName, identifier.TargetName) bool      { return true }

// plainDecoder decodes a configuration with the plain service s, whose targets have six places.
type plainDecoder struct{ nameDecoder }

func (plainDecoder) Published(string, []byte) (cataloger.PublishedRecord, error) {
	return &cataloger.Configuration{Version: 1, Services: map[identifier.ServiceName]cataloger.Service{"s": {Name: "s", MaxConnections: 190}}}, nil
}

// play is a load on three targets.
type play struct {
	hosts int
	// callsPerSecond is the rate of the live calls at each host, for the given time.
	callsPerSecond float64
	lasts          time.Duration
	// accounts has the accounts of the live calls by turns; none means anonymous ones.
	accounts []identifier.AccountName
	// owners of jobs send bursts of scores each, spread over burstTime, a second after the start.
	owners, scores int
	// atOnce sends a burst without spreading it.
	atOnce bool
	// slowness multiplies the targets' work.
	slowness     float64
	unrestricted bool
	silent       bool
}

const (
	playGoal  = 150 * time.Millisecond
	burstTime = 300 * time.Millisecond
	// playDrain is how long targets may run requests whose callers have left.
	playDrain = 10 * time.Second
)

// played is what callers got.
type played struct {
	calls, served int
	// inGoal counts the calls served within their goal, counted from their last arrival;
	// inGoalAtOnce those that were not refused before.
	inGoal, inGoalAtOnce int
	// afterRetry counts those served after a refusal.
	refusals, afterRetry int
	// lateRefusals came after more than a quarter of the goal, counted from the arrival.
	lateRefusals int
	// unanswered calls ended at their deadline.
	unanswered   int
	scored       int
	scoredWithin time.Duration
	inGoalOf     map[identifier.AccountName]int
	callsOf      map[identifier.AccountName]int
	faker.RoomCounts
}

func (p played) sendsPerRun() float64 { return float64(p.Sends) / float64(max(1, p.Runs)) }

func (p played) String() string {
	return fmt.Sprintf("%d calls, %d in goal (%d at once), %d served (%d after a refusal), %d refusals (%d late), %d unanswered; %d scored within %s; %d sends of %d runs (%.2f), %d refused by targets, %d resets; %v of %v",
		p.calls, p.inGoal, p.inGoalAtOnce, p.served, p.afterRetry, p.refusals, p.lateRefusals, p.unanswered, p.scored, p.scoredWithin, p.Sends, p.Runs, p.sendsPerRun(), p.Refusals, p.Resets, p.inGoalOf, p.callsOf)
}

// player plays a load.
type player struct {
	play
	forwarders []*Forwarder
	mutex      sync.Mutex
	got        played
	start      time.Time
}

func newPlayer(p play) (*player, *faker.Rooms) {
	clock := clockwork.NewRealClock()
	c := cataloger.New(clock, plainDecoder{})
	c.PublishedSink().Reset([]storer.Record{{Key: "config", Value: []byte("x")}})
	c.TargetSink().Reset([]storer.Record{{Key: "a", Value: []byte("x")}, {Key: "b", Value: []byte("x")}, {Key: "c", Value: []byte("x")}})
	y := &player{play: p, start: clock.Now()}
	rooms := faker.NewRooms(clock, faker.RoomOptions{
		Places: 6, Queue: 24, Connections: 190, Link: time.Millisecond, Silent: p.silent,
		Work: func(_ identifier.TargetName, c sender.Call) time.Duration { return y.workOf(c) },
	})
	for h := range p.hosts {
		var a Admitter = admitter.New(clock, c, admitter.Options{Hosts: func() int { return p.hosts }})
		if p.unrestricted {
			a = unrestricted{}
		}
		y.forwarders = append(y.forwarders, New(clock, c, &targetList{}, rooms, &countingBlocklist{}, knownOrigins{}, router.NewSharedRandom(uint64(h)), WithAdmitter(a)))
	}
	y.got.inGoalOf, y.got.callsOf = make(map[identifier.AccountName]int), make(map[identifier.AccountName]int)
	return y, rooms
}

// workOf returns how long a call takes: 30 ms for scores, 25 ms for others, in one of fifty cases
// seven times that.
func (y *player) workOf(c sender.Call) time.Duration {
	random := randomOf("work of " + c.ID)
	work := 25 * time.Millisecond
	switch {
	case strings.HasPrefix(c.ID, "score"):
		work = 30 * time.Millisecond
	case random.IntN(50) == 0:
		work *= 7
	}
	return time.Duration(float64(work) * max(1, y.slowness) * (0.8 + 0.4*random.Float64()))
}

// randomOf returns a source that depends on nothing but id, so that loads are the same whatever
// the order in which goroutines run.
func randomOf(id string) *rand.Rand {
	return router.NewRandom(uint64(identifier.NewFingerprint("", "", []byte(id))))
}

func draw(random *rand.Rand, n time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(n)))
}

var liveRoute = cataloger.Route{
	Name: "live", Kind: cataloger.KindIdempotent, Shares: []cataloger.TrafficShare{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, LatencyGoal: playGoal, MaxAttempts: 2, Priority: 2,
}

// call is a caller that comes back once if it is refused, as the users' callers do.
func (y *player) call(f *Forwarder, id string, account identifier.AccountName) {
	start, deadline := time.Now(), time.Now().Add(800*time.Millisecond+draw(randomOf(id), 1200*time.Millisecond))
	arrived, refusals, late, served := start, 0, 0, false
	for {
		sent := time.Now()
		o := f.Forward(context.Background(), liveRoute, Request{ID: id, Method: "POST", Path: "/p", Account: account, TimeLeft: time.Until(deadline)})
		_, served = o.(Response)
		n, refused := o.(NotRun)
		if !refused {
			break
		}
		refusals++
		if time.Since(sent) > playGoal/4 {
			late++
		}
		if refusals > 1 {
			break
		}
		time.Sleep(min(n.RetryAfter, time.Until(deadline)/3))
		arrived = time.Now()
	}
	y.mutex.Lock()
	defer y.mutex.Unlock()
	y.got.calls++
	y.got.callsOf[account]++
	y.got.refusals += refusals
	y.got.lateRefusals += late
	switch {
	case served:
		y.got.served++
		if refusals > 0 {
			y.got.afterRetry++
		}
		if time.Since(start) <= playGoal {
			y.got.inGoalAtOnce++
		}
		if time.Since(arrived) <= playGoal {
			y.got.inGoal++
			y.got.inGoalOf[account]++
		}
	case refusals == 0:
		y.got.unanswered++
	}
}

var scoreRoute = cataloger.Route{
	Name: "scores", Kind: cataloger.KindIdempotent, Shares: []cataloger.TrafficShare{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, LatencyGoal: 400 * time.Millisecond, MaxAttempts: 4, Priority: 2,
}

// score repeats a scoring call until it succeeds, as the scheduler does.
func (y *player) score(f *Forwarder, id string) {
	if !y.atOnce {
		time.Sleep(draw(randomOf(id), burstTime))
	}
	delay := 50 * time.Millisecond
	for {
		o := f.Forward(context.Background(), scoreRoute, Request{ID: id, Method: "POST", Path: "/q", TimeLeft: 2 * time.Second, Owed: true, Due: y.start.Add(20 * time.Second)})
		if _, ok := o.(Response); ok {
			break
		}
		time.Sleep(delay)
		delay = min(2*delay, 400*time.Millisecond)
	}
	y.mutex.Lock()
	defer y.mutex.Unlock()
	y.got.scored++
	y.got.scoredWithin = max(y.got.scoredWithin, time.Since(y.start)-time.Second)
}

// run plays a load to its end.
func run(t *testing.T, p play) (got played) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		y, rooms := newPlayer(p)
		var tasks conc.WaitGroup
		for h, f := range y.forwarders {
			tasks.Go(func() { y.callAll(f, h, &tasks) })
			if h >= p.owners {
				continue
			}
			tasks.Go(func() {
				time.Sleep(time.Second)
				for n := range p.scores {
					tasks.Go(func() { y.score(f, fmt.Sprintf("score-%d-%d", h, n)) })
				}
			})
		}
		tasks.Wait()
		time.Sleep(playDrain)
		got = y.got
		got.RoomCounts = rooms.Counts()
	})
	t.Logf("%+v\n%s", p, got)
	return got
}

// callAll sends the live calls of a host at random times.
func (y *player) callAll(f *Forwarder, host int, tasks *conc.WaitGroup) {
	if y.callsPerSecond == 0 {
		return
	}
	mean := time.Duration(float64(time.Second) / y.callsPerSecond)
	random := randomOf(fmt.Sprint("host ", host))
	for n := 0; time.Since(y.start) < y.lasts; n++ {
		time.Sleep(draw(random, 2*mean))
		var account identifier.AccountName
		if len(y.accounts) > 0 {
			account = y.accounts[n%len(y.accounts)]
		}
		tasks.Go(func() { y.call(f, fmt.Sprintf("live-%d-%d", host, n), account) })
	}
}

// Guards against bursts of scoring calls that push live calls of all hosts out and are repeated
// against full targets.
func TestForward_ABurstOfScoresLeavesRoomForLiveCalls(t *testing.T) {
	p := play{hosts: 7, callsPerSecond: 6, lasts: 5 * time.Second, owners: 3, scores: 300}
	got := run(t, p)
	p.unrestricted = true
	before := run(t, p)
	if got.scored != 900 || got.served < got.calls {
		t.Errorf("not all are served: %s", got)
	}
	if share := float64(got.inGoal) / float64(got.calls); share < 0.95 || got.inGoal <= before.inGoal {
		t.Errorf("%.2f of the live calls are in goal, %d before", share, before.inGoal)
	}
	if got.sendsPerRun() > 1.2 {
		t.Errorf("%.2f sends per run", got.sendsPerRun())
	}
	if got.scoredWithin > before.scoredWithin*3/2 {
		t.Errorf("scoring takes %s, %s before", got.scoredWithin, before.scoredWithin)
	}
}

// capacity is how many calls the targets run in a second.
const capacity = 3 * 6 / (0.025 * (0.98 + 0.02*7))

// Guards against serving less of a greater load, and against calls that are refused only after
// they have waited, or that never get a response.
func TestForward_FourTimesTheLoadIsServedNoLessThanOneAndAHalf(t *testing.T) {
	load := func(hosts int, times float64) play {
		return play{hosts: hosts, callsPerSecond: times * capacity / float64(hosts), lasts: 6 * time.Second}
	}
	for _, hosts := range []int{7, 150} {
		some, much := run(t, load(hosts, 1.5)), run(t, load(hosts, 4))
		if float64(much.inGoal) < 0.95*float64(some.inGoal) {
			t.Errorf("%d hosts: in goal %d at 4 times the load, %d at 1.5 times", hosts, much.inGoal, some.inGoal)
		}
		for _, got := range []played{some, much} {
			if got.sendsPerRun() > 1.2 || got.unanswered > got.calls/100 || got.lateRefusals > got.refusals/10 || got.Resets > 0 {
				t.Errorf("%d hosts: %s", hosts, got)
			}
		}
	}
}

// Guards against refusals that come late or tell a time at which there is no room.
func TestForward_ARefusalTellsWhenThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y, _ := newPlayer(play{hosts: 1})
		f := y.forwarders[0]
		var tasks conc.WaitGroup
		for n := range 300 {
			tasks.Go(func() { y.call(f, fmt.Sprint("live-", n), "") })
		}
		time.Sleep(100 * time.Millisecond)
		const limit = 100 * time.Millisecond
		lessUrgent := liveRoute
		lessUrgent.Priority = 6
		probe := func(id string) Outcome {
			return f.Forward(context.Background(), lessUrgent, Request{ID: id, Method: "POST", Path: "/p", TimeLeft: limit})
		}
		sent := time.Now()
		refusal, ok := probe("probe-1").(NotRun)
		if took := time.Since(sent); !ok || took > playGoal/4 || refusal.RetryAfter < limit/2 {
			t.Errorf("%+v after %s, while hundreds of calls wait", refusal, took)
		}
		time.Sleep(refusal.RetryAfter)
		if o := probe("probe-2"); describe(o) != "response 200" {
			t.Errorf("after %s: %s", refusal.RetryAfter, describe(o))
		}
		tasks.Wait()
		time.Sleep(playDrain)
	})
}

// Guards against a small account that is refused because of a large one.
func TestForward_ALargeAccountLeavesASmallOneItsShare(t *testing.T) {
	accounts := slices.Repeat([]identifier.AccountName{"large"}, 19)
	got := run(t, play{hosts: 3, callsPerSecond: 3 * capacity / 3, lasts: 5 * time.Second, accounts: append(accounts, "small")})
	if share := float64(got.inGoalOf["small"]) / float64(got.callsOf["small"]); share < 0.9 {
		t.Errorf("%.2f of the calls of the small account are in goal", share)
	}
}

// Guards against calls that wait until their deadline at targets that are five times as slow.
func TestForward_SlowTargets(t *testing.T) {
	const slowness = 5
	lasts := 6 * time.Second
	got := run(t, play{hosts: 7, callsPerSecond: 0.5 * capacity / 7, lasts: lasts, slowness: slowness})
	if least := 0.95 * lasts.Seconds() * capacity / slowness; float64(got.served) < least || got.sendsPerRun() > 1.2 || got.unanswered > got.calls/50 {
		t.Errorf("%s, the targets can run %.0f", got, least)
	}
}

// Guards against admission that changes anything for targets with enough room.
func TestForward_WithEnoughRoomNothingChanges(t *testing.T) {
	p := play{hosts: 7, callsPerSecond: 0.3 * capacity / 7, lasts: 3 * time.Second}
	got := run(t, p)
	p.unrestricted = true
	if diff := cmp.Diff(run(t, p), got, cmp.AllowUnexported(played{})); diff != "" {
		t.Errorf("(-without +with an admitter):\n%s", diff)
	}
}
