package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamPath = "/quno417/"
	// streamCount streams are begun; they last for streamEvents times streamInterval.
	streamCount, streamEvents, streamInterval = 60, 60, 100 * time.Millisecond
	// backTime is the time that the worker takes to start again.
	backTime = time.Second
	// lossShare of the packets are lost, which come again after resendTime, on the paths from
	// lossyHosts of the hosts.
	lossShare, resendTime, lossyHosts = 0.3, 200 * time.Millisecond, 2
	streamDeadline                    = 15 * time.Second
)

// lossyLink is a proxy before a worker. While it is lossy, a part of what passes between the worker
// and some hosts comes late, as when a packet is lost and sent again.
type lossyLink struct {
	listener net.Listener
	lossy    atomic.Bool
	// target is where the worker listens.
	target atomic.Value
	// isLossy reports whether the caller with an address is at the far end of a lossy path.
	isLossy func(caller net.Addr) bool
}

func newLossyLink(isLossy func(caller net.Addr) bool) (*lossyLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &lossyLink{listener: l, isLossy: isLossy}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.pass(c)
		}
	}()
	return k, nil
}

func (k *lossyLink) pass(c net.Conn) {
	defer c.Close()
	address, _ := k.target.Load().(string)
	w, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer w.Close()
	lossy := k.lossy.Load() && k.isLossy(c.RemoteAddr())
	go func() {
		copyPackets(w, c, lossy)
		_ = w.Close()
	}()
	copyPackets(c, w, lossy)
}

func copyPackets(to io.Writer, from io.Reader, lossy bool) {
	buffer := make([]byte, 1400)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if lossy && rand.Float64() < lossShare {
				time.Sleep(resendTime)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// streamConfiguration adds a route of streams that may be taken up.
func streamConfiguration(version int) ([]byte, error) {
	var c map[string]any
	if err := json.Unmarshal(configuration(version), &c); err != nil {
		return nil, err
	}
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "streams", "host": routeHost, "path_prefix": streamPath, wire("route-kind"): "streaming", "resumable": true,
		"timeout_ms": 20000, "goal_ms": 500, "priority": 1, "service": jobService, "max_attempts": 3,
	})
	return json.Marshal(c)
}

// playSoftware upgrades the last worker of an old software version in place, cut off from the store
// and behind a lossy link, while it has streams.
func playSoftware(s *stage) (broken bool, err error) {
	link, err := newLossyLink(func(caller net.Addr) bool {
		return slices.ContainsFunc(s.hosts[:lossyHosts], func(h *host) bool { return h.hasSocket(caller) })
	})
	if err != nil {
		return false, err
	}
	workers := modelWorkers(5, streamEvents)
	for n := range workers {
		workers[n].interval, workers[n].slots, workers[n].software = streamInterval, 60, "v2"
		if n == 0 {
			workers[n].software, workers[n].listed = "v1", link.listener.Addr().String()
		}
	}
	if err := s.begin(7, memoryMB, workers); err != nil {
		return false, err
	}
	old := s.workers[0]
	link.target.Store(old.address)
	c, err := streamConfiguration(8)
	if err != nil {
		return false, err
	}
	s.store.put(wire("operators"), "config", c)
	time.Sleep(4 * time.Second)
	var streams sync.WaitGroup
	texts := make([][]string, streamCount)
	for n := range streamCount {
		streams.Go(func() { texts[n] = s.stream(n) })
	}
	time.Sleep(1500 * time.Millisecond)
	s.record.line("upgrade", "worker", old.name, "running", old.busy())
	old.stop()
	link.lossy.Store(s.trouble)
	time.Sleep(backTime)
	settings := old.workerSettings
	settings.software = "v2"
	if s.trouble {
		w, err := startWorker(settings, s.record)
		if err != nil {
			return false, err
		}
		s.workers = append(s.workers, w)
		time.AfterFunc(3*beatTime-backTime, func() { s.store.put(wire("targets"), w.name, nil) })
	} else if err := s.addWorker(settings); err != nil {
		return false, err
	}
	streams.Wait()
	mixed, whole := 0, 0
	for n, text := range texts {
		versions := map[string]bool{}
		for _, e := range text {
			v, _, _ := strings.Cut(e, ".")
			versions[v] = true
		}
		if len(text) == streamEvents {
			whole++
		}
		if len(versions) > 1 {
			mixed++
			s.record.line("mixed", "stream", n, "events", strings.Join(text, " "))
		}
	}
	fmt.Printf("streams %d, whole %d, with events of two software versions %d\n", streamCount, whole, mixed)
	return mixed > 2, nil
}

// stream reads a stream to its end. It takes it up once more at another host when it breaks off.
func (s *stage) stream(n int) (events []string) {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	first := ""
	for try := 0; ctx.Err() == nil && len(events) < streamEvents; try++ {
		h := s.hosts[(n+try)%len(s.hosts)]
		id := fmt.Sprintf("stream-%d-%d", n, try)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+streamPath+"talk", strings.NewReader(id))
		if err != nil {
			return events
		}
		r.Host = routeHost
		r.Header.Set(header("Attempt-Id"), id)
		r.Header.Set(header("Deadline-Ms"), itoa(int(streamDeadline.Milliseconds())))
		r.Header.Set(header("Model"), model)
		if len(events) > 0 {
			r.Header.Set("Last-Event-Id", itoa(len(events)))
			r.Header.Set("Resumes", first)
		}
		before := len(events)
		status := 0
		if response, err := client.Do(r); err == nil {
			status = response.StatusCode
			if status == http.StatusOK {
				events = append(events, eventsOf(response.Body, len(events))...)
			}
			_ = response.Body.Close()
		}
		if before == 0 && len(events) > 0 {
			first = id
		}
		s.record.line("stream", "request", id, "host", h.name, "status", status, "events", len(events)-before)
		if len(events) < streamEvents {
			time.Sleep(retryPause)
		}
	}
	return events
}

// eventsOf reads events until the response ends.
func eventsOf(r io.Reader, last int) (list []string) {
	number := 0
	for lines := bufio.NewScanner(r); lines.Scan(); {
		switch name, value, _ := strings.Cut(lines.Text(), ": "); name {
		case "id":
			number, _ = strconv.Atoi(value) // 0 is no number of an event
		case "data":
			if number == last+1+len(list) {
				list = append(list, value)
			}
		}
	}
	return slices.Clip(list)
}
