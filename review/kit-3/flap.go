package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// flapPeriod and flapTime are those of srv_flap in the users' site files; the worker is down for
	// the first half of each period.
	flapPeriod, flapTime = 1600 * time.Millisecond, 7200 * time.Millisecond
	// listingLag is how long after its start a worker is listed: discovery.lag_ms.
	listingLag = 800 * time.Millisecond
	// minTakenUp is the number of streams from which the rule holds.
	minTakenUp = 12
	// flaps is how often the worker begins to go down and up, after a pause of calm each.
	flaps, calm = 5, 6 * time.Second
)

// flappingWorker lets one of nine workers go down and up by turns, and judges whether streams that
// clients take up go on.
func flappingWorker(d *deployment, trouble bool) (broken bool, err error) {
	d.put("keyed.op", "config", fmt.Appendf(nil, `{"version":3,"routes":[
		{"name":"stream","host":%q,"path_prefix":"/e/","route_kind":"streaming","resumable":true,"sticky":true,"timeout_ms":12000,"goal_ms":500,"priority":1,"service":"models","max_attempts":3}],
		"services":[{"name":"models","max_conns":140,"health_path":"/healthz","engine":{"slots":8,"models":[{"name":"m"}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":5000,"idle_timeout_ms":15000}}`, routeHost))
	var engines []*engine
	for n := range 9 {
		e, err := newEngine(d, fmt.Sprint("worker-", n+1), "models", "v1", 8, 30, 80*time.Millisecond)
		if err == nil {
			err = e.start()
		}
		if err != nil {
			return false, err
		}
		defer e.crash()
		e.register()
		engines = append(engines, e)
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	const between, count = 37 * time.Millisecond, 2000
	var tasks sync.WaitGroup
	if trouble {
		tasks.Go(func() {
			for range flaps {
				time.Sleep(calm)
				engines[0].flap()
			}
		})
	}
	streams := make([]stream, count)
	for n := range streams {
		streams[n].id = fmt.Sprintf("s%03d", n)
		tasks.Go(func() { streams[n].play(d, n) })
		time.Sleep(between)
	}
	tasks.Wait()
	var begun, takenUp, wentOn, complete int
	for n := range streams {
		s := &streams[n]
		for _, c := range []struct {
			is    bool
			count *int
		}{{s.begun, &begun}, {s.takenUp, &takenUp}, {s.wentOn, &wentOn}, {s.complete, &complete}} {
			if c.is {
				*c.count++
			}
		}
	}
	d.record.add("streams: %d asked, %d begun, %d taken up by their clients, %d of these went on, %d complete", count, begun, takenUp, wentOn, complete)
	fmt.Printf("streams: %d asked, %d begun, %d taken up by their clients, %d of these went on, %d complete\n", count, begun, takenUp, wentOn, complete)
	if begun < count/2 {
		return false, fmt.Errorf("only %d of %d streams begun", begun, count)
	}
	return takenUp >= minTakenUp && float64(wentOn)/float64(takenUp) < float64(begun)/count/2, nil
}

// flap takes the worker down and up by turns. Each start is listed listingLag after it began, if the
// worker is still up then.
func (e *engine) flap() {
	for end := time.Now().Add(flapTime); time.Now().Before(end); {
		e.crash()
		time.Sleep(flapPeriod / 2)
		if err := e.start(); err != nil {
			e.deployment.record.add("worker %s can't start: %v", e.id, err)
			return
		}
		born := e.born
		time.AfterFunc(listingLag, func() {
			if e.bornAt() == born {
				e.register()
			}
		})
		time.Sleep(flapPeriod / 2)
	}
}

func (e *engine) bornAt() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.born
}
