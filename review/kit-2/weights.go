package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const (
	// newService takes over the route of the jobs.
	newService = "huvo11b"
	// applyTime is config_apply_ms of the sheet, applyMargin a margin beyond it.
	applyTime, applyMargin = 2 * time.Second, 2 * time.Second
	movedItems             = 80
	movedTime              = 20 * time.Second
)

// movedConfiguration gives all of the jobs' route to newService and none to the old one.
func movedConfiguration(version int) ([]byte, error) {
	var c map[string]any
	if err := json.Unmarshal(configuration(version), &c); err != nil {
		return nil, err
	}
	for _, r := range c["routes"].([]any) {
		if route := r.(map[string]any); route["name"] == "jobs" {
			delete(route, "service")
			route["split"] = []map[string]any{{"service": jobService, "weight": 0}, {"service": newService, "weight": 100}}
		}
	}
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": newService, "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 8, "models": []map[string]any{{"name": model}}},
	})
	return json.Marshal(c)
}

// playWeights changes the weights of the jobs' route, and submits jobs when the change has to be in
// force.
func playWeights(s *stage) (broken bool, err error) {
	workers := modelWorkers(9, 21)
	for n := range workers {
		if n >= 5 && workers[n].events > 0 {
			workers[n].service = newService
		}
	}
	if err := s.begin(7, memoryMB, workers); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	until := time.Now().Add(movedTime)
	if !s.submit("before", jobOf("before", 8, crowdBodyBytes, 1, true), 0, until) {
		return false, fmt.Errorf("the first job is not accepted")
	}
	if s.trouble {
		c, err := movedConfiguration(9)
		if err != nil {
			return false, err
		}
		s.store.put(wire("operators"), "config", c)
		s.record.line("configuration", "version", 9)
	}
	time.Sleep(applyTime + applyMargin)
	for n := range 3 {
		id := "after-" + itoa(n)
		if !s.submit(id, jobOf(id, movedItems, crowdBodyBytes, 1, true), n, until) {
			return false, fmt.Errorf("a job is not accepted")
		}
	}
	time.Sleep(movedTime)
	counts := map[string]int{}
	for _, w := range s.workers {
		for _, id := range w.runsAfter(time.Time{}) {
			if strings.HasPrefix(id, "after-") && w.events > 0 {
				counts[w.service]++
			}
		}
	}
	fmt.Printf("items accepted later than config_apply_ms after the change ran by service: %v\n", counts)
	if !s.trouble {
		return counts[newService] > 0, nil
	}
	return counts[jobService] > 0, nil
}
