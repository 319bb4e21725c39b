package scheduler

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

const (
	// defaultStallTimeout is how long a target may be silent before the item moves to
	// another one, while the usual gap between events is unknown.
	defaultStallTimeout = 700 * time.Millisecond
	// minStallTimeout and stallGapFactor define the same limit where the usual gap is
	// known. It is above the 2.5 times that a busy neighbour makes of the gap, and
	// below the 0.9 s that loading weights takes.
	minStallTimeout, stallGapFactor = 200 * time.Millisecond, 5
	// An event counts as slow from slowGapFactor times the usual gap. After
	// slowEventCount slow events in a row the item looks for another target.
	slowGapFactor, slowEventCount = 1.6, 2
	// minEventsBeforeMove is how many events an item must have before it is moved for
	// speed. Most items of that length have as many events still to come, and a move
	// costs about one or two events and a connection.
	minEventsBeforeMove = 16
	// minBackoff and maxBackoff bound the delay after an attempt that made no
	// progress; it doubles each time.
	minBackoff, maxBackoff = 20 * time.Millisecond, time.Second
	// Every moveCheckInterval events the item looks for a target that is faster by at
	// least minMoveSpeedup, the least gain on the remaining events that is worth a
	// move.
	moveCheckInterval, minMoveSpeedup = 8, 1.2
	// saveInterval is how many events lie between two saves of a partial text. Most
	// items have fewer events in total, and one event is about 60 ms of engine time.
	saveInterval = 12
	// returnDelay is how long an item does not return to a target that it left: about
	// the time of loading weights.
	returnDelay = time.Second
	// maxMoves bounds how often one item is moved for speed.
	maxMoves = 16
	// firstEventTimeout replaces the stall timeout before the first event, as a full
	// engine makes the item wait for a slot.
	firstEventTimeout = 1500 * time.Millisecond
	// scorerTimeout bounds one call of a scorer; the users' scorers are expected to
	// answer within 400 ms. It doubles each time that a call takes longer, up to
	// maxScorerTimeout.
	scorerTimeout, maxScorerTimeout = 2 * time.Second, 16 * time.Second
	// scorerRetryDelay is the delay before calling a scorer again after a failure. While
	// no scorer takes the call, it doubles after each pause, up to maxScorerRetryDelay.
	scorerRetryDelay, maxScorerRetryDelay = 50 * time.Millisecond, 400 * time.Millisecond
)

type taskKey struct {
	job  identifier.JobID
	item identifier.ItemID
}

// placement is what decides on which targets an item may run.
type placement struct {
	job   *job
	item  identifier.ItemID
	route cataloger.Route
	// lastEvent is the last event of the text; 0 means that there is none.
	lastEvent identifier.EventNumber
	// versions are the weight versions that generated the text, in ascending order.
	versions []identifier.WeightVersion
	// software is the version of the software that generated the text. Only targets of
	// the same version may continue it.
	software identifier.SoftwareVersion
	// unlisted is the start that generated the text while it is not listed, so that its version is
	// unknown; zero otherwise.
	unlisted cataloger.Incarnation
	// leftTarget is the target that the item left last, and leftUntil when it may
	// return there, as it may be the only one that serves the required weights.
	leftTarget identifier.TargetName
	leftUntil  time.Time
}

// clonePlacement returns a copy that doesn't change with the text.
func (p placement) clonePlacement() placement {
	p.versions = slices.Clone(p.versions)
	return p
}

// task is one item of a job that does not have a result yet.
type task struct {
	placement
	scheduler *Scheduler
	key       taskKey
	item      *jobstorer.Item
	// position is the index of the item in its job.
	position     int
	lengthBounds lengthBounds

	// wanted becomes false for good when the item has a result or belongs to another
	// owner. It is guarded by the scheduler's mutex, as are running, textComplete,
	// resultAdded and cancel.
	wanted bool
	// running is set while the item is run or scored.
	running bool
	// textComplete is set when the text is complete, whether generated for this job
	// or an earlier one.
	textComplete bool
	// resultAdded is set when a result has been passed to the job storer.
	resultAdded bool
	cancel      context.CancelFunc
	// waitingSince is when the item began to wait for a target.
	waitingSince time.Time
	// notBefore is when the item may be placed again; backoff grows while attempts
	// make no progress.
	notBefore time.Time
	backoff   time.Duration

	// The fields below and placement belong to run, and to the scheduler while the task is
	// not running.

	// text holds the data of the events up to lastEvent, textBytes its size.
	text      [][]byte
	textBytes int
	// savedEvent is the last event of the text passed to the job storer.
	savedEvent identifier.EventNumber
	// failures counts the error responses of targets.
	failures int
	// failed is set once the item has failed for good.
	failed bool
	// moves counts how often the item was moved for speed.
	moves int
}

