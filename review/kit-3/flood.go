package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is the memory of a machine, restartDelay the time after which the platform starts a
	// process again that has ended.
	memoryMB, restartDelay = 314, 500 * time.Millisecond
	// floodItems is the number of items of a job, each with a body of itemBytes, so that the encoded
	// job has less than 1 MiB.
	floodItems, itemBytes = 1000, 700
	// floodJobs is how many jobs the clients submit in all.
	floodJobs, floodClients = 370, 24
	// calmJobs replaces floodJobs without the disruption.
	calmJobs = 6
	// submitTries bounds the tries for one job, each at another host.
	submitTries = 12
	// manyEnds is how often a process ends on a machine that is counted in the record.
	manyEnds = 3
	// settling is the time between the last submission and the reading, readTime that of the reading,
	// readPause that between two rounds of it.
	settling, readTime, readPause = 25 * time.Second, 20 * time.Second, 500 * time.Millisecond
)

// machine watches the memory of one host's process, and starts it again when it has ended.
type machine struct {
	*host
	overMemory, peakMB int
}

func (m *machine) watch(d *deployment, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := anonymousMB(m.command.Process.Pid)
		m.peakMB = max(m.peakMB, used)
		if used <= memoryMB {
			continue
		}
		m.overMemory++
		d.record.add("%s has %d MB and is ended", m.name, used)
		m.kill()
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			d.record.add("%s can't start: %v", m.name, err)
			return
		}
	}
}

// anonymousMB returns the memory of a process without the pages of files, or 0 if it has ended.
func anonymousMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			n, _ := strconv.Atoi(string(bytes.Fields(rest)[0])) // 0 if it can't be read
			return n >> 10
		}
	}
	return 0
}

// jobBody returns a batch job of ordinary items.
func jobBody(id string, items int) []byte {
	type item struct {
		ID         string            `json:"id"`
		Path       string            `json:"path"`
		Headers    map[string]string `json:"headers"`
		Body       string            `json:"body"`
		TokenCount int               `json:"token_count"`
		Group      string            `json:"group"`
	}
	body := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("p"), itemBytes))
	list := make([]item, items)
	for n := range list {
		list[n] = item{
			ID: fmt.Sprintf("%s-%04d", id, n), Path: "/jobs/1/run", Body: body, TokenCount: 36, Group: fmt.Sprintf("%s-g%03d", id, n/8),
			Headers: map[string]string{prefix + "Model": "m", prefix + "Token-Usage": "16,20", prefix + "Prompt-Prefix": fmt.Sprintf("%s:16", id)},
		}
	}
	text, _ := json.Marshal(map[string]any{"step": 0, "model": "m", wire("min-version"): 1, "target_groups": items / 8, "items": list})
	return text
}

// manyJobs lets clients submit many batch jobs at once, and judges whether the accepted jobs can be
// read in the end. How often processes end for want of memory is recorded beside it.
func manyJobs(d *deployment, trouble bool) (broken bool, err error) {
	d.put(wire("topic-operators"), "config", fmt.Appendf(nil, jobConfiguration, routeHost))
	for n := range 9 {
		e, err := newEngine(d, fmt.Sprint("worker-", n+1), "models", "v1", 8, 20, 20*time.Millisecond)
		if err == nil {
			err = e.start()
		}
		if err != nil {
			return false, err
		}
		defer e.crash()
		e.quiet = true
		e.register()
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	var machines []*machine
	done := make(chan struct{})
	var watches sync.WaitGroup
	for _, h := range d.hosts {
		m := &machine{host: h}
		machines = append(machines, m)
		watches.Go(func() { m.watch(d, done) })
	}
	count := floodJobs
	if !trouble {
		count = calmJobs
	}
	accepted := d.submitAll(count)
	time.Sleep(settling)
	unreadable := d.readAll(accepted)
	close(done)
	watches.Wait()
	ends, several := 0, 0
	for _, m := range machines {
		d.record.add("%s: %d times over its memory, at most %d MB", m.name, m.overMemory, m.peakMB)
		ends += m.overMemory
		if m.overMemory >= manyEnds {
			several++
		}
	}
	d.conclude("batch jobs: %d submitted, %d accepted, %d of these can't be read; processes over their memory: %d, three or more on %d machines", count, len(accepted), unreadable, ends, several)
	if len(accepted) < calmJobs {
		return false, fmt.Errorf("only %d jobs accepted", len(accepted))
	}
	return unreadable > 0, nil
}

// submitAll returns the ids of the jobs that were accepted.
func (d *deployment) submitAll(count int) (accepted []string) {
	var next atomic.Int64
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for range floodClients {
		clients.Go(func() {
			for {
				n := int(next.Add(1))
				if n > count {
					return
				}
				id := fmt.Sprintf("job%04d", n)
				if d.submit(id, jobBody(id, floodItems)) {
					mutex.Lock()
					accepted = append(accepted, id)
					mutex.Unlock()
				}
			}
		})
	}
	clients.Wait()
	return accepted
}

func (d *deployment) submit(id string, body []byte) bool {
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for try := range submitTries {
		h := d.hosts[rand.IntN(len(d.hosts))]
		r, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/jobs/"+id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		r.Host = routeHost
		r.Header.Set(headerID, id)
		r.Header.Set("Content-Type", "application/json")
		pause := minPause
		response, err := client.Do(r)
		if err == nil {
			response.Body.Close()
			d.record.add("job %s (%d bytes), try %d at %s: %d", id, len(body), try, h.name, response.StatusCode)
			if response.StatusCode == http.StatusAccepted {
				return true
			}
			seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			pause = max(pause, time.Duration(seconds*float64(time.Second)))
		} else {
			d.record.add("job %s, try %d at %s: %v", id, try, h.name, err)
		}
		time.Sleep(pause)
	}
	return false
}

// readAll reads each job that couldn't be read yet in rounds, at any host, and returns how many can't
// be read in any round. Each job has a try in each round, so that all are tried for readTime.
func (d *deployment) readAll(ids []string) (unreadable int) {
	statuses := make(map[string][]string, len(ids))
	left := ids
	for deadline := time.Now().Add(readTime); len(left) > 0 && time.Now().Before(deadline); time.Sleep(readPause) {
		left = d.readRound(left, statuses)
	}
	for _, id := range left {
		d.record.add("job %s can't be read: %s", id, strings.Join(statuses[id], " "))
	}
	return len(left)
}

// readRound tries to read each job once, and returns those that couldn't be read.
func (d *deployment) readRound(ids []string, statuses map[string][]string) (left []string) {
	queue := make(chan string, len(ids))
	for _, id := range ids {
		queue <- id
	}
	close(queue)
	var mutex sync.Mutex
	var readers sync.WaitGroup
	for range 4 * floodClients {
		readers.Go(func() {
			client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for id := range queue {
				status := d.read(&client, id)
				if status == strconv.Itoa(http.StatusOK) {
					continue
				}
				mutex.Lock()
				statuses[id] = append(statuses[id], status)
				left = append(left, id)
				mutex.Unlock()
			}
		})
	}
	readers.Wait()
	return left
}

// read returns the status with which a job's results are answered, or none.
func (d *deployment) read(client *http.Client, id string) string {
	h := d.hosts[rand.IntN(len(d.hosts))]
	r, err := http.NewRequest(http.MethodGet, "http://"+h.callers+"/api/lots/"+id+"?after=0", nil)
	if err != nil {
		return "none"
	}
	r.Host = routeHost
	response, err := client.Do(r)
	if err != nil {
		return "none"
	}
	response.Body.Close()
	return strconv.Itoa(response.StatusCode)
}
