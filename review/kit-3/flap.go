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

// streamPlay is a deployment with nine workers of one service, and clients that ask for streams.
type streamPlay struct {
	*deployment
	engines []*engine
	streams []stream
}

// newStreamPlay starts workers and hosts. The route has the given goal_ms.
func newStreamPlay(d *deployment, count int, goal time.Duration) (p *streamPlay, err error) {
	d.put(wire("topic-operators"), "config", fmt.Appendf(nil, streamConfiguration, routeHost, goal.Milliseconds()))
	p = &streamPlay{deployment: d, streams: make([]stream, count)}
	for n := range 9 {
		e, err := newEngine(d, fmt.Sprint("worker-", n+1), "models", "v1", 8, 30, 80*time.Millisecond)
		if err == nil {
			err = e.start()
		}
		if err != nil {
			return p, err
		}
		e.register()
		p.engines = append(p.engines, e)
	}
	return p, d.startHosts()
}

func (p *streamPlay) stop() {
	for _, e := range p.engines {
		e.crash()
	}
}

// run plays all streams beside disturb, which may be nil.
func (p *streamPlay) run(disturb func()) {
	var tasks sync.WaitGroup
	if disturb != nil {
		tasks.Go(disturb)
	}
	for n := range p.streams {
		p.streams[n].id = fmt.Sprintf("s%04d", n)
		tasks.Go(func() { p.streams[n].play(p.deployment, n) })
		time.Sleep(between)
	}
	tasks.Wait()
}

// count returns the number of streams for which is returns true.
func (p *streamPlay) count(is func(s *stream) bool) (count int) {
	for n := range p.streams {
		if is(&p.streams[n]) {
			count++
		}
	}
	return count
}

// conclude records and prints the result.
func (d *deployment) conclude(format string, values ...any) {
	d.record.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

const (
	// between is the time between two new streams.
	between = 37 * time.Millisecond
	// usualGoal is goal_ms of the users' model services.
	usualGoal = 500 * time.Millisecond
)

// flappingWorker lets one of nine workers go down and up by turns, and judges whether streams that
// clients take up go on.
func flappingWorker(d *deployment, trouble bool) (broken bool, err error) {
	const count = 2000
	p, err := newStreamPlay(d, count, usualGoal)
	defer p.stop()
	if err != nil {
		return false, err
	}
	var disturb func()
	if trouble {
		disturb = func() {
			for range flaps {
				time.Sleep(calm)
				p.engines[0].flap()
			}
		}
	}
	p.run(disturb)
	begun, complete := p.count(func(s *stream) bool { return s.begun }), p.count(func(s *stream) bool { return s.complete })
	takenUp, wentOn := p.count(func(s *stream) bool { return s.takenUp }), p.count(func(s *stream) bool { return s.wentOn })
	d.conclude("streams: %d asked, %d begun, %d taken up by their clients, %d of these went on, %d complete", count, begun, takenUp, wentOn, complete)
	if begun < count/2 {
		return false, fmt.Errorf("only %d of %d streams begun", begun, count)
	}
	return takenUp >= minTakenUp && float64(wentOn)/float64(takenUp) < float64(begun)/count/2, nil
}

// maxJoined is how many streams may hold events of two software versions.
const maxJoined = 2

// failingRelease replaces one of nine workers by one of another software version under its id, which
// is slow after each start and goes down and up by turns. It judges whether streams are joined of two
// versions.
func failingRelease(d *deployment, trouble bool) (broken bool, err error) {
	const count, releases = 1300, 3
	p, err := newStreamPlay(d, count, usualGoal)
	defer p.stop()
	if err != nil {
		return false, err
	}
	var disturb func()
	if trouble {
		disturb = func() {
			e := p.engines[0]
			e.coldTime, e.coldReport = time.Second, 100*time.Millisecond
			for range releases {
				time.Sleep(calm)
				e.setSoftware("v2")
				e.flap()
				e.crash()
				e.setSoftware("v1")
				if err := e.start(); err != nil {
					d.record.add("worker %s can't start: %v", e.id, err)
					return
				}
				time.Sleep(listingLag)
				e.register()
			}
		}
	}
	p.run(disturb)
	begun, joined := p.count(func(s *stream) bool { return s.begun }), p.count(func(s *stream) bool { return len(s.software) > 1 })
	d.conclude("streams: %d asked, %d begun, %d with events of two software versions", count, begun, joined)
	if begun < count/2 {
		return false, fmt.Errorf("only %d of %d streams begun", begun, count)
	}
	return joined > maxJoined, nil
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
