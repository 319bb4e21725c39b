package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a model worker. It can crash and start again under the id that it had.
type engine struct {
	id, address, service, software string
	slots, events                  int
	interval                       time.Duration
	// coldTime is how long the worker is slow after a start: its reports take coldReport then.
	coldTime, coldReport time.Duration
	// quiet leaves the runs out of the record.
	quiet      bool
	deployment *deployment

	mutex    sync.Mutex
	server   *http.Server
	born     int64
	running  int
	sequence int
}

// Headers of the platform.
var (
	prefix      = wire("header-prefix")
	headerID    = prefix + "Attempt-Id"
	headerStamp = prefix + "Server-Stamp"
)

func newEngine(d *deployment, id, service, software string, slots, events int, interval time.Duration) (*engine, error) {
	address, err := freeAddress()
	return &engine{id: id, address: address, service: service, software: software, slots: slots, events: events, interval: interval, deployment: d}, err
}

// start begins a new start of the worker at the same address.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e}
	e.mutex.Lock()
	e.server, e.born, e.running = server, time.Now().UnixMilli(), 0
	e.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.deployment.record.add("worker %s starts, born %d", e.id, e.born)
	return nil
}

// setSoftware sets the version of the software of the next start.
func (e *engine) setSoftware(version string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.software = version
}

// crash closes the listener and all connections.
func (e *engine) crash() {
	e.mutex.Lock()
	server := e.server
	e.server = nil
	e.mutex.Unlock()
	if server != nil {
		_ = server.Close()
		e.deployment.record.add("worker %s crashes", e.id)
	}
}

// register writes the worker's entry, if it is up.
func (e *engine) register() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.server == nil {
		return
	}
	e.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "a", "version": e.software, "slots": e.slots, "state": "ready", "cold_left_ms": 0, "sequence": e.sequence, "born": e.born,
		"models": []map[string]any{{"name": "m", "version": 1}},
	})
	e.deployment.put(wire("topic-servers"), e.id, value)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	born, running, software := e.born, e.running, e.software
	e.mutex.Unlock()
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set(prefix+"Instance-Id", e.id)
		return
	case "/api/report":
		if time.Since(time.UnixMilli(born)) < e.coldTime {
			time.Sleep(e.coldReport)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0, "queued_count": 0, "active_count": running,
			wire("memory-used"): 0, wire("memory-total"): 82271, "handles": 0, "born": born,
		})
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	w.Header().Set(prefix+"Server-Load", fmt.Sprintf("%d,0,%d,100", running, e.slots))
	if expected := r.Header.Get(prefix + "Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set(prefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if running >= e.slots {
		w.Header().Set(prefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, id, software)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id, software string) {
	e.mutex.Lock()
	e.running++
	born := e.born
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.born == born {
			e.running--
		}
	}()
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	if !e.quiet {
		e.deployment.record.add("worker %s (software %s) runs %s from event %d", e.id, software, id, first)
	}
	w.Header().Set(headerStamp, "stamp-"+e.id)
	w.Header().Set(prefix+"Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := first; n <= e.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, software)
		if controller.Flush() != nil {
			return
		}
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return
		}
	}
}