// abandon marks the item as unwanted and cancels its run. The caller must hold the
// scheduler's mutex.
func (t *task) abandon() {
	t.wanted = false
	if t.cancel != nil {
		t.cancel()
	}
}

// begin marks the item as running and returns a context that abandon cancels. The
// caller must hold the scheduler's mutex.
func (t *task) begin(ctx context.Context, route cataloger.Route) context.Context {
	runCtx, cancel := context.WithCancel(ctx)
	t.running, t.cancel, t.route = true, cancel, route
	return runCtx
}

// run generates as much of the text as one target delivers, and scores the text when
// it is complete.
func (t *task) run(ctx context.Context, target cataloger.Target) {
	s := t.scheduler
	startEvent := t.lastEvent
	done, err := t.generate(ctx, target)
	s.Wake()
	var failure *statusError
	if errors.As(err, &failure) {
		done = t.countFailure(ctx, failure.status)
	}
	switch {
	case ctx.Err() != nil:
	case done:
		s.mutex.Lock()
		t.textComplete = true
		s.mutex.Unlock()
		t.score(ctx)
	case err != nil:
		klog.InfoS("item goes on elsewhere", "job", t.key.job, "item", t.key.item, "target", target.Name, "after", t.lastEvent, "cause", err)
	}
	t.finish(err, startEvent)
}

// catchPanic runs work on an item. After a panic the text may be inconsistent, so it
// is discarded, and the item waits as after an attempt without progress.
func (t *task) catchPanic(work func()) {
	err := recoverer.CatchPanic("work on an item", work)
	if err == nil {
		return
	}
	s := t.scheduler
	s.mutex.Lock()
	t.textComplete = false
	s.mutex.Unlock()
	t.discardText()
	t.finish(err, 0)
}

// discardText makes the item start over.
func (t *task) discardText() {
	t.text, t.textBytes, t.lastEvent, t.versions, t.software, t.unlisted = nil, 0, 0, nil, "", cataloger.Incarnation{}
	if t.savedEvent > 0 {
		t.savedEvent = 0
		t.scheduler.jobs.SaveProgress(t.key.job, jobstorer.Progress{Item: t.key.item})
	}
}

// saveText saves a long partial text every saveInterval events, for the next owner if
// this process is lost.
func (t *task) saveText() {
	if t.lastEvent < t.savedEvent+saveInterval {
		return
	}
	t.savedEvent = t.lastEvent
	t.scheduler.jobs.SaveProgress(t.key.job, jobstorer.Progress{
		Item: t.key.item, LastEvent: t.lastEvent, Text: bytes.Join(t.text, []byte("\n")), Versions: slices.Clone(t.versions),
		Software: t.software, UnlistedTarget: t.unlisted.Name, UnlistedStartID: t.unlisted.StartID,
	})
}

// finish ends a run that started after startEvent and returned err.
func (t *task) finish(err error, startEvent identifier.EventNumber) {
	s := t.scheduler
	s.mutex.Lock()
	t.running, t.waitingSince = false, s.clock.Now()
	t.updateBackoff(err != nil && !errors.Is(err, sender.ErrLimited) && t.lastEvent <= startEvent)
	t.cancel()
	s.mutex.Unlock()
	s.Wake()
}

// updateBackoff delays the next attempt if the last one made no progress. The caller
// must hold the scheduler's mutex.
func (t *task) updateBackoff(noProgress bool) {
	if !noProgress {
		t.backoff = 0
		return
	}
	t.backoff = min(max(minBackoff, 2*t.backoff), maxBackoff)
	t.notBefore = t.waitingSince.Add(t.backoff)
}
