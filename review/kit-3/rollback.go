package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/platform/standin"
)

const (
	// outageTime is the length of the store's outage: platform_down, how busy, in the users' site file.
	outageTime = 7 * time.Second
	// killAfter is the time from the beginning of the outage to the kill, downTime how long the
	// processes are away.
	killAfter, downTime = 5 * time.Second, time.Second
	// rollbackWorkers is how many workers of the former version come back.
	rollbackWorkers = 3
	// patientGoal is goal_ms of the route. Clients give a stream up after a gap of four times as long.
	patientGoal = 1500 * time.Millisecond
	// patientTries is how often a client tries that waits for restarted hosts.
	patientTries = 40
)

// outageDuringRollback replaces all workers by ones of another software version, and goes back to the
// former version a little later. In between the store is down, and all processes are killed. It judges
// whether streams are joined of two versions.
func outageDuringRollback(d *deployment, trouble bool) (broken bool, err error) {
	const count = 48
	p, err := newStreamPlay(d, count, patientGoal)
	defer func() { p.stop() }()
	if err != nil {
		return false, err
	}
	former := p.engines
	var current []*engine
	for n := range former {
		e, err := newEngine(d, fmt.Sprint("worker-new-", n+1), "models", "v2", 8, 60, 150*time.Millisecond)
		if err == nil {
			err = e.start()
		}
		if err != nil {
			return false, err
		}
		e.register()
		current = append(current, e)
	}
	p.engines = append(append([]*engine(nil), former...), current...)
	time.Sleep(heartbeat)
	for _, e := range former {
		d.put(wire("topic-servers"), e.id, nil)
	}
	time.Sleep(contact)
	for _, e := range former {
		e.crash()
	}
	d.record.add("all workers run v2")
	if trouble {
		d.store.SetMode(standin.ModeUnavailable)
		d.record.add("the store is down")
	}
	began := time.Now()
	time.Sleep(time.Second)
	var tasks sync.WaitGroup
	for n := range p.streams {
		s := &p.streams[n]
		s.id, s.tries = fmt.Sprintf("s%03d", n), patientTries
		tasks.Go(func() { s.play(d, n) })
		time.Sleep(between)
	}
	time.Sleep(time.Until(began.Add(killAfter)))
	if trouble {
		if err := d.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(outageTime)))
	if trouble {
		d.store.SetMode(standin.ModeNormal)
		d.record.add("the store is back")
	}
	for _, e := range former[:rollbackWorkers] {
		e.id += "-again"
		e.events, e.interval = 60, 150*time.Millisecond
		if err := e.start(); err != nil {
			return false, err
		}
		e.register()
	}
	tasks.Wait()
	begun, joined := p.count(func(s *stream) bool { return s.begun }), p.count(func(s *stream) bool { return len(s.software) > 1 })
	wentOn := p.count(func(s *stream) bool { return s.wentOn })
	d.conclude("streams: %d asked, %d begun, %d went on at other hosts, %d with events of two software versions", count, begun, wentOn, joined)
	if begun < count/2 {
		return false, fmt.Errorf("only %d of %d streams begun", begun, count)
	}
	return joined > maxJoined, nil
}

// killAll kills all processes at the same moment, and starts them again.
func (d *deployment) killAll() error {
	d.record.add("all processes are killed")
	var kills sync.WaitGroup
	for _, h := range d.hosts {
		kills.Go(h.kill)
	}
	kills.Wait()
	time.Sleep(downTime)
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	d.record.add("all processes start again")
	return nil
}
