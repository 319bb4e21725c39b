package scheduler

import (
	"bytes"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

const (
	// stallTimeout is the silence after which an item goes on elsewhere while
	// the usual pace isn't known.
	stallTimeout = 700 * time.Millisecond
	// leastStall and stallGaps bound the same where the pace is known: more
	// than the 2.5 times that a busy neighbour makes of it, less than the 0.9 s
	// of a load of weights.
	leastStall, stallGaps = 200 * time.Millisecond, 5
	// slowGaps is from how many times the usual gap on an event counts as slow,
	// and slowEvents after how many in a row an item looks for another target.
	slowGaps, slowEvents = 1.6, 2
	// moveEvents is how many events an item must have before it is moved. Of
	// items that are so long most have as many again before them; a move costs
	// about as much time as one or two, and a connection.
	moveEvents = 16
	// firstBackoff and longestBackoff bound the pause of an item that has got
	// nowhere in its last attempt; it doubles.
	firstBackoff, longestBackoff = 20 * time.Millisecond, time.Second
	// moveCheckEvents is how many events lie between two looks for a target that
	// is faster by moveGain, which is what a move of the events that are left
	// must at least bring.
	moveCheckEvents, moveGain = 8, 1.2
	// saveEvents is how many events lie between two parts of a text that are
	// kept: most items have fewer, and an event is some 60 ms of an engine's work.
	saveEvents = 12
	// leftPause is how long an item doesn't go back to a target that it has
	// left: about a load of weights.
	leftPause = time.Second
	// moveLimit bounds the moves of one item for the sake of speed.
	moveLimit = 16
	// firstTimeout is the same before the first event, where a full engine
	// lets the item wait for a slot.
	firstTimeout = 1500 * time.Millisecond
	// scoreTimeout bounds one call of a scorer; the users' scorers aim at
	// 400 ms.
	scoreTimeout = 2 * time.Second
	// scorePause is between two calls of a scorer that has failed.
	scorePause = 100 * time.Millisecond
)

type taskKey struct {
	job  identifier.JobID
	item identifier.ItemID
}

// task is one item on its way to a result.
type task struct {
	scheduler *Scheduler
	key       taskKey
	job       *job
	item      *jobstorer.Item
	// order is the item's place in its job.
	order   int
	lengths lengths
	route   cataloger.Route

	// wanted falls once: the item is listed, or is others' work. Guarded, as
	// busy, texted, listed and cancel, by the scheduler's mutex.
	wanted bool
	// busy says that run is under way.
	busy bool
	// texted says that the text is whole, of this job or an earlier one.
	texted bool
	// listed says that a result was handed to the books.
	listed bool
	cancel context.CancelFunc
	// waiting is since when it has waited for a target.
	waiting time.Time
	// notBefore is when it may be placed again; backoff grows while it gets
	// nowhere.
	notBefore time.Time
	backoff   time.Duration

	// What follows belongs to run, and to the scheduler while it isn't busy.

	// text has the data of the events up to last, and textBytes is its size.
	text      [][]byte
	textBytes int
	last      identifier.EventNumber
	// saved is the last event that was handed to the books.
	saved identifier.EventNumber
	// versions are all that made an event of text, in rising order.
	versions []identifier.WeightVersion
	// failures counts the target's answers of failure.
	failures int
	// left is the target that the item has gone away from, and leftUntil when
	// it may go back: it may be the only one with the right weights.
	left      identifier.TargetName
	leftUntil time.Time
	// moves counts the times that it left a slow target.
	moves int
}

// end says that the item isn't wanted any more. The caller holds the
// scheduler's mutex.
func (t *task) end() {
	t.wanted = false
	if t.cancel != nil {
		t.cancel()
	}
}

// begin says that work on the item begins, under a context that end ends. The
// caller holds the scheduler's mutex.
func (t *task) begin(ctx context.Context, route cataloger.Route) context.Context {
	bounded, cancel := context.WithCancel(ctx)
	t.busy, t.cancel, t.route = true, cancel, route
	return bounded
}

// run generates as much of the text as one target gives, and scores it when it
// is whole.
func (t *task) run(ctx context.Context, target cataloger.Target) {
	s := t.scheduler
	before := t.last
	done, err := t.generate(ctx, target)
	s.Wake()
	switch {
	case ctx.Err() != nil:
	case done:
		s.mutex.Lock()
		t.texted = true
		s.mutex.Unlock()
		t.score(ctx)
	case err != nil:
		klog.InfoS("item goes on elsewhere", "job", t.key.job, "item", t.key.item, "target", target.Name, "after", t.last, "cause", err)
	}
	t.rest(err, before)
}

// guard runs work on an item. After an unexpected error the text, which may be
// half changed, is dropped, and the item waits as one that got nowhere.
func (t *task) guard(work func()) {
	err := recoverer.CatchPanic("work on an item", work)
	if err == nil {
		return
	}
	s := t.scheduler
	s.mutex.Lock()
	t.texted = false
	s.mutex.Unlock()
	t.dropText()
	t.rest(err, 0)
}

// dropText makes the item begin anew.
func (t *task) dropText() {
	t.text, t.textBytes, t.last, t.versions = nil, 0, 0, nil
	if t.saved > 0 {
		t.saved = 0
		t.scheduler.books.SaveProgress(t.key.job, jobstorer.Progress{Item: t.key.item})
	}
}

// save keeps a long text now and then for whoever comes after this process.
func (t *task) save() {
	if t.last < t.saved+saveEvents {
		return
	}
	t.saved = t.last
	t.scheduler.books.SaveProgress(t.key.job, jobstorer.Progress{
		Item: t.key.item, LastEvent: t.last, Text: bytes.Join(t.text, []byte("\n")), Versions: slices.Clone(t.versions),
	})
}

// rest ends a run that began after the event before and ended with err.
func (t *task) rest(err error, before identifier.EventNumber) {
	s := t.scheduler
	s.mutex.Lock()
	t.busy, t.waiting = false, s.clock.Now()
	t.backOff(err != nil && t.last <= before)
	t.cancel()
	s.mutex.Unlock()
	s.Wake()
}

// backOff lets an item wait that got nowhere. The caller holds the scheduler's
// mutex.
func (t *task) backOff(nowhere bool) {
	if !nowhere {
		t.backoff = 0
		return
	}
	t.backoff = min(max(firstBackoff, 2*t.backoff), longestBackoff)
	t.notBefore = t.waiting.Add(t.backoff)
}
