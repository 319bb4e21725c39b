// Package reporter counts and logs the actions of memory limits.
package reporter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
)

// Limit is a limit that acts on a caller.
type Limit string

// The limits. Each is counted as the metric "limit-" and its name.
const (
	// LimitMemory refuses a request for which the memory account has no room.
	LimitMemory Limit = "memory"
	// LimitProgress ends a request body that makes no progress.
	LimitProgress Limit = "progress"
	// LimitConnections closes a connection because there are too many.
	LimitConnections Limit = "connections"
	// LimitHeadTime closes a connection whose head takes too long.
	LimitHeadTime Limit = "head-time"
	// LimitHeadBytes refuses a head that is too large.
	LimitHeadBytes Limit = "head-bytes"
	// LimitBodyBytes refuses a body that is too large.
	LimitBodyBytes Limit = "body-bytes"
	// LimitUnreadResponse closes a connection whose caller reads nothing.
	LimitUnreadResponse Limit = "unread-response"
)

// logInterval is the least time between two log lines about the same limit.
const logInterval = 10 * time.Second

// Counter counts events; *recorder.Recorder implements it.
type Counter interface {
	Count(name string)
}

// Reporter counts and logs the actions of limits.
type Reporter struct {
	clock    clockwork.Clock
	counter  Counter
	budgeter *budgeter.Budgeter

	mutex sync.Mutex
	// actions has the actions of each limit since its last log line.
	actions map[Limit]*actions
}

type actions struct {
	count    int
	loggedAt time.Time
}

// New returns a Reporter.
func New(clock clockwork.Clock, c Counter, b *budgeter.Budgeter) *Reporter {
	return &Reporter{clock: clock, counter: c, budgeter: b, actions: make(map[Limit]*actions)}
}

// Report records that a limit has acted. It logs at most one line per limit in
// logInterval.
func (r *Reporter) Report(l Limit) {
	if r == nil {
		return
	}
	r.counter.Count("limit-" + string(l))
	r.mutex.Lock()
	a, ok := r.actions[l]
	if !ok {
		a = &actions{}
		r.actions[l] = a
	}
	a.count++
	now := r.clock.Now()
	if ok && now.Sub(a.loggedAt) < logInterval {
		r.mutex.Unlock()
		return
	}
	count := a.count
	a.count, a.loggedAt = 0, now
	r.mutex.Unlock()
	s := r.budgeter.Status()
	klog.InfoS("limit acted on callers", "limit", l, "count", count, "held", s.Held, "budget", s.Total)
}
