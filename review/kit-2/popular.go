package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// callers ask for the same thing, at some 12 requests a second together.
	callers, callerPause = 8, 600 * time.Millisecond
	// workTime is the time that the plain workers of the sheet take for a request.
	workTime = 80 * time.Millisecond
	// calmTime is the time before the first crash and between two of them.
	calmTime = 8 * time.Second
	// downTime is how long a worker is down after a crash; the sheet's site has up to 4.9 s.
	downTime = 4500 * time.Millisecond
	// finalDelay is the time from the last crash to the final fault.
	finalDelay = time.Second
	// recoverTime is recover_s of the sheet.
	recoverTime = 12 * time.Second
	// judgedTime is the time after that for which requests are counted.
	judgedTime = 10 * time.Second
	callerPath = plainPath + "price-list"
)

// share counts requests and those of them that were served.
type share struct{ asked, served int }

func (s share) of() float64 { return float64(s.served) / float64(max(1, s.asked)) }

// playPopularRequest crashes the workers of a plain service one after the other while callers ask
// for the same thing, and ends the day with the kill of all processes.
func playPopularRequest(s *stage) (broken bool, err error) {
	workers := modelWorkers(2, 21)
	for n := range workers {
		if workers[n].events == 0 {
			workers[n].interval = workTime
		}
	}
	if err := s.begin(6, memoryMB, workers); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	// phase 0 is before the final fault, 1 the time for recovery, 2 what is judged.
	phase, shares := 0, [3]share{}
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for n := range callers {
		asking.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(callerPause):
				}
				mutex.Lock()
				at := phase
				mutex.Unlock()
				served := s.ask(fmt.Sprintf("caller-%d-%d", n, i), n+i)
				mutex.Lock()
				shares[at].asked++
				if served {
					shares[at].served++
				}
				mutex.Unlock()
			}
		})
	}
	time.Sleep(calmTime)
	crashes := make(chan error, 1)
	if s.trouble {
		list := s.plainWorkers()
		for _, w := range list[:len(list)-1] {
			if err := s.crash(w); err != nil {
				return false, err
			}
			time.Sleep(calmTime)
		}
		go func() { crashes <- s.crash(list[len(list)-1]) }()
		time.Sleep(finalDelay)
	}
	next := func(n int) {
		mutex.Lock()
		defer mutex.Unlock()
		phase = n
		s.record.line("phase", "number", n, "shares", fmt.Sprint(shares))
	}
	if s.trouble {
		next(1)
		for _, h := range s.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		if err := errors.Join(s.awaitReady(), <-crashes); err != nil {
			return false, err
		}
		time.Sleep(recoverTime)
		next(2)
		time.Sleep(judgedTime)
	}
	close(stop)
	asking.Wait()
	s.record.line("end", "shares", fmt.Sprint(shares))
	if !s.trouble {
		shares[2] = shares[0]
	}
	fmt.Printf("served before the final fault %.3f of %d, later than recover_s after it %.3f of %d\n", shares[0].of(), shares[0].asked, shares[2].of(), shares[2].asked)
	return shares[0].of() >= 0.25 && shares[2].of() < 0.25, nil
}

// ask sends a request, once more at another host after a failure, and reports whether it was served.
func (s *stage) ask(id string, first int) bool {
	const deadline = 2 * time.Second
	end := time.Now().Add(deadline)
	for try := range 2 {
		h := s.hosts[(first+try)%len(s.hosts)]
		left := time.Until(end)
		attempt := fmt.Sprintf("%s-%d", id, try)
		a := call(http.MethodGet, h.front, callerPath, attempt, nil, map[string]string{header("Deadline-Ms"): itoa(int(left.Milliseconds()))})
		s.record.line("asked", "request", attempt, "host", h.name, "status", a.status, "retry_after", a.retryAfter)
		if a.status == http.StatusOK {
			return string(a.body) == answerOf(attempt, nil)
		}
		time.Sleep(min(max(retryPause, a.retryAfter), time.Until(end)/3))
	}
	return false
}

func (s *stage) plainWorkers() (list []*worker) {
	for _, w := range s.workers {
		if w.events == 0 {
			list = append(list, w)
		}
	}
	return list
}

// crash ends a worker while it serves a request, and starts another one in its place after
// downTime. Its entry is removed after three heartbeats of silence.
func (s *stage) crash(w *worker) error {
	for end := time.Now().Add(calmTime); w.busy() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	s.record.line("crash", "worker", w.name, "running", w.busy())
	w.stop()
	time.Sleep(3 * beatTime)
	s.store.put(wire("targets"), w.name, nil)
	time.Sleep(downTime - 3*beatTime)
	settings := w.workerSettings
	settings.name += "b"
	return s.addWorker(settings)
}
