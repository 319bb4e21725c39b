package admitter

import (
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/admission/order"
)

// waiter is a request that waits to be admitted.
type waiter struct {
	service   *service
	id        string
	request   order.Request
	groupLeft func() int
	// since is when it began to wait here.
	since time.Time
	// decided is closed once ticket or err is set.
	decided chan struct{}
	ticket  *Ticket
	err     error
}

const (
	// maxQueue bounds the live calls that wait for a service; further ones are refused.
	maxQueue = 2048
	// reviewInterval is the interval at which waiting requests are checked. It is a sixth of the
	// users' shortest latency goal, since a refusal must come within a quarter of it.
	reviewInterval = 25 * time.Millisecond
	// owedYield is how long a request of a batch job gives way to live calls of other hosts.
	// After that only its rank counts, so that a lasting overload doesn't hold up the scores of
	// a job, whose results are due after 7.5 s on the users' routes.
	owedYield = time.Second
	// groupInterval is the interval at which the groups of waiting requests are read.
	groupInterval = 100 * time.Millisecond
)

// add makes a request wait, or decides it at once.
func (s *service) add(now time.Time, w *waiter) error {
	if w.groupLeft != nil {
		w.request.GroupLeft = w.groupLeft()
	}
	s.queue = append(s.queue, w)
	s.pump(now)
	if w.ticket != nil {
		return nil
	}
	// Owed requests are never refused, so that their place in the order makes no difference here.
	ahead := len(s.queue) - 1
	if !w.request.Owed {
		ahead = s.aheadOf(now, w)
	}
	o := s.outlook(now)
	e, inTime := s.estimateFor(o, w, ahead)
	if !inTime && s.mustNotRefuse(now) {
		s.take(now, w)
		return nil
	}
	if !inTime || (!w.request.Owed && o.live > maxQueue) {
		s.remove(w)
		s.count("refused-on-arrival")
		s.report.refused(now, s, w, e)
		return Refused{RetryAfter: e.retryAfter()}
	}
	s.count("delayed")
	s.report.delayed(now, s, w, e)
	return nil
}

// grant admits a request.
func (s *service) grant(now time.Time, w *waiter) {
	f := w.request.Flow()
	w.ticket = s.issue(now, f)
	s.count("admitted")
	if s.forced {
		s.shares.use(now, f, w.request.Work)
		s.all.sentAt = now
		if f.Owed {
			s.owed.sentAt = now
		}
		s.observeWait(f, now.Sub(w.since))
	}
	close(w.decided)
}

// take admits a waiting request.
func (s *service) take(now time.Time, w *waiter) {
	s.remove(w)
	s.grant(now, w)
}

func (s *service) remove(w *waiter) {
	if n := slices.Index(s.queue, w); n >= 0 {
		s.queue = slices.Delete(s.queue, n, n+1)
	}
}

// ranked returns the rank of a waiting request.
func (s *service) ranked(now time.Time, w *waiter, trip time.Duration) order.Ranked {
	return order.Ranked{Request: w.request, Rank: order.Cost(now, w.request, trip) * s.shares.factor(w.request.Flow())}
}

// aheadOf returns how many waiting requests go before w.
func (s *service) aheadOf(now time.Time, w *waiter) (count int) {
	trip := s.stats.trip(now)
	s.shares.settle(now, s.queue)
	own := s.ranked(now, w, trip)
	for _, other := range s.queue {
		if other != w && order.Compare(s.ranked(now, other, trip), own) < 0 {
			count++
		}
	}
	return count
}

// pump admits waiting requests, the first in the order first, while the limits allow it.
func (s *service) pump(now time.Time) {
	defer s.schedule(now)
	if len(s.admitter.catalog.ReadyTargets(s.name)) == 0 {
		s.release(now)
		return
	}
	trip := s.stats.trip(now)
	for len(s.queue) > 0 && !s.opensAt().After(now) {
		if s.all.opensAt(s.inFlight, trip).After(now) {
			return
		}
		w := s.first(now, trip, !s.owed.opensAt(s.owedInFlight, trip).After(now))
		if w == nil {
			return
		}
		s.take(now, w)
	}
}

// first returns the waiting request that goes first, or nil. Owed ones count only if owed is set
// or they have given way for owedYield.
func (s *service) first(now time.Time, trip time.Duration, owed bool) (best *waiter) {
	s.shares.settle(now, s.queue)
	var bestRank order.Ranked
	for _, w := range s.queue {
		if w.request.Owed && !owed && now.Sub(w.request.Arrived) < owedYield {
			continue
		}
		if r := s.ranked(now, w, trip); best == nil || order.Compare(r, bestRank) < 0 {
			best, bestRank = w, r
		}
	}
	return best
}

// release admits all waiting requests: the service has no targets, so that they fail at once.
func (s *service) release(now time.Time) {
	for len(s.queue) > 0 {
		s.take(now, s.queue[0])
	}
}

// schedule arranges for the next review while requests wait.
func (s *service) schedule(now time.Time) {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.publish()
	if len(s.queue) == 0 {
		return
	}
	next := now.Add(reviewInterval)
	trip := s.stats.trip(now)
	for _, at := range []time.Time{s.all.opensAt(s.inFlight, trip), s.owed.opensAt(s.owedInFlight, trip), s.opensAt()} {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	a := s.admitter
	s.timer = a.clock.AfterFunc(next.Sub(now), func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		s.review(a.clock.Now())
	})
}

// review admits what may be sent by now and refuses live calls that can't be served in time any
// more, such as those that others have overtaken.
func (s *service) review(now time.Time) {
	s.readGroups(now)
	s.pump(now)
	trip := s.stats.trip(now)
	s.shares.settle(now, s.queue)
	list := make([]*waiter, len(s.queue))
	ranks := make(map[*waiter]order.Ranked, len(s.queue))
	for n, w := range s.queue {
		list[n], ranks[w] = w, s.ranked(now, w, trip)
	}
	slices.SortFunc(list, func(a, b *waiter) int { return order.Compare(ranks[a], ranks[b]) })
	o, ahead := s.outlook(now), 0
	for _, w := range list {
		e, inTime := s.estimateFor(o, w, ahead)
		if inTime {
			ahead++
			continue
		}
		if s.mustNotRefuse(now) {
			s.take(now, w)
			continue
		}
		s.remove(w)
		o.live--
		s.count("refused-while-waiting")
		s.report.refused(now, s, w, e)
		w.err = Refused{RetryAfter: e.retryAfter()}
		close(w.decided)
	}
	s.publish()
}

// readGroups updates how many items the groups of waiting requests lack.
func (s *service) readGroups(now time.Time) {
	if now.Sub(s.groupsReadAt) < groupInterval {
		return
	}
	s.groupsReadAt = now
	for _, w := range s.queue {
		if w.groupLeft != nil {
			w.request.GroupLeft = w.groupLeft()
		}
	}
}

// mustNotRefuse reports whether there is room: under half of the places are taken, and no other
// request waits here.
func (s *service) mustNotRefuse(now time.Time) bool {
	return len(s.queue) <= 1 && s.hasRoom(now)
}
