package main

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// shortTimeout is the timeout_ms to which the bench's config_change "timeout" lowers a route's.
	shortTimeout = 400
	// meanWork, workSpread, slowShare, slowFactor and maxWork are the work of reward calls on the
	// small sites.
	meanWork, maxWork     = 80 * time.Millisecond, 600 * time.Millisecond
	workSpread            = 0.5
	slowShare, slowFactor = 0.01, 5
)

// siteWork returns the work of a reward call, the same at each attempt.
func siteWork(id string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	work := float64(meanWork) * math.Exp(workSpread*random.NormFloat64()-workSpread*workSpread/2)
	if random.Float64() < slowShare {
		work *= slowFactor
	}
	return min(time.Duration(work), maxWork)
}

// playShortTimeout lowers the time-out of the route of the reward calls, while batch jobs come one
// after the other.
func playShortTimeout(w *world, trouble bool) (violations []string, err error) {
	const jobs, itemsPerJob, interval, engines = 20, 80, 2 * time.Second, 4
	workers, err := w.addWorkers(engines, 3, "v1")
	if err != nil {
		return nil, err
	}
	for _, each := range workers[engines:] {
		each.work = siteWork
	}
	rollout := rolloutRoute("r-first", "/pule252/")
	w.publish(1, plainRoute("r-score", "/pufi791/", 4, plainTimeout)+","+rollout, services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	if trouble {
		w.publish(2, plainRoute("r-score", "/pufi791/", 4, shortTimeout)+","+rollout, services)
		time.Sleep(contactTime)
	}
	var mutex sync.Mutex
	var tasks sync.WaitGroup
	accepted, listed := 0, 0
	for n := range jobs {
		job := fmt.Sprintf("step%d", n)
		items := itemsOf(job, itemsPerJob)
		h := w.hosts[n%2]
		if !w.submit(h, job, jobBody(n, model, "/pule252/", "/pufi791/", items), "/pule252/") {
			return nil, fmt.Errorf("%w: a batch job isn't accepted", errCannotRun)
		}
		accepted += len(items)
		tasks.Go(func() {
			list := w.collect(h, job, len(items), 30*time.Second)
			w.end(h, job)
			mutex.Lock()
			defer mutex.Unlock()
			listed += len(list)
			for _, r := range list {
				scorer := items[slices.IndexFunc(items, func(i item) bool { return i.id == r.ID })].scorer
				failed := w.answersTo(scorer, http.StatusInternalServerError)
				if r.State == "errored" && failed == 0 {
					violations = append(violations, fmt.Sprintf("MIXED: item %s of an open batch job is errored; no worker failed it, its reward call (work %v) got %d answers of 500 and %d of 504",
						r.ID, siteWork(scorer), failed, w.answersTo(scorer, http.StatusGatewayTimeout)))
				}
			}
		})
		time.Sleep(interval)
	}
	tasks.Wait()
	w.log("%d items were accepted, %d listed", accepted, listed)
	if listed < accepted*9/10 {
		return violations, fmt.Errorf("%w: only %d of %d items are listed", errCannotRun, listed, accepted)
	}
	return violations, nil
}
