// Package order compares the requests that wait for room at the targets of a service.
package order

import (
	"cmp"
	"math"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A waiting request ranks by what a delay costs its caller per unit of the targets' work, and by
// how much of its account's share has been used lately. Only the values passed in count, so that
// the order can be checked without a queue.

// Flow is a set of requests that has a share of its own: those of one account, or those that
// batch jobs need.
type Flow struct {
	// Account is empty for anonymous requests and for those of batch jobs.
	Account identifier.AccountName
	Owed    bool
}

// Request is what the order knows of a waiting request.
type Request struct {
	Account identifier.AccountName
	// Owed requests are part of a batch job.
	Owed bool
	// Priority is 0 for the most urgent requests.
	Priority int
	// Arrived is when the request arrived first; requests that come back keep it.
	Arrived time.Time
	// Goal is when a response has its full value for the last time; zero if there is no goal.
	Goal time.Time
	// Deadline is when a response has no value any more or, for owed requests, when the results of
	// the job are due; zero if there is none.
	Deadline time.Time
	// Work is the expected work of a target; never negative.
	Work time.Duration
	// GroupLeft is how many items of the request's group have no result; 0 if unknown.
	GroupLeft int
	// Sequence is different for all requests of a queue and increases with their arrival.
	Sequence uint64
}

// Flow returns the flow of the request.
func (r Request) Flow() Flow {
	if r.Owed {
		return Flow{Owed: true}
	}
	return Flow{Account: r.Account}
}

const (
	// liveHorizon and lateHorizon are the slack at which a delay costs half of the most that it
	// can cost: before the latency goal, 150 ms on the users' routes, and after it.
	liveHorizon, lateHorizon = 150 * time.Millisecond, time.Second
	// jobHorizon is the same for jobs; results are due after 7.5 s on the users' routes.
	jobHorizon = 4 * time.Second
	// defaultDue is when the results of a job without a due time are taken to be due, well after
	// those of other jobs.
	defaultDue = 20 * time.Second
	// lateValue is what a response after the latency goal is worth of one before it.
	lateValue = 0.25
	// maxPriority bounds the effect of the priority. Routes have priorities from 0 to 9.
	maxPriority = 9
	// minWork keeps requests of almost no work from outranking all others.
	minWork = time.Millisecond
)

// Cost returns what a delay of the request costs, per second of work, if a target takes the
// given time to respond. It is above 0, and grows with the time that an owed request is overdue,
// so that each of them is first at some time.
func Cost(now time.Time, r Request, response time.Duration) float64 {
	value := math.Exp2(-float64(min(max(r.Priority, 0), maxPriority)))
	return value * urgency(now, r, response) / max(r.Work, minWork).Seconds()
}

func urgency(now time.Time, r Request, response time.Duration) float64 {
	switch {
	case r.Owed:
		due := r.Deadline
		if due.IsZero() {
			due = r.Arrived.Add(defaultDue)
		}
		return growing(due.Sub(now), jobHorizon) * groupFactor(r.GroupLeft)
	case goalOf(r).IsZero():
		return lateValue
	case MeetsGoal(now, r, response):
		return growing(goalOf(r).Sub(now)-response, liveHorizon)
	case r.Deadline.IsZero():
		return lateValue
	default:
		return lateValue * growing(max(0, r.Deadline.Sub(now)-response), lateHorizon)
	}
}

// growing is 1 at a slack of 0, falls to 1/2 at the horizon, and rises without a bound while the
// slack is negative.
func growing(slack, horizon time.Duration) float64 {
	if slack < 0 {
		return 1 + float64(-slack)/float64(horizon)
	}
	return float64(horizon) / float64(horizon+slack)
}

// groupFactor prefers the last items of a group, since only complete groups are of use.
func groupFactor(left int) float64 {
	if left <= 0 {
		return 1
	}
	return 1 + 1/float64(left)
}

func goalOf(r Request) time.Time {
	if r.Goal.IsZero() {
		return r.Deadline
	}
	return r.Goal
}

// MeetsGoal reports whether a response that takes the given time from now on is in time for the
// request's latency goal, or for its deadline if there is no goal.
func MeetsGoal(now time.Time, r Request, response time.Duration) bool {
	goal := goalOf(r)
	return goal.IsZero() || !now.Add(response).After(goal)
}

const (
	// maxShareRatio bounds the effect of shares to what makes up for three priorities.
	maxShareRatio = 8
	// minShare is the work below which a flow's use is not compared, as a part of all work.
	minShare = 0.01
)

// ShareFactor returns the factor by which a flow's use of its share changes the rank of its
// requests. used is the work done for the flow lately and total that for all flows, of which
// there are count with equal shares. A flow that has used its share exactly has the factor 1.
func ShareFactor(used, total float64, count int) float64 {
	if total <= 0 || count <= 1 {
		return 1
	}
	fair := total / float64(count)
	ratio := fair / max(used, minShare*total)
	ratio = min(max(ratio, 1.0/maxShareRatio), maxShareRatio)
	return ratio * ratio
}

// Ranked is a request with its rank at one moment.
type Ranked struct {
	Request
	// Rank is Cost times ShareFactor.
	Rank float64
}

// Compare is negative if a goes before b. It is a total order on requests with different
// sequences.
func Compare(a, b Ranked) int {
	return cmp.Or(
		cmp.Compare(b.Rank, a.Rank),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}
