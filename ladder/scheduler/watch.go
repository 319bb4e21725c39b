package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// An engine with more requests than slots lets some wait, and puts some that run aside
// for more urgent ones, so that an item may be silent at an engine in good order.
// Steps of several trainers come at the same moment, and then the other engines are as
// full. An item that leaves loses its place, has its prompt read once more, and makes
// the engine suspect. So it stays while the engine goes on with others of this process
// and no other target is known to have room.

const (
	// waitLimit bounds the silence of an item at an engine that goes on with others.
	waitLimit = 3 * time.Second
	// waitCheck is between two looks at whether it should stay.
	waitCheck = 100 * time.Millisecond
)

// watch ends a call to a target that is silent for too long.
type watch struct {
	task   *task
	target cataloger.Target
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	timer clockwork.Timer
	// since is when the last piece came or, before the first, when the call began.
	since time.Time
	// stopped says that the call is over and timer isn't set any more.
	stopped bool
}

// startWatch watches a call that begins now.
func (t *task) startWatch(target cataloger.Target, cancel context.CancelCauseFunc) *watch {
	clock := t.scheduler.clock
	w := &watch{task: t, target: target, cancel: cancel, since: clock.Now()}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = clock.AfterFunc(firstTimeout, func() {
		if failed := recoverer.CatchPanic("watch over an item", w.check); failed != nil {
			w.cancel(failed)
		}
	})
	return w
}

// heard notes a piece; the next one may take limit.
func (w *watch) heard(limit time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = w.task.scheduler.clock.Now()
	w.timer.Reset(limit)
}

func (w *watch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check ends the call, or has another look later.
func (w *watch) check() {
	s := w.task.scheduler
	w.mutex.Lock()
	silence := s.clock.Since(w.since)
	w.mutex.Unlock()
	if silence >= waitLimit || !s.router.ReceivedWithin(w.target.Name, stallAfter(s.router.MeanChunkInterval(w.target.Service))) || s.roomElsewhere(w.task, w.target) {
		w.cancel(sender.ErrStalled)
		return
	}
	klog.V(1).InfoS("item waits at a full engine", "job", w.task.key.job, "item", w.task.key.item, "target", w.target.Name, "for", silence)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped && s.clock.Since(w.since) >= silence { // no piece has come meanwhile
		w.timer.Reset(waitCheck)
	}
}

// roomElsewhere says whether another target that may run the task is known to have
// room.
func (s *Scheduler) roomElsewhere(t *task, here cataloger.Target) bool {
	c := s.catalog.Configuration()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.ContainsFunc(s.candidates(t, t.route, c), func(candidate router.Candidate) bool {
		return candidate.Target != here.Name && s.router.HasFreeSlot(candidate)
	})
}
