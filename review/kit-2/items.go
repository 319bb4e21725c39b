package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// manyItems is the number of items of a job whose body is legal.
	manyItems, manyBodyBytes = 140000, 1
	// settleTime is settle_ms of the sheet.
	settleTime = time.Second
)

// playManyItems submits one job of many small items and reads it.
func playManyItems(s *stage) (broken bool, err error) {
	if err := s.begin(7, memoryMB, modelWorkers(9, 21)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	items := 8
	if s.trouble {
		items = manyItems
	}
	body := jobOf("many", items, manyBodyBytes, 1, false)
	if len(body) > maxBodyBytes {
		return false, fmt.Errorf("the body of %d bytes isn't legal", len(body))
	}
	if !s.submit("many", body, 0, time.Now().Add(20*time.Second)) {
		s.record.line("not accepted")
		return false, nil
	}
	time.Sleep(10*time.Second + settleTime)
	unknown := 0
	for _, h := range s.hosts {
		p, status := s.read(h, "many", 0, 0)
		s.record.line("read", "host", h.name, "status", status, "total", p.Total, "results", len(p.Results))
		a := call(http.MethodGet, h.front, "/api/items/many?id=many-"+itoa(items-1), "", nil, nil)
		s.record.line("body", "host", h.name, "status", a.status)
		if status == http.StatusNotFound {
			unknown++
		}
	}
	lost := s.readAll(map[string]int{"many": items})
	ran := 0
	for _, w := range s.workers {
		ran += len(w.runsAfter(time.Time{}))
	}
	fmt.Printf("a job of %d items in %d bytes was accepted; %d hosts say later that there is none; not readable at the end %d; items that ran %d\n", items, len(body), unknown, lost, ran)
	return unknown > 0 || lost > 0, nil
}
