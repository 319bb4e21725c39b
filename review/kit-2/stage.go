package main

import (
	"encoding/json"
	"errors"
	"strings"
	"time"
)

// stage has what a case is played with.
type stage struct {
	folder  string
	record  *recorder
	trouble bool
	store   *store
	hosts   []*host
	workers []*worker
}

const (
	routeHost  = "ficu95.example"
	jobPath    = "/pule252/"
	plainPath  = "/pufi791/"
	jobService = "huvo11a"
	model      = "daka510000"
	readyTime  = 20 * time.Second
	// beatTime is the time between two writes of a worker into the store.
	beatTime = 1200 * time.Millisecond
)

// configuration is that of the examples of the wire, with one route for jobs and one for scores.
func configuration(version int) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "scores", "host": routeHost, "path_prefix": plainPath, wire("route-kind"): "idempotent", "timeout_ms": 2000, "goal_ms": 400, "priority": 2, "service": "wuno96b", "max_attempts": 4},
			{"name": "jobs", "host": routeHost, "path_prefix": jobPath, wire("route-kind"): "rollout", "timeout_ms": 10000, "goal_ms": 500, "priority": 0, "service": jobService, "max_attempts": 3, "result_due_ms": 7500, "retention_s": 40},
		},
		"services": []map[string]any{
			{"name": jobService, "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "models": []map[string]any{{"name": model}}}},
			{"name": "wuno96b", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}) // all values can be encoded
	return text
}

// maxBodyBytes is the largest legal body.
const maxBodyBytes = 33554432

// begin starts workers and hosts and waits until the hosts are ready.
func (s *stage) begin(hosts, memoryMB int, workers []workerSettings) error {
	s.store.put(wire("operators"), "config", configuration(7))
	for _, settings := range workers {
		if err := s.addWorker(settings); err != nil {
			return err
		}
	}
	for n := range hosts {
		address, err := s.store.listen(hostName(n))
		if err != nil {
			return err
		}
		h, err := newHost(n, memoryMB, s.folder, address, s.record)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		go h.run()
	}
	return s.awaitReady()
}

// addWorker starts a worker, which writes into the store at each heartbeat.
func (s *stage) addWorker(settings workerSettings) error {
	w, err := startWorker(settings, s.record)
	if err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	s.store.put(wire("targets"), w.name, w.entry())
	go func() {
		for {
			time.Sleep(beatTime)
			if w.isStopped() {
				return
			}
			s.store.put(wire("targets"), w.name, w.entry())
		}
	}()
	return nil
}

func hostName(n int) string { return "edge-a-" + string(rune('0'+n)) }

func (s *stage) awaitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, h := range s.hosts {
			if h.isReady() {
				count++
			}
		}
		if count == len(s.hosts) {
			return nil
		}
	}
	return errors.New("the hosts don't get ready")
}

// close ends all processes that the case has started.
func (s *stage) close() {
	for _, h := range s.hosts {
		h.stop()
	}
}

// owners returns the indices of the hosts that have partitions of batch jobs.
func (s *stage) owners() (list []int) {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	held := make(map[string]bool)
	for _, m := range s.store.groupOf("job-owners").held {
		held[m] = true
	}
	for n, h := range s.hosts {
		if held[h.peer] {
			list = append(list, n)
		}
	}
	return list
}

// itemOf returns an item as a trainer sends it.
func itemOf(job string, n, bodyBytes int, scored bool) map[string]any {
	id := job + string("-") + itoa(n)
	i := map[string]any{
		"id": id, "path": jobPath + "3/91c4", "token_count": 60, "group": "g" + itoa(n/4),
		"headers": map[string]string{header("Model"): model, header("Token-Usage"): "16,24", header("Prompt-Prefix"): "9c2e41:16"},
		"body":    []byte(strings.Repeat("q", bodyBytes)),
	}
	if scored {
		i["scorer"] = map[string]any{"id": id + "s", "host": routeHost, "path": plainPath + "5e07", "body": []byte("score")}
	}
	return i
}

// jobOf returns the body of a submission.
func jobOf(id string, items, bodyBytes, minVersion int, scored bool) []byte {
	list := make([]map[string]any, 0, items)
	for n := range items {
		list = append(list, itemOf(id, n, bodyBytes, scored))
	}
	text, _ := json.Marshal(map[string]any{"step": 0, "model": model, wire("min-version"): minVersion, "target_groups": max(1, items/4), "items": list}) // all values can be encoded
	return text
}
