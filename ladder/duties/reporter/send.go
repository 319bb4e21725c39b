package reporter

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/duties/pacer"
)

// resendDelay is the pause before a report is sent again that got no response.
const resendDelay = 500 * time.Millisecond

// queuedReport is a stored report that may not have arrived.
type queuedReport struct {
	report
	// since is when it was queued, by the boot clock.
	since time.Duration
}

// digest identifies the bytes of a report in logs.
func (r report) digest() string { return strconv.FormatUint(xxhash.Sum64(r.body), 16) }

// enqueue queues a stored report.
func (t *term) enqueue(r report) {
	t.queueMutex.Lock()
	defer t.queueMutex.Unlock()
	position, queued := slices.BinarySearchFunc(t.queue, r.window, func(q queuedReport, w Window) int { return cmp.Compare(q.window, w) })
	if queued {
		return
	}
	t.queue = slices.Insert(t.queue, position, queuedReport{r, t.bootClock.Elapsed()})
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// first returns the queued report of the oldest window.
func (t *term) first() (queuedReport, bool) {
	t.queueMutex.Lock()
	defer t.queueMutex.Unlock()
	if len(t.queue) == 0 {
		return queuedReport{}, false
	}
	return t.queue[0], true
}

func (t *term) dequeue(w Window) {
	t.queueMutex.Lock()
	defer t.queueMutex.Unlock()
	t.queue = slices.DeleteFunc(t.queue, func(q queuedReport) bool { return q.window == w })
}

// send sends the queued reports in the order of their windows.
func (t *term) send(ctx context.Context) {
	for ctx.Err() == nil {
		q, ok := t.first()
		if !ok {
			select {
			case <-t.wake:
			case <-ctx.Done():
			}
			continue
		}
		if t.bootClock.Elapsed()-q.since > maxReportAge {
			klog.InfoS("usage report given up", "window", q.window, "holder", t.options.Holder, "digest", q.digest())
			t.options.Counter.Count("usage-reports-given-up")
			t.dequeue(q.window)
			continue
		}
		if !t.sendOne(ctx, q) {
			t.sleep(ctx, resendDelay)
		}
	}
}

// sendOne sends a report and returns false if it is to be sent again.
func (t *term) sendOne(ctx context.Context, q queuedReport) bool {
	err := t.pacer.Send(ctx, func() error { return t.platform.SendUsage(ctx, q.body, t.authorize) })
	if errors.Is(err, pacer.ErrNotHolder) || ctx.Err() != nil {
		return false
	}
	done := err == nil || errors.Is(err, pacer.ErrRejected)
	klog.InfoS("usage report sent", "window", q.window, "holder", t.options.Holder, "token", t.token, "digest", q.digest(), "again", !done, "err", err)
	t.recordOutcome(q, err)
	if done {
		t.dequeue(q.window)
	}
	return done || errors.Is(err, pacer.ErrTooManyCalls) // the pacer makes the pause
}

func (t *term) recordOutcome(q queuedReport, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last = Outcome{Window: q.window, Digest: q.digest(), Token: t.token, At: t.clock.Now()}
	if err != nil {
		t.last.Error = err.Error()
	}
	switch {
	case err == nil:
		t.options.Counter.Count("usage-reports-sent")
		t.acknowledged[q.window] = true
		for w := range t.acknowledged {
			if w < q.window-Window(retention/t.options.WindowLength) {
				delete(t.acknowledged, w)
			}
		}
	case errors.Is(err, pacer.ErrTooManyCalls):
		t.options.Counter.Count("duty-calls-refused")
	case errors.Is(err, pacer.ErrRejected):
		t.options.Counter.Count("duty-calls-rejected")
	default:
		t.options.Counter.Count("duty-calls-unanswered")
	}
}

func (r *Reporter) isAcknowledged(w Window) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.acknowledged[w]
}
