// Package throttler keeps the requests of all hosts to a target within the limit that
// the target names.
package throttler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Throttler sends requests and follows the limits that targets name in their
// responses. It implements sender.Sender.
type Throttler struct {
	sender.Sender
	clock clockwork.Clock

	mutex   sync.Mutex
	targets map[incarnation]*target
}

// incarnation identifies one start of a target: a restarted target has named no limit.
type incarnation struct {
	name    identifier.TargetName
	startID int64
}

func incarnationOf(t cataloger.Target) incarnation { return incarnation{t.Name, t.StartID} }

// target is what is known of one target that has named a limit.
type target struct {
	limit sender.RequestLimit
	// heardAt is when limit was heard.
	heardAt time.Time
	// sent has the times of the requests that were sent within the last reportInterval.
	sent []time.Time
	// reportedAt is when sent was last logged.
	reportedAt time.Time
}

// reportInterval is the interval at which the number of requests sent to a limited
// target is logged, and the period for which they are counted.
const reportInterval = 4 * time.Second

// New returns a Throttler that knows no limits.
func New(clock clockwork.Clock, s sender.Sender) *Throttler {
	return &Throttler{Sender: s, clock: clock, targets: make(map[incarnation]*target)}
}

// Send implements sender.Sender.
func (t *Throttler) Send(ctx context.Context, to cataloger.Target, c sender.Call) (*sender.Response, error) {
	sentAt := t.clock.Now()
	t.countSent(to, sentAt)
	r, err := t.Sender.Send(ctx, to, c)
	if err == nil && r.RequestLimit != nil {
		t.learn(to, *r.RequestLimit, sentAt)
	}
	return r, err
}

func (t *Throttler) countSent(to cataloger.Target, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.targets[incarnationOf(to)]
	if !ok || !known.limit.Limited {
		return
	}
	for len(known.sent) > 0 && now.Sub(known.sent[0]) > reportInterval {
		known.sent = known.sent[1:]
	}
	known.sent = append(known.sent, now)
	if now.Sub(known.reportedAt) >= reportInterval {
		known.reportedAt = now
		klog.InfoS("requests sent to a limited target", "target", to.Name, "limit", known.limit.Rate, "count", len(known.sent), "within", reportInterval)
	}
}

// learn records what a response to a request sent at sentAt says about the target's
// limit. A response without a limit withdraws only a limit that was heard before the
// request was sent, since responses may overtake each other.
func (t *Throttler) learn(to cataloger.Target, limit sender.RequestLimit, sentAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.clock.Now()
	known, ok := t.targets[incarnationOf(to)]
	switch {
	case !ok && !limit.Limited:
		return
	case !ok:
		known = &target{reportedAt: now}
		t.targets[incarnationOf(to)] = known
	case !limit.Limited && !sentAt.After(known.heardAt):
		return
	}
	switch {
	case limit.Limited && !known.limit.Limited:
		klog.InfoS("request limit named", "target", to.Name, "limit", limit.Rate)
	case !limit.Limited && known.limit.Limited:
		klog.InfoS("request limit withdrawn", "target", to.Name, "limit", known.limit.Rate)
		known.sent = nil
	}
	known.limit, known.heardAt = limit, now
}
