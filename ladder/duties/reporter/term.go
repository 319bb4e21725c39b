package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/replicator"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

const (
	// watchInterval is the interval at which the work of a term is ended if the lease
	// has lapsed. Nothing depends on it, as the token is checked before each call.
	watchInterval = 100 * time.Millisecond
	// storeTimeout bounds one attempt to store reports, and storeRetryDelay is the pause
	// before the next one.
	storeTimeout, storeRetryDelay = 2 * time.Second, 100 * time.Millisecond
	// knownInterval is the interval at which the first complete copy is awaited.
	knownInterval = 20 * time.Millisecond
	// offsetMargin covers the change of the measured true time between two windows, so that a
	// window needs one collection only.
	offsetMargin = 250 * time.Millisecond
)

// report is the report of one window.
type report struct {
	window Window
	body   []byte
}

// term is the time for which this process holds the lease under one token.
type term struct {
	*Reporter
	token      identifier.FencingToken
	replicator *replicator.Replicator
	stored     storedReports

	// The fields below are used by build only.

	// clocks is the number of clocks that offset was measured with, 0 until then, and measuredAt
	// is when, by the boot clock.
	clocks     int
	measuredAt time.Duration
	// offset is true time less this host's boot clock.
	offset time.Duration
	// next is the first window that may still have to be stored.
	next Window
	// counted has the starts that are part of a report, by their moment.
	counted map[startKey]time.Duration

	queueMutex sync.Mutex
	// queue has the reports to send in the order of their windows, wake is sent to when it
	// grows.
	queue []queuedReport
	wake  chan struct{}
}

func newTerm(r *Reporter, token identifier.FencingToken) *term {
	t := &term{Reporter: r, token: token, counted: make(map[startKey]time.Duration), wake: make(chan struct{}, 1)}
	t.replicator = replicator.New(r.clock, r.log, r.options.Partition, &t.stored, func() {})
	return t
}

// authorize returns the term's token if it may be used at this moment.
func (t *term) authorize() (identifier.FencingToken, bool) {
	token, ok := t.lease.Token()
	return token, ok && token == t.token
}

// run works until the lease lapses.
func (t *term) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	for task, f := range map[string]func(context.Context){
		"stored usage reports": t.replicator.Run, "building of usage reports": t.build, "sending of usage reports": t.send,
	} {
		tasks.Go(func() { recoverer.RestartOnPanic(ctx, t.clock, task, f) })
	}
	for ctx.Err() == nil {
		if _, ok := t.authorize(); !ok {
			return
		}
		t.sleep(ctx, watchInterval)
	}
}

// build stores the reports of all windows that are over.
func (t *term) build(ctx context.Context) {
	for !t.replicator.Known() {
		if !t.sleep(ctx, knownInterval) {
			return
		}
	}
	if t.clocks == 0 {
		t.takeOver(ctx)
	}
	for ctx.Err() == nil {
		if wait := t.untilDue(); wait > 0 {
			t.sleep(ctx, wait)
			continue
		}
		t.buildDue(ctx)
	}
}

// takeOver finds out the true time, and queues the stored reports that may not have arrived.
func (t *term) takeOver(ctx context.Context) {
	t.sleep(ctx, t.startedAt+listTime-t.bootClock.Elapsed())
	var c collection
	for try := 1; ; try++ {
		now := t.bootClock.Elapsed()
		c = t.collect(ctx, now, now, 1)
		if c.hasQuorum() || try == maxTries || !t.sleep(ctx, memberTimeout) {
			break
		}
	}
	t.setOffset(c)
	windows := t.stored.windows()
	klog.InfoS("usage reports taken over", "holder", t.options.Holder, "token", t.token, "stored", len(windows), "members", c.members, "silent", c.silent)
	for _, w := range windows {
		t.next = max(t.next, w+1)
		t.enqueueStored(w)
	}
}

// setOffset updates the offset to true time if the clocks of enough members are known.
func (t *term) setOffset(c collection) {
	now := t.bootClock.Elapsed()
	recent := now-t.measuredAt <= maxOffsetAge
	if t.clocks > 0 && (!c.hasQuorum() || recent && len(c.offsets) < t.clocks) {
		return
	}
	t.offset, t.clocks, t.measuredAt = median(c.offsets), len(c.offsets), now
}

// enqueueStored queues a stored report that may not have arrived.
func (t *term) enqueueStored(w Window) {
	age := t.bootClock.Elapsed() - t.bootTimeOf(w+1)
	if age < takeoverAge+t.options.Lateness && !t.isAcknowledged(w) {
		t.enqueue(report{w, t.stored.get(w)})
	}
}

// bootTimeOf returns when a window begins by this host's boot clock.
func (t *term) bootTimeOf(w Window) time.Duration { return w.begin(t.options.WindowLength) - t.offset }

