package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is heartbeat_ms of the small sites.
const heartbeat = 1200 * time.Millisecond

var (
	headerID       = wire("x-lycheeladder-attempt-id")
	headerDeadline = wire("x-lycheeladder-deadline-ms")
	headerStamp    = wire("x-lycheeladder-server-stamp")
	headerExpect   = wire("x-lycheeladder-expect-instance")
	headerVersions = wire("x-lycheeladder-weight-versions")
	headerRefused  = wire("x-lycheeladder-not-executed")
)

// worker is a sound worker of a service: a model worker if it has a model, else a plain one.
type worker struct {
	world   *world
	id      string
	service string
	model   string
	// events and gap are the length of a stream and the time between two of its events.
	events int
	gap    time.Duration

	mutex sync.Mutex
	// software is the version of its software, born its start in ms since 1970.
	software string
	born     int64
	address  string
	listener net.Listener
	server   *http.Server
	// work returns how long a plain request takes.
	work func(id string) time.Duration
	// running has a place for each slot of a worker that refuses requests; it is nil for one that takes
	// all. admitted counts the requests that run or wait, of which there are at most maxAdmitted.
	running               chan struct{}
	admitted, maxAdmitted int
	// extra is the share of the answers of which a second copy follows, late.
	extra float64
	// cut is set while the worker is partitioned from the store.
	cut         bool
	heartbeatAt time.Time
	sequence    int
	orders      int
	version     int
	stopped     chan struct{}
}

// start starts the worker, at its former address if it had one. It enters itself in the store.
func (w *worker) start(software string) error {
	w.mutex.Lock()
	address := w.address
	w.mutex.Unlock()
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.address, w.software, w.born = l.Addr().String(), software, time.Now().UnixMilli()
	w.sequence, w.orders = 0, 0
	if w.version == 0 {
		w.version = 1
	}
	w.listener, w.server = l, &http.Server{Handler: w, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &connectionState{})
	}}
	w.stopped = make(chan struct{})
	server, stopped := w.server, w.stopped
	w.mutex.Unlock()
	go func() { _ = server.Serve(l) }()
	go func() {
		for {
			w.beat()
			select {
			case <-time.After(heartbeat):
			case <-stopped:
				return
			}
		}
	}()
	w.world.log("worker %s starts with software %s at %s", w.id, software, w.address)
	return nil
}

// setLength sets the events of streams and the time between two of them.
func (w *worker) setLength(events int, gap time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.events, w.gap = events, gap
}

// crash ends the worker at once: all its connections break off.
func (w *worker) crash() {
	w.mutex.Lock()
	listener, server, stopped := w.listener, w.server, w.stopped
	w.mutex.Unlock()
	close(stopped)
	_ = listener.Close()
	_ = server.Close()
	w.world.log("worker %s crashes", w.id)
}

// setCut partitions the worker from the store, or ends that.
func (w *worker) setCut(cut bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cut = cut
	w.world.log("worker %s cut from the store: %v", w.id, cut)
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mutex.Lock()
	if w.cut {
		w.mutex.Unlock()
		return
	}
	w.sequence++
	w.heartbeatAt = time.Now()
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": "z", "version": w.software, "slots": w.slots(), "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": w.models(), "sequence": w.sequence, "born": w.born,
	}
	w.mutex.Unlock()
	value, err := json.Marshal(entry)
	if err == nil {
		w.world.store.put(wire("targets"), w.id, value)
	}
}

// slots is the number of requests that the worker runs at once.
func (w *worker) slots() int {
	if w.model == "" {
		return 32
	}
	return 8
}

// sinceHeartbeat returns the time since the worker last wrote its entry.
func (w *worker) sinceHeartbeat() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Since(w.heartbeatAt)
}

// models lists the loaded weights. The caller holds the mutex.
func (w *worker) models() []map[string]any {
	if w.model == "" {
		return nil
	}
	return []map[string]any{{"name": w.model, "version": w.version, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerID)
	if id != "" {
		rw.Header().Set(headerID, id)
	}
	rw.Header().Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		rw.Header().Set(wire("x-lycheeladder-instance-id"), w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		rw.Header().Set(wire("x-lycheeladder-instance-id"), w.id)
	case r.URL.Path == "/api/report":
		w.serveReport(rw)
	case r.URL.Path == "/api/order":
		w.serveOrder(rw, body)
	case id == "":
		rw.Header().Set(headerRefused, "1")
		rw.WriteHeader(http.StatusBadRequest)
	case w.running != nil:
		w.serveOnce(rw, r, id)
	case w.model != "":
		w.serveStream(rw, r, id)
	default:
		w.servePlain(rw, r, id, body)
	}
}

func (w *worker) serveReport(rw http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{
		"stage": "both", "models": w.models(), "busy": false, "sequence": w.orders, "queued_count": 0, "active_count": 0,
		wire("kv-used"): 0, "kv_total": 80000, "handles": 0, "born": w.born,
	})
}

