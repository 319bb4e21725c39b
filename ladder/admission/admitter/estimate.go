package admitter

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/admission/order"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// All estimates are of this host only, from what it has seen in the last seconds.

const (
	// window is the time for which responses and arrivals count, in two halves.
	window = 2 * time.Second
	// defaultWork is assumed before the first response; the users' plain calls take 20 to 80 ms.
	defaultWork = 30 * time.Millisecond
	// waitMargin is by how much the wait may be longer than estimated: a limit may be lowered
	// meanwhile, and some requests take several times as long as others.
	waitMargin = 2
	// settleTime is how long the limit has to follow the targets' reports before it tells that
	// requests arrive faster than they can be sent. It is some ten round trips.
	settleTime = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After value of refusals.
	minRetryAfter, maxRetryAfter = 25 * time.Millisecond, 10 * time.Second
)

// sample sums values over the last one to two halves of the window.
type sample struct {
	since             time.Time
	count, previous   int
	sum, sumPrevious  time.Duration
	hasPrevious       bool
	previousFullSince time.Time
}

func (m *sample) roll(now time.Time) {
	age := now.Sub(m.since)
	switch {
	case age >= window:
		*m = sample{since: now}
	case age >= window/2:
		*m = sample{since: m.since.Add(window / 2), previous: m.count, sumPrevious: m.sum, hasPrevious: true, previousFullSince: m.since}
	}
}

func (m *sample) add(now time.Time, value time.Duration) {
	m.roll(now)
	m.count++
	m.sum += value
}

// mean returns the mean value, and false if there is none.
func (m *sample) mean(now time.Time) (time.Duration, bool) {
	m.roll(now)
	n := m.count + m.previous
	if n == 0 {
		return 0, false
	}
	return (m.sum + m.sumPrevious) / time.Duration(n), true
}

// counted returns the number of values and the time in which they came.
func (m *sample) counted(now time.Time) (count int, within time.Duration) {
	m.roll(now)
	from := m.since
	if m.hasPrevious {
		from = m.previousFullSince
	}
	return m.count + m.previous, now.Sub(from)
}

// stats are what the responses of a service's targets show.
type stats struct {
	// trips has the times from sending to the response, works what of them was work.
	trips, works sample
	// arrivals counts the live calls.
	arrivals sample
}

func (t *stats) record(now time.Time, took time.Duration, l *sender.Load, places int) {
	t.trips.add(now, took)
	if l != nil {
		took = time.Duration(float64(took) / (1 + float64(l.Waiting)/float64(places)))
	}
	t.works.add(now, took)
}

// trip returns the usual time of a response.
func (t *stats) trip(now time.Time) time.Duration {
	if d, ok := t.trips.mean(now); ok {
		return max(d, time.Millisecond)
	}
	return defaultWork
}

// work returns the usual time of a response at a target without a queue.
func (t *stats) work(now time.Time) time.Duration {
	if d, ok := t.works.mean(now); ok {
		return max(d, time.Millisecond)
	}
	return defaultWork
}

// estimate is when a waiting request will be sent, with what that follows from.
type estimate struct {
	// wait is the time until it is sent; queue is the time until all that wait now are sent.
	wait, queue time.Duration
	ahead       int
	left        time.Duration
}

// retryAfter returns when a caller that is refused will find room.
func (e estimate) retryAfter() time.Duration {
	return min(max(min(e.wait, e.queue), minRetryAfter), maxRetryAfter)
}

// neverSent stands for the wait of a request that others overtake for as long as they arrive.
const neverSent = time.Hour

// outlook is what the estimates for all waiting requests have in common.
type outlook struct {
	now time.Time
	// trip is the usual time of a response, interval that between two sends.
	trip, interval time.Duration
	// opens is the time until a target accepts requests.
	opens time.Duration
	// live counts the live calls that wait.
	live int
}

func (s *service) outlook(now time.Time) outlook {
	o := outlook{now: now, trip: s.stats.trip(now), opens: max(0, s.opensAt().Sub(now))}
	o.interval = s.all.interval(o.trip)
	for _, w := range s.queue {
		if !w.request.Owed {
			o.live++
		}
	}
	return o
}

// estimateFor returns when a waiting request will be sent if ahead others go before it, and
// whether it is then served in time. Owed requests have no time limit.
func (s *service) estimateFor(o outlook, w *waiter, ahead int) (e estimate, inTime bool) {
	now := o.now
	e = estimate{
		ahead: ahead, wait: o.opens + time.Duration(ahead+1)*o.interval, queue: o.opens + time.Duration(len(s.queue))*o.interval,
		left: w.request.Deadline.Sub(now),
	}
	if w.request.Owed || w.request.Deadline.IsZero() {
		return e, true
	}
	if now.Sub(s.beganAt) >= settleTime && !order.MeetsGoal(now, w.request, time.Duration(waitMargin*float64(e.wait))+o.trip) {
		e.wait = max(e.wait, o.opens+s.lateWait(o, ahead))
	}
	return e, e.wait+o.trip <= e.left
}

// lateWait returns the wait of a request that misses its latency goal: those that arrive later and
// can still meet theirs overtake it.
func (s *service) lateWait(o outlook, ahead int) time.Duration {
	count, within := s.stats.arrivals.counted(o.now)
	overtaking := count - o.live
	if overtaking <= 0 || within <= 0 {
		return 0
	}
	free := 1/o.interval.Seconds() - float64(overtaking)/within.Seconds()
	if free <= 0 {
		return neverSent
	}
	return min(neverSent, time.Duration(float64(ahead+1)/free*float64(time.Second)))
}
