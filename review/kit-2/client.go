package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// client sends each request over a new connection, as the clients of batch jobs do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 30 * time.Second}

func itoa(n int) string { return strconv.Itoa(n) }

// answer is what a client got; status 0 means no whole answer.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

func call(method, address, path, id string, body []byte, headers map[string]string) (a answer) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	r.Host = routeHost
	if id != "" {
		r.Header.Set(header("Attempt-Id"), id)
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 if it is missing
	return answer{response.StatusCode, text, time.Duration(seconds * float64(time.Second))}
}

// retryPause is the time before the next try after no answer.
const retryPause = 300 * time.Millisecond

// submit hands a job in, at another host after each failure, until it is accepted or time is up.
func (s *stage) submit(id string, body []byte, first int, until time.Time) (accepted bool) {
	for n := first; time.Now().Before(until); n++ {
		h := s.hosts[n%len(s.hosts)]
		a := call(http.MethodPost, h.front, jobPath+id, id, body, map[string]string{"Content-Type": "application/json"})
		s.record.line("submit", "job", id, "bytes", len(body), "host", h.name, "status", a.status)
		switch {
		case a.status == http.StatusAccepted:
			return true
		case a.status >= 400 && a.status < 500 && a.status != http.StatusTooManyRequests:
			return false
		}
		time.Sleep(max(retryPause, a.retryAfter))
	}
	return false
}

type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
	Score    string `json:"score"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads a page of results at one host.
func (s *stage) read(h *host, job string, after int, wait time.Duration) (p page, status int) {
	headers := map[string]string{}
	if wait > 0 {
		headers[header("Wait-Ms")] = itoa(int(wait.Milliseconds()))
	}
	a := call(http.MethodGet, h.front, "/api/lots/"+job+"?after="+itoa(after), "", nil, headers)
	if a.status == http.StatusOK && json.Unmarshal(a.body, &p) != nil {
		return p, 0
	}
	return p, a.status
}
