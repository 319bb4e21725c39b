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

// An engine with more requests than slots queues some of them, and pauses running
// ones in favour of more urgent ones, so an item may be silent on a healthy engine.
// Steps of several trainers start at the same time, and then the other engines are
// just as full. An item that moves loses its place in the queue, has its prompt
// processed again, and makes the engine look faulty. It therefore stays while the
// engine serves other requests of this process and no other target is known to have a
// free slot.

const (
	// maxSilence bounds the silence of an item on an engine that serves other
	// requests.
	maxSilence = 3 * time.Second
	// stallCheckInterval is the time between checks of whether the item should stay.
	stallCheckInterval = 100 * time.Millisecond
)

// watchdog cancels a call to a target that is silent for too long.
type watchdog struct {
	task   *task
	target cataloger.Target
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	// placement is a copy, as that of the task belongs to the call.
	placement placement
	timer     clockwork.Timer
	// lastHeard is when the last event arrived or, before the first one, when the
	// call began.
	lastHeard time.Time
	// stopped is set when the call is over and timer must not be reset any more.
	stopped bool
}

// startWatchdog watches a call that begins now.
func (t *task) startWatchdog(target cataloger.Target, cancel context.CancelCauseFunc) *watchdog {
	clock := t.scheduler.clock
	w := &watchdog{task: t, target: target, cancel: cancel, placement: t.clonePlacement(), lastHeard: clock.Now()}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = clock.AfterFunc(firstEventTimeout, func() {
		if err := recoverer.CatchPanic("item watchdog", w.check); err != nil {
			w.cancel(err)
		}
	})
	return w
}

// eventReceived restarts the timer after an event was added to the text; the next one may
// take limit. It is called by the task's run.
func (w *watchdog) eventReceived(limit time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.placement.lastEvent == 0 || len(w.placement.versions) != len(w.task.versions) {
		w.placement = w.task.clonePlacement()
	}
	w.lastHeard = w.task.scheduler.clock.Now()
	w.timer.Reset(limit)
}

func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check cancels the call, or schedules the next check.
func (w *watchdog) check() {
	s := w.task.scheduler
	w.mutex.Lock()
	silence, placement := s.clock.Since(w.lastHeard), w.placement
	w.mutex.Unlock()
	if silence >= maxSilence || !s.router.ReceivedWithin(w.target.Name, stallTimeoutFor(s.router.MeanChunkInterval(w.target.Service))) || s.hasRoomElsewhere(w.task, &placement, w.target) {
		w.cancel(sender.ErrStalled)
		return
	}
	klog.V(1).InfoS("item waits at a full engine", "job", w.task.key.job, "item", w.task.key.item, "target", w.target.Name, "for", silence)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped && s.clock.Since(w.lastHeard) >= silence { // no event has arrived meanwhile
		w.timer.Reset(stallCheckInterval)
	}
}

// hasRoomElsewhere reports whether another target where an item may run is known to have a
// free slot.
func (s *Scheduler) hasRoomElsewhere(t *task, p *placement, current cataloger.Target) bool {
	c := s.catalog.Configuration()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	route, ok := c.MatchRoute(t.job.Host, t.item.Path)
	return ok && slices.ContainsFunc(s.candidates(p, route, c, sender.Optional), func(candidate router.Candidate) bool {
		return candidate.Target != current.Name && s.router.HasFreeSlot(candidate)
	})
}
