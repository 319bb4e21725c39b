package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playLongID hands in batch jobs with long ids, and reads them later than settle_ms.
func playLongID(w *world, trouble bool) (violations []string, err error) {
	const items, settleTime = 4, time.Second
	lengths := []int{16, 64, 200}
	if trouble {
		lengths = append(lengths, 245, 249, 252, 300)
	}
	if _, err := w.addWorkers(4, 2, "v1"); err != nil {
		return nil, err
	}
	w.publish(1, plainRoute("r-score", "/pufi791/", 4, plainTimeout)+","+rolloutRoute("r-first", "/pule252/"), services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	for _, length := range lengths {
		list := itemsOf(fmt.Sprintf("long%d", length), items)
		job := strings.Repeat("a", length)
		if !w.submit(w.hosts[0], job, jobBody(0, model, "/pule252/", "/pufi791/", list), "/pule252/") {
			continue
		}
		time.Sleep(settleTime + 500*time.Millisecond)
		status, p := w.readResults(w.hosts[1], job, 0)
		w.log("client reads the batch job with an id of %d bytes at b: %d, %d items", length, status, p.Total)
		if status == http.StatusNotFound {
			violations = append(violations, fmt.Sprintf("LOST: the batch job with an id of %d bytes was accepted, and is answered 404", length))
		}
	}
	return violations, nil
}
