package simulator

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
	"github.com/lycheeladder/lycheeladder/measurer/engine"
)

// Worker is a sidecar's queue before its engine.
type Worker struct {
	Name   identifier.TargetName
	Zone   identifier.ZoneName
	Engine *engine.Engine

	cluster     *Cluster
	queue      *queuer.Queuer
	attempts       map[attemptKey]*queuedAttempt
	reportedLoad   int
	reportedAt time.Time
}

type attemptKey struct {
	request identifier.RequestID
	attempt identifier.AttemptNumber
}

// queuedAttempt is one attempt at a worker.
type queuedAttempt struct {
	item queuer.Item
	engineJob *engine.Job
	// running is set once the work has its slot.
	running bool
}

func (w *Worker) currentLoad() int {
	running, waiting, _ := w.queue.Counts()
	return running + waiting
}

// enqueue queues an attempt, or says that the queue is full and for how long.
func (w *Worker) enqueue(i queuer.Item, work *engine.Job) error {
	k := attemptKey{i.Request, i.Attempt}
	if err := w.queue.Put(i); err != nil {
		return err
	}
	w.attempts[k] = &queuedAttempt{item: i, engineJob: work}
	ended := work.OnEnd
	work.OnEnd = func() {
		w.release(k)
		ended()
	}
	w.dispatchQueued()
	return nil
}

// cancel gives an attempt up.
func (w *Worker) cancel(request identifier.RequestID, attempt identifier.AttemptNumber) {
	k := attemptKey{request, attempt}
	j, ok := w.attempts[k]
	if !ok {
		return
	}
	if j.running {
		w.Engine.Remove(j.engineJob)
		w.release(k)
		return
	}
	w.queue.Remove(request, attempt)
	delete(w.attempts, k)
}

func (w *Worker) release(k attemptKey) {
	w.queue.Done(w.attempts[k].item)
	delete(w.attempts, k)
	w.dispatchQueued()
}

// dispatchQueued hands waiting work to the engine while there are slots.
func (w *Worker) dispatchQueued() {
	for {
		i, ok := w.queue.TryTake()
		if !ok {
			return
		}
		j := w.attempts[attemptKey{i.Request, i.Attempt}]
		j.running = true
		j.engineJob.Priority = i.Priority
		w.Engine.Add(j.engineJob)
	}
}
