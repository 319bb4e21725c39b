package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// samplesPerStep is the size of a training step that the users' first letter names.
	samplesPerStep = 2048
	// contactTime is contact_ms of the small sites.
	contactTime = 3 * time.Second
	// downTime is how long a killed host is away.
	downTime = time.Second
)

// partialWrites counts the batch jobs of which the store has the first part of a submission of one
// host, but not the last.
type partialWrites struct {
	mutex sync.Mutex
	host  string
	jobs  map[string]bool
}

// begin starts counting anew, for another host.
func (p *partialWrites) begin(host string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.host, p.jobs = host, make(map[string]bool)
}

// note records an append.
func (p *partialWrites) note(c storeCall, records []record) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	parts := strings.Split(records[0].key, "/")
	if c.host != p.host || parts[0] != "piece" {
		return
	}
	if strings.HasPrefix(records[len(records)-1].key, "job/") {
		delete(p.jobs, parts[1])
		return
	}
	p.jobs[parts[1]] = true
}

func (p *partialWrites) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.jobs)
}

// stepJob returns the body of a batch job of samplesPerStep items.
func stepJob(number int, job string) []byte {
	list := itemsOf(job, samplesPerStep)
	for n := range list {
		list[n].prefix, list[n].bodyBytes = promptPrefix(n), promptSizes[number%len(promptSizes)]
	}
	return jobBody(number, model, "/pule252/", "/pufi791/", list)
}

// playKilledResend hands in batch jobs of a whole training step at one host. Other clients hand them
// in again at the other host, which is killed while it writes them, and starts again.
func playKilledResend(w *world, trouble bool) (violations []string, err error) {
	const rounds, jobsPerRound, partial = 2, 6, 3
	var writes partialWrites
	w.store.onAppend = func(c storeCall, records []record) {
		if strings.HasPrefix(records[0].key, "piece/") {
			w.log("the store appends %d records of host %s, %s to %s, %d bytes", len(records), c.host, records[0].key, records[len(records)-1].key, len(c.body))
			writes.note(c, records)
		}
	}
	workers, err := w.addWorkers(4, 3, "v1")
	if err != nil {
		return nil, err
	}
	for _, each := range workers {
		each.setLength(20, 100*time.Millisecond)
	}
	w.publish(1, plainRoute("r-score", "/pufi791/", 2, plainTimeout)+","+rolloutRoute("r-first", "/pule252/"), services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	var accepted []string
	for round := range rounds {
		first, second := w.hosts[round%2], w.hosts[(round+1)%2]
		bodies := make(map[string][]byte)
		for n := range jobsPerRound {
			number := round*jobsPerRound + n
			job := fmt.Sprintf("7c41e09b52d6a3%02x", number)
			if body := stepJob(number, job); w.submit(first, job, body, "/pule252/") {
				bodies[job] = body
				accepted = append(accepted, job)
			}
		}
		writes.begin(second.name)
		var tasks sync.WaitGroup
		for job, body := range bodies {
			tasks.Go(func() { w.resend(second, job, body, "/pule252/", 5*time.Second) })
		}
		if trouble {
			for end := time.Now().Add(5 * time.Second); writes.count() < partial && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			second.kill()
			time.Sleep(downTime)
			if err := second.run(); err != nil {
				return nil, err
			}
			if err := second.waitUntilReady(); err != nil {
				return nil, err
			}
		}
		tasks.Wait()
		time.Sleep(contactTime + time.Second)
	}
	if len(accepted) == 0 {
		return nil, fmt.Errorf("%w: no batch job is accepted", errCannotRun)
	}
	for _, job := range accepted {
		if w.isGone(job) {
			violations = append(violations, fmt.Sprintf("LOST: batch job %s was accepted, both hosts answer 404 for it", job))
		}
	}
	return violations, nil
}

// isGone reports whether both hosts answer 404 for a batch job, three times.
func (w *world) isGone(job string) bool {
	for range 3 {
		for _, h := range w.hosts {
			status, p := w.readResults(h, job, 0)
			w.log("client reads batch job %s at %s: %d, %d items", job, h.name, status, p.Total)
			if status != http.StatusNotFound {
				return false
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return true
}
