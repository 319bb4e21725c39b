package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lostTime is how long answers of the store are lost, lateTime how long after the call a write
	// whose answer is lost is done; the site has up to 4.5 s, and writes are done 1 to 6 s later.
	lostTime, lateTime = 4500 * time.Millisecond, 6 * time.Second
	// lostShare is the share of the writes that may lose their answer.
	lostShare = 0.35
	// lateMemoryMB is the memory of the sheet's machines.
	lateMemoryMB = 294
	lateItems    = 6000
	submitTries  = 2
	// lateBodyBytes keeps the submission within one call to the store.
	lateBodyBytes = 16
	// contactTime is contact_ms of the sheet.
	contactTime = 3 * time.Second
)

// playLateSubmission loses the store's answers to the writes of a submission, which are done some
// seconds later. Its trainer ends the job meanwhile.
func playLateSubmission(s *stage) (broken bool, err error) {
	if err := s.begin(6, lateMemoryMB, modelWorkers(8, 21)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if !s.submit("other", jobOf("other", 400, crowdBodyBytes, 1, true), 0, time.Now().Add(10*time.Second)) {
		return false, fmt.Errorf("the first job is not accepted")
	}
	began := time.Now()
	var mutex sync.Mutex
	lost, writes := 0, 0
	if s.trouble {
		s.store.setFaults(func(_ string, r *http.Request, body []byte) fault {
			if r.URL.Path != wire("append") || time.Since(began) > lostTime {
				return fault{}
			}
			mutex.Lock()
			defer mutex.Unlock()
			writes++
			if !strings.Contains(string(body), "piece/late/") {
				return fault{}
			}
			lost++
			return fault{drop: true, late: lateTime}
		})
	}
	body := jobOf("late", lateItems, lateBodyBytes, 1, false)
	accepted := false
	for n := 1; n <= submitTries && !accepted; n++ {
		h := s.hosts[n]
		a := call(http.MethodPost, h.front, jobPath+"late", "late", body, map[string]string{"Content-Type": "application/json"})
		s.record.line("submit", "job", "late", "host", h.name, "status", a.status, "took", time.Since(began))
		accepted = a.status == http.StatusAccepted
		if !accepted && n < submitTries {
			time.Sleep(retryPause)
		}
	}
	h := s.hosts[submitTries+1]
	a := call(http.MethodDelete, h.front, "/api/lots/late", "", nil, nil)
	s.record.line("end of job", "job", "late", "host", h.name, "status", a.status, "took", time.Since(began))
	ended := time.Now()
	if a.status != http.StatusOK {
		// The end counts as acknowledged after ack_ms of steady state, which begins contact_ms after
		// the last write was done.
		ended = began.Add(lostTime + lateTime + contactTime + ackTime)
	}
	late := ended.Add(cancelTime)
	time.Sleep(time.Until(late.Add(watchTime)))
	count := 0
	for _, w := range s.workers {
		for _, r := range w.runsAfter(late) {
			if strings.HasPrefix(r, "late-") {
				count++
			}
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	fmt.Printf("answers lost %d of %d writes; end answered %d; items that ran later than cancel_ms after it: %d\n", lost, writes, a.status, count)
	if s.trouble && float64(lost) > lostShare*float64(writes) {
		return false, fmt.Errorf("more answers were lost than the site allows")
	}
	return count > 0, nil
}
