package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// workerSettings are the settings of a worker.
type workerSettings struct {
	name, service string
	// models is empty for a plain service.
	models []string
	// events is the number of events of a stream.
	events int
	// interval is the time between two events, or the time that a plain request takes.
	interval time.Duration
	slots    int
	// software is the version of the worker's software; v1 unless it is set.
	software string
	// address is where it listens; a free port unless it is set.
	address string
	// listed is the address in its entry; that of address unless it is set.
	listed string
}

// worker is a stand-in of a model worker or of a plain service.
type worker struct {
	workerSettings
	born   int64
	record *recorder

	server *http.Server

	mutex    sync.Mutex
	stopped  bool
	versions map[string]int
	sequence int
	running  int
	// runs has the requests that began to run.
	runs []runOf
}

// runOf is a request that began to run.
type runOf struct {
	id string
	at time.Time
}

// runsAfter returns the ids of the requests that began to run after a time.
func (w *worker) runsAfter(at time.Time) (list []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, r := range w.runs {
		if r.at.After(at) {
			list = append(list, r.id)
		}
	}
	return list
}

func startWorker(s workerSettings, rec *recorder) (*worker, error) {
	w := &worker{workerSettings: s, born: time.Now().UnixMilli(), record: rec, versions: make(map[string]int)}
	for _, m := range s.models {
		w.versions[m] = 1
	}
	l, err := net.Listen("tcp", cmp.Or(w.address, "127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// stop closes all connections, as a crash does.
func (w *worker) stop() {
	w.mutex.Lock()
	w.stopped = true
	w.mutex.Unlock()
	_ = w.server.Close()
}

func (w *worker) isStopped() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stopped
}

// busy returns the number of requests that the worker runs.
func (w *worker) busy() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.running
}

// entry is what the worker writes into the store.
func (w *worker) entry() []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	text, _ := json.Marshal(map[string]any{
		"service": w.service, "address": cmp.Or(w.listed, w.address), "zone": "z-a", "version": cmp.Or(w.software, "v1"), "slots": w.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": w.sequence, "born": w.born, "models": w.modelList(),
	}) // all values can be encoded
	return text
}

func (w *worker) modelList() []map[string]any {
	list := []map[string]any{}
	for _, m := range w.models {
		list = append(list, map[string]any{"name": m, "version": w.versions[m], "adapters": []string{}})
	}
	return list
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		w.mutex.Lock()
		defer w.mutex.Unlock()
		reply(rw, http.StatusOK, map[string]any{
			"stage": "both", "models": w.modelList(), "busy": false, "sequence": w.sequence, "born": w.born,
			"queued_count": 0, "active_count": w.running, wire("kv-used"): 0, "kv_total": 90000, "handles": 0,
		})
	case "/api/order":
		w.serveOrder(rw, r)
	case "/healthz":
		rw.Header().Set(header("Instance-Id"), w.name)
	default:
		w.serveRequest(rw, r)
	}
}

func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Model        string `json:"model"`
		Version      int    `json:"version"`
		Holder       string `json:"holder"`
		Precondition *int   `json:"precondition"`
	}
	var fields map[string]any
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil || json.Unmarshal(body, &fields) != nil || o.Holder == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record.line("order", "worker", w.name, "holder", o.Holder, "token", fields[wire("fencing-token")], "version", o.Version)
	if o.Precondition != nil && *o.Precondition != w.sequence {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	w.sequence++
	w.versions[o.Model] = o.Version
	rw.WriteHeader(http.StatusAccepted)
}

func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(header("Attempt-Id"))
	rw.Header().Set(header("Attempt-Id"), id)
	if e := r.Header.Get(header("Expect-Instance")); e != "" && e != w.name {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mutex.Lock()
	full := w.running >= w.slots
	if !full {
		w.running++
		w.runs = append(w.runs, runOf{id, time.Now()})
	}
	running, version := w.running, 1
	for _, v := range w.versions {
		version = max(version, v)
	}
	w.mutex.Unlock()
	rw.Header().Set(header("Server-Load"), fmt.Sprintf("%d,0,%d", running, w.slots))
	if full {
		rw.Header().Set(header("Not-Executed"), "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
	}()
	w.record.line("run", "worker", w.name, "request", id, "after", r.Header.Get("Last-Event-Id"))
	rw.Header().Set(header("Server-Stamp"), stampOf(w.name, id))
	if w.events == 0 {
		select {
		case <-time.After(w.interval):
		case <-r.Context().Done():
			return
		}
		_, _ = rw.Write([]byte(answerOf(id, body))) // the caller may have left
		return
	}
	w.stream(rw, r, id, version)
}

func stampOf(worker, id string) string { return "stamp." + worker + "." + id }

// answerOf returns the body of a plain worker's answer.
func answerOf(id string, body []byte) string { return fmt.Sprintf("%s %d", id, len(body)) }

// eventOf returns the data of an event, which tells the software version that made it.
func eventOf(software string, n int) string { return software + "." + strconv.Itoa(n) }

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string, version int) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(header("Weight-Versions"), strconv.Itoa(version))
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	flusher := http.NewResponseController(rw)
	for n := first; n <= w.events; n++ {
		select {
		case <-time.After(w.interval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventOf(cmp.Or(w.software, "v1"), n)); err != nil || flusher.Flush() != nil {
			return
		}
	}
}
