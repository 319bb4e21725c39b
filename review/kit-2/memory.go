package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The crowd hands in jobs of legal size, whose items are those of an ordinary trainer.
const (
	crowdJobs, crowdItems, crowdBodyBytes = 12, 32000, 600
	// crowdTime is how long the crowd tries to hand its jobs in.
	crowdTime = 40 * time.Second
	// afterTime is the time between the crowd's last answer and the end of the day.
	afterTime = 30 * time.Second
	// finalTime is how long the jobs are read at the end, again after each failure.
	finalTime = 20 * time.Second
	memoryMB  = 314
)

// modelWorkers are workers of the sheet's size, with the pace of its items.
func modelWorkers(count, events int) (list []workerSettings) {
	for n := range count {
		list = append(list, workerSettings{
			name: "i-e" + itoa(n), service: jobService, models: []string{model}, events: events, interval: 20 * time.Millisecond, slots: 8,
		})
	}
	for n := range 3 {
		list = append(list, workerSettings{name: "i-p" + itoa(n), service: "wuno96b", interval: 20 * time.Millisecond, slots: 6})
	}
	return list
}

// playMemoryOfJobs submits batch jobs of legal size from several clients at once, and an ordinary
// job. Each job that was accepted has to be readable at the end.
func playMemoryOfJobs(s *stage) (broken bool, err error) {
	if err := s.begin(7, memoryMB, modelWorkers(9, 21)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mutex sync.Mutex
	total := map[string]int{}
	handIn := func(id string, items, first int, scored bool) {
		if s.submit(id, jobOf(id, items, crowdBodyBytes, 1, scored), first, time.Now().Add(crowdTime)) {
			mutex.Lock()
			defer mutex.Unlock()
			total[id] = items
		}
	}
	handIn("ordinary-1", 8, 0, true)
	if s.trouble {
		var crowd sync.WaitGroup
		for n := range crowdJobs {
			crowd.Go(func() { handIn("large-"+itoa(n), crowdItems, n, false) })
		}
		crowd.Wait()
	}
	handIn("ordinary-2", 8, 1, true)
	time.Sleep(afterTime)
	lost := s.readAll(total)
	ended, machines := 0, 0
	for _, h := range s.hosts {
		s.record.line("machine", "host", h.name, "over_memory", h.overMemory, "peak_mb", h.peakMB)
		ended += h.overMemory
		if h.overMemory >= 3 {
			machines++
		}
	}
	fmt.Printf("accepted %d, not readable %d; processes over the memory of their machine %d, machines with three or more %d\n", len(total), lost, ended, machines)
	return lost > 0 || machines >= 2, nil
}

// readAll reads each job, again after each failure, and returns how many can't be read.
func (s *stage) readAll(total map[string]int) (lost int) {
	var mutex sync.Mutex
	var readers sync.WaitGroup
	until := time.Now().Add(finalTime)
	for id, items := range total {
		readers.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				h := s.hosts[n%len(s.hosts)]
				p, status := s.read(h, id, 0, 0)
				s.record.line("read", "job", id, "host", h.name, "status", status, "total", p.Total, "results", len(p.Results))
				if status == http.StatusOK && p.Total == items {
					return
				}
				time.Sleep(retryPause)
			}
			mutex.Lock()
			defer mutex.Unlock()
			lost++
			s.record.line("not readable", "job", id)
		})
	}
	readers.Wait()
	return lost
}
