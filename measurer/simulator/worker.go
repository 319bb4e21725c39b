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

	system     *Cluster
	queue      *queuer.Queuer
	jobs       map[jobKey]*job
	reported   int
	reportedAt time.Time
}

type jobKey struct {
	request identifier.RequestID
	attempt identifier.AttemptNumber
}

// job is one attempt at a worker.
type job struct {
	item queuer.Item
	work *engine.Job
	// running is set once the work has its slot.
	running bool
}

func (w *Worker) load() int {
	running, waiting, _ := w.queue.Counts()
	return running + waiting
}

// start queues an attempt, or says that the queue is full and for how long.
func (w *Worker) start(i queuer.Item, work *engine.Job) error {
	k := jobKey{i.Request, i.Attempt}
	if err := w.queue.Put(i); err != nil {
		return err
	}
	w.jobs[k] = &job{item: i, work: work}
	ended := work.OnEnd
	work.OnEnd = func() {
		w.end(k)
		ended()
	}
	w.pump()
	return nil
}

// cancel gives an attempt up.
func (w *Worker) cancel(request identifier.RequestID, attempt identifier.AttemptNumber) {
	k := jobKey{request, attempt}
	j, ok := w.jobs[k]
	if !ok {
		return
	}
	if j.running {
		w.Engine.Remove(j.work)
		w.end(k)
		return
	}
	w.queue.Remove(request, attempt)
	delete(w.jobs, k)
}

func (w *Worker) end(k jobKey) {
	w.queue.Done(w.jobs[k].item)
	delete(w.jobs, k)
	w.pump()
}

// pump hands waiting work to the engine while there are slots.
func (w *Worker) pump() {
	for {
		i, ok := w.queue.TryTake()
		if !ok {
			return
		}
		j := w.jobs[jobKey{i.Request, i.Attempt}]
		j.running = true
		j.work.Priority = i.Priority
		w.Engine.Add(j.work)
	}
}