// windowOf returns the window of a moment of this host's boot clock.
func (t *term) windowOf(at time.Duration) Window {
	return windowAt(at+t.offset, t.options.WindowLength)
}

// untilDue returns how long to wait until the next window may be collected.
func (t *term) untilDue() time.Duration {
	now := t.bootClock.Elapsed()
	t.next = max(t.next, t.windowOf(now-t.maxWindowAge())+1)
	return t.bootTimeOf(t.next+1) + collectDelay - now
}

// buildDue collects and stores the reports of the windows that are over.
func (t *term) buildDue(ctx context.Context) {
	until := t.bootClock.Elapsed() - collectDelay + offsetMargin
	c := t.collect(ctx, t.bootTimeOf(t.next)-offsetMargin, until, maxTries)
	if ctx.Err() != nil {
		return
	}
	t.setOffset(c)
	due := t.windowOf(until)
	counts := t.count(c, t.next, due)
	var reports []report
	var unknown []Window
	for w := t.next; w < due; w++ {
		switch body, known := t.reportOf(w, counts[w], c); {
		case !known:
			unknown = append(unknown, w)
		case body != nil:
			reports = append(reports, report{w, body})
		}
	}
	if len(unknown) > 0 {
		klog.InfoS("usage windows that no member knows, not reported", "first", unknown[0], "count", len(unknown), "members", c.members, "silent", c.silent)
	}
	if due > t.next && t.store(ctx, reports) {
		t.recordCounted(c, t.next, due)
		t.next = due
	}
}

// count returns the counts of the windows from first to due, exclusive. A start that is part of
// an earlier report is left out.
func (t *term) count(c collection, first, due Window) map[Window]Counts {
	counts := make(map[Window]Counts)
	for k, s := range c.starts {
		w := t.windowOf(s.at)
		if _, counted := t.counted[k]; counted || w < first || w >= due {
			continue
		}
		if counts[w] == nil {
			counts[w] = make(Counts)
		}
		counts[w][s.account]++
	}
	return counts
}

// recordCounted records that the starts of windows are part of reports.
func (t *term) recordCounted(c collection, first, due Window) {
	for k, s := range c.starts {
		if w := t.windowOf(s.at); w >= first && w < due {
			t.counted[k] = s.at
		}
	}
	for k, at := range t.counted {
		if at < t.bootClock.Elapsed()-2*t.maxWindowAge() {
			delete(t.counted, k)
		}
	}
}

// reportOf returns the bytes of the report of a window, none if it is stored already, and false
// if no member knows anything of the window.
func (t *term) reportOf(w Window, counts Counts, c collection) (body []byte, known bool) {
	if t.stored.get(w) != nil {
		t.enqueueStored(w)
		return nil, true
	}
	begin, end := t.bootTimeOf(w), t.bootTimeOf(w+1)
	known = len(counts) > 0 || begin >= c.oldestMember
	// Of the time before a deployment's first host started, the window in which it did is reported.
	first := c.oldestMember < end && t.newestStored() < t.windowOf(t.bootClock.Elapsed()-t.maxWindowAge())
	if !known && !first {
		return nil, false
	}
	body, err := t.platform.EncodeUsage(w, counts)
	if err != nil {
		klog.ErrorS(err, "usage report can't be encoded", "window", w)
	}
	return body, true
}

// newestStored returns the newest window with a stored report, or 0.
func (t *term) newestStored() Window {
	windows := t.stored.windows()
	if len(windows) == 0 {
		return 0
	}
	return windows[len(windows)-1]
}

// store appends the reports to the store and queues them. It returns false if the term ends
// before all of them are stored.
func (t *term) store(ctx context.Context, reports []report) bool {
	for {
		err := t.append(ctx, reports)
		if ctx.Err() != nil {
			return false
		}
		if err == nil {
			break
		}
		klog.InfoS("usage reports not stored", "count", len(reports), "err", err)
		if !t.sleep(ctx, storeRetryDelay) {
			return false
		}
	}
	for _, r := range reports {
		stored := report{r.window, t.stored.get(r.window)}
		if stored.body == nil {
			return false
		}
		klog.InfoS("usage report stored", "window", r.window, "holder", t.options.Holder, "token", t.token, "digest", stored.digest(),
			"late", t.bootClock.Elapsed()-t.bootTimeOf(r.window+1))
		t.options.Counter.Count("usage-reports-stored")
		t.enqueue(stored)
	}
	return true
}

func (t *term) append(ctx context.Context, reports []report) error {
	if len(reports) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	held := true
	err := t.replicator.Append(ctx, func() []storer.Record {
		if _, held = t.authorize(); !held {
			return nil
		}
		return t.stored.recordsFor(reports, reports[0].window-Window(retention/t.options.WindowLength))
	})
	if err == nil && !held {
		return errors.New("the lease has lapsed")
	}
	return err
}