func (w *worker) serveOrder(rw http.ResponseWriter, body []byte) {
	var o struct {
		Version      int    `json:"version"`
		Holder       string `json:"holder"`
		Precondition *int   `json:"precondition"`
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case json.Unmarshal(body, &o) != nil || o.Holder == "":
		rw.WriteHeader(http.StatusBadRequest)
	case o.Precondition != nil && *o.Precondition != w.orders:
		rw.WriteHeader(http.StatusConflict)
	default:
		w.orders++
		w.version = o.Version
		rw.WriteHeader(http.StatusAccepted)
	}
}

// deadlineOf returns a channel that fires at the deadline of a request.
func deadlineOf(r *http.Request) <-chan time.Time {
	if n, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil {
		return time.After(time.Duration(n * float64(time.Millisecond)))
	}
	return nil
}

// servePlain works on a request and answers it, with 504 at its deadline.
func (w *worker) servePlain(rw http.ResponseWriter, r *http.Request, id string, body []byte) {
	deadline := deadlineOf(r)
	w.mutex.Lock()
	work := w.work
	w.mutex.Unlock()
	status := http.StatusOK
	select {
	case <-time.After(work(id)):
	case <-deadline:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		w.world.log("worker %s: request %s left by its sender", w.id, id)
		return
	}
	w.world.log("worker %s answers request %s with %d (deadline %s ms)", w.id, id, status, r.Header.Get(headerDeadline))
	w.world.countAnswer(id, status)
	rw.Header().Set(headerStamp, "stamp-"+w.id+"-"+id)
	rw.WriteHeader(status)
	if status == http.StatusOK {
		_, _ = fmt.Fprintf(rw, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	}
}

// serveStream generates the events of a request. What two versions of the software generate
// differs.
func (w *worker) serveStream(rw http.ResponseWriter, r *http.Request, id string) {
	w.mutex.Lock()
	software, version, events, gap := w.software, w.version, w.events, w.gap
	w.mutex.Unlock()
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	w.world.log("worker %s (software %s) runs %s from event %d", w.id, software, id, first)
	w.world.ran(id)
	h := rw.Header()
	h.Set(headerStamp, "stamp-"+w.id+"-"+id)
	h.Set(headerVersions, strconv.Itoa(version))
	h.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	for n := first; n <= events; n++ {
		if !pause(r.Context(), gap) {
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventData(id, n, software)); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
	w.world.log("worker %s has finished %s", w.id, id)
}

func eventData(id string, n int, software string) string {
	return fmt.Sprintf("%s:%d:%s", id, n, software)
}

// pause waits for d and returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// connectionState is what a worker keeps of a connection.
type connectionState struct {
	// copy is a second copy of the last answer, which follows late: at the point where the next
	// answer is expected.
	copy string
}

type connectionKey struct{}

// serveOnce runs a request that may run once, or refuses it if the worker is full. Some answers
// are sent twice.
func (w *worker) serveOnce(rw http.ResponseWriter, r *http.Request, id string) {
	state, ok := r.Context().Value(connectionKey{}).(*connectionState)
	if !ok {
		return
	}
	connection, buffered, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	for {
		if state.copy != "" {
			w.world.log("worker %s sends the second copy of an answer, as %s waits for its own", w.id, id)
			if _, err := connection.Write([]byte(state.copy)); err != nil {
				return
			}
			state.copy = ""
		}
		answer := w.runOnce(id, "POST "+r.URL.RequestURI())
		if _, err := connection.Write([]byte(answer)); err != nil {
			return
		}
		w.mutex.Lock()
		extra := w.extra
		w.mutex.Unlock()
		if rand.Float64() < extra {
			state.copy = answer
		}
		_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
		if r, err = http.ReadRequest(buffered.Reader); err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if id = r.Header.Get(headerID); id == "" || r.Header.Get(headerExpect) != w.id {
			return // no request of a caller; the connection is closed
		}
	}
}

// runOnce returns the answer to a request.
func (w *worker) runOnce(id, text string) string {
	w.mutex.Lock()
	if w.admitted >= w.maxAdmitted {
		w.mutex.Unlock()
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", headerID, id, headerRefused)
	}
	w.admitted++
	work := w.work
	w.mutex.Unlock()
	w.running <- struct{}{}
	w.world.log("worker %s runs %s", w.id, id)
	w.world.ran(id)
	time.Sleep(work(id))
	<-w.running
	w.mutex.Lock()
	w.admitted--
	w.mutex.Unlock()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s-%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerStamp, w.id, id, len(text), text)
}

// setExtra sets the share of the answers that are sent twice.
func (w *worker) setExtra(share float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.extra = share
	w.world.log("worker %s sends %.2f of its answers twice", w.id, share)
}
