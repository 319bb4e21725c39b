package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// A few clients have a job of legal size each and send it again when its 202 is some seconds
	// old. Together that is more than the store keeps.
	fillJobs, fillItems, fillBodyBytes, fillTimes = 5, 32, 700 << 10, 4
	// againTime is the age of a 202 at which its job is sent again.
	againTime = 2 * time.Second
	fillTime  = 20 * time.Second
	// longItems is the number of items of the job that its trainer ends; they last for a minute.
	longItems = 10000
	// quietTime is the time between the crowd's last answer and the end of the job.
	quietTime = 8 * time.Second
	// ackTime and cancelTime are ack_ms and cancel_ms of the sheet.
	ackTime, cancelTime = 4 * time.Second, 3 * time.Second
	// watchTime is how long the workers are watched after that.
	watchTime = 10 * time.Second
	endPause  = 300 * time.Millisecond
)

// playFullStore fills the store with jobs that are sent again, and ends an ordinary job then.
func playFullStore(s *stage) (broken bool, err error) {
	if err := s.begin(7, memoryMB, modelWorkers(9, 21)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if !s.submit("long", jobOf("long", longItems, 400, 1, false), 0, time.Now().Add(10*time.Second)) {
		return false, fmt.Errorf("the ordinary job is not accepted")
	}
	if s.trouble {
		var crowd sync.WaitGroup
		until := time.Now().Add(fillTime)
		for n := range fillJobs {
			crowd.Go(func() {
				id := "fill-" + itoa(n)
				body := jobOf(id, fillItems, fillBodyBytes, 1, false)
				for range fillTimes {
					if s.submit(id, body, n, until) {
						time.Sleep(againTime)
					}
				}
			})
		}
		crowd.Wait()
		s.record.line("crowd done", "stored_mb", s.store.storedMB())
	}
	time.Sleep(quietTime)
	acknowledged := s.endJob("long")
	s.record.line("counts as acknowledged", "job", "long")
	late := acknowledged.Add(cancelTime)
	time.Sleep(time.Until(late.Add(watchTime)))
	count := 0
	for _, w := range s.workers {
		for _, r := range w.runsAfter(late) {
			if strings.HasPrefix(r, "long-") {
				count++
			}
		}
	}
	for _, h := range s.hosts {
		s.record.line("machine", "host", h.name, "over_memory", h.overMemory, "peak_mb", h.peakMB)
	}
	fmt.Printf("stored %d MB; items that ran later than cancel_ms after the end of their job: %d\n", s.store.storedMB(), count)
	return count > 0, nil
}

// endJob ends a job, again at another host after each failure, and returns when the end was
// acknowledged, or when it counts as acknowledged.
func (s *stage) endJob(id string) time.Time {
	began := time.Now()
	for n := 0; time.Since(began) < ackTime; n++ {
		h := s.hosts[n%len(s.hosts)]
		a := call(http.MethodDelete, h.front, "/api/lots/"+id, "", nil, nil)
		s.record.line("end of job", "job", id, "host", h.name, "status", a.status)
		if a.status == http.StatusOK {
			return time.Now()
		}
		time.Sleep(max(endPause, a.retryAfter))
	}
	return began.Add(ackTime)
}

func (s *store) storedMB() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.total >> 20
}
