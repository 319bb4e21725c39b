package simulator

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/queuer"
	"github.com/lycheeladder/lycheeladder/measurer/engine"
)

// Worker is an engine and the queue of its sidecar.
type Worker struct {
	Name   identifier.TargetName
	Zone   identifier.ZoneName
	Engine *engine.Engine

	cluster      *Cluster
	queue        *queuer.Queuer
	attempts     map[attemptKey]*queuedAttempt
	reportedLoad int
	reportedAt   time.Time
}

type attemptKey struct {
	request identifier.RequestID
	attempt identifier.AttemptNumber
}

// queuedAttempt is an attempt that is queued or running at a worker.
type queuedAttempt struct {
	item      queuer.Item
	engineJob *engine.Job
	// running is set once the engine has the job.
	running bool
}

func (w *Worker) currentLoad() int {
	running, waiting, _ := w.queue.Counts()
	return running + waiting
}

// enqueue queues an attempt, or returns an error if the queue is full.
func (w *Worker) enqueue(i queuer.Item, job *engine.Job) error {
	k := attemptKey{i.Request, i.Attempt}
	if err := w.queue.Put(i); err != nil {
		return err
	}
	w.attempts[k] = &queuedAttempt{item: i, engineJob: job}
	onEnd := job.OnEnd
	job.OnEnd = func() {
		w.release(k)
		onEnd()
	}
	w.dispatchQueued()
	return nil
}

// cancel removes an attempt from the queue or the engine.
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

// dispatchQueued moves queued attempts to the engine while slots are free.
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
