package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const model = "daka510000"

const services = `{"name":"huvo11a","health_path":"/healthz","max_conns":140,"protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity":82271,"kv_bytes":35136,"models":[{"name":"daka510000"}]}},
	{"name":"wuno96b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}`

func rolloutRoute(name, prefix string) string {
	return fmt.Sprintf(template("route-rollout.json"), name, routeHost, prefix)
}

// plainTimeout is timeout_ms of the route of reward calls on the small sites.
const plainTimeout = 2000

func plainRoute(name, prefix string, attempts, timeoutMS int) string {
	return fmt.Sprintf(template("route-plain.json"), name, routeHost, prefix, timeoutMS, attempts)
}

func streamRoute(name, prefix string) string {
	return fmt.Sprintf(template("route-stream.json"), name, routeHost, prefix)
}

// workTime is the usual time of a plain request.
func workTime(string) time.Duration { return 80 * time.Millisecond }

// addWorkers starts model workers and plain workers. The first one has the first version of the
// software, all others the last one.
func (w *world) addWorkers(engines, plain int, software ...string) (list []*worker, err error) {
	for n := range engines {
		list = append(list, &worker{world: w, id: fmt.Sprintf("i-engine%d", n), service: "huvo11a", model: model, events: 20, gap: 20 * time.Millisecond})
	}
	for n := range plain {
		list = append(list, &worker{world: w, id: fmt.Sprintf("i-plain%d", n), service: "wuno96b", work: workTime})
	}
	for n, each := range list {
		if err := each.start(software[min(n, len(software)-1)]); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// addHosts starts hosts and waits until they are ready and share the batch jobs.
func (w *world) addHosts(status int, names ...string) error {
	for _, name := range names {
		if _, err := w.addHost(name, status); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.waitUntilReady(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		owners := make(map[string]bool)
		for n := range partitions {
			owners[w.store.ownerOf("job-owners", n)] = true
		}
		if !owners[""] && len(owners) >= min(2, len(names)) {
			time.Sleep(2 * time.Second) // the hosts learn of each other
			return nil
		}
	}
	return fmt.Errorf("%w: nobody works on the batch jobs", errCannotRun)
}

// submit hands in a batch job until it is accepted, and returns false if it isn't.
func (w *world) submit(h *host, job string, body []byte, path string) bool {
	for range 3 {
		status, _, _ := w.call(http.MethodPost, h.front, path+job, body, map[string]string{headerID: job, "Content-Type": "application/json"})
		w.log("client hands in batch job %s at %s: %d", job, h.name, status)
		switch status {
		case http.StatusAccepted:
			return true
		case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusBadGateway:
			time.Sleep(300 * time.Millisecond)
		default:
			return false
		}
	}
	return false
}

// collect reads a batch job until all results are listed or the time is over.
func (w *world) collect(h *host, job string, total int, limit time.Duration) (list []result) {
	for end := time.Now().Add(limit); len(list) < total && time.Now().Before(end); {
		status, p := w.readResults(h, job, len(list))
		if status != http.StatusOK {
			w.log("client reads batch job %s from position %d at %s: %d", job, len(list), h.name, status)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			w.log("client reads batch job %s: item %s is %s, %d bytes", job, r.ID, r.State, len(r.Text))
		}
		list = append(list, p.Results...)
	}
	return list
}

func (w *world) end(h *host, job string) {
	status, _, _ := w.call(http.MethodDelete, h.front, "/api/lots/"+job, nil, nil)
	w.log("client ends batch job %s at %s: %d", job, h.name, status)
}

// itemsOf returns the items of a job.
func itemsOf(job string, count int) (list []item) {
	for n := range count {
		list = append(list, item{id: fmt.Sprintf("%s-i%d", job, n), scorer: fmt.Sprintf("%s-s%d", job, n)})
	}
	return list
}

// playStaleConfiguration adds a route and hands in batch jobs there, while the connection on which
// one host waits for the operator's records has gone silent.
func playStaleConfiguration(w *world, trouble bool) (violations []string, err error) {
	if _, err := w.addWorkers(4, 2, "v1"); err != nil {
		return nil, err
	}
	before := plainRoute("r-score", "/pufi791/", 4, plainTimeout) + "," + rolloutRoute("r-first", "/pule252/")
	w.publish(1, before, services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	a := w.hosts[0]
	if body := jobBody(0, model, "/pule252/", "/pufi791/", itemsOf("first", 4)); !w.submit(a, "first", body, "/pule252/") {
		return nil, fmt.Errorf("%w: a batch job isn't accepted", errCannotRun)
	}
	if list := w.collect(a, "first", 4, 20*time.Second); len(list) < 4 || slices.ContainsFunc(list, func(r result) bool { return r.State != "completed" }) {
		return nil, fmt.Errorf("%w: a batch job without a disruption isn't done", errCannotRun)
	}
	w.end(a, "first")
	if trouble {
		w.silenceNextRead("b", wire("operators"))
	}
	w.publish(2, before+","+rolloutRoute("r-second", "/zuz5v28q/"), services)
	published := time.Now()
	time.Sleep(500 * time.Millisecond)
	var jobs []string
	for n := range 8 {
		job := fmt.Sprintf("second%d", n)
		body := jobBody(n, model, "/zuz5v28q/", "/pufi791/", itemsOf(job, 4))
		if w.submit(a, job, body, "/zuz5v28q/") {
			jobs = append(jobs, job)
			w.log("batch job %s lies in partition %d, which %s works on", job, w.store.partitionWithKey("keyed.jobs", "job/"+job), w.hostAt(w.store.ownerOf("job-owners", w.store.partitionWithKey("keyed.jobs", "job/"+job))))
		}
	}
	if len(jobs) == 0 {
		return nil, fmt.Errorf("%w: no batch job of the new route is accepted", errCannotRun)
	}
	for _, job := range jobs {
		list := w.collect(a, job, 4, 30*time.Second)
		for _, r := range list {
			if r.State == "errored" {
				violations = append(violations, fmt.Sprintf("MIXED: item %s of the open batch job %s is errored %.1f s after its route was added; no worker failed it", r.ID, job, time.Since(published).Seconds()))
			}
		}
		if len(list) < 4 {
			w.log("batch job %s: only %d of 4 items are listed", job, len(list))
		}
	}
	return violations, nil
}

// hostAt returns the name of the host with a peers' address.
func (w *world) hostAt(peer string) string {
	for _, h := range w.hosts {
		if h.peer == peer {
			return h.name
		}
	}
	return "nobody"
}

// silenceNextRead makes the connection of a host's next read of a topic go silent for good, and
// returns when that read has arrived. New connections work.
func (w *world) silenceNextRead(name, topic string) {
	arrived := make(chan struct{})
	var once sync.Once
	w.store.setWithhold(func(c storeCall) (silent bool) {
		if c.host == name && c.topic == topic && c.path == wire("read") {
			once.Do(func() {
				silent = true
				w.log("the connection of host %s to the store that reads %s goes silent", name, topic)
				close(arrived)
			})
		}
		return silent
	})
	<-arrived
}

// streamClient is a client of a resumable stream.
type streamClient struct {
	world *world
	id    string
	// last is the last event received; data has all of them.
	last int
	data []string
	done bool
	// begunAt is the stamp of the answer that brought the first event.
	begunAt string
}

// attempt sends one client attempt and reads events until the answer ends.
func (c *streamClient) attempt(h *host, number int) {
	id := c.id
	if number > 0 {
		id = fmt.Sprintf("%s-%d", c.id, number)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/lohu930/"+c.id, strings.NewReader("prompt of "+c.id))
	if err != nil {
		return
	}
	r.Host = routeHost
	r.Header.Set(headerID, id)
	r.Header.Set(headerDeadline, "15000")
	r.Header.Set(wire("x-lycheeladder-model"), model)
	if c.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
		r.Header.Set("Resumes", c.id)
	}
	response, err := c.world.client.Do(r)
	if err != nil {
		c.world.log("client attempt %s after event %d at %s: %v", id, c.last, h.name, err)
		return
	}
	defer response.Body.Close()
	c.world.log("client attempt %s after event %d at %s: %d from %s", id, c.last, h.name, response.StatusCode, response.Header.Get(headerStamp))
	if response.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			c.last, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			if len(c.data) == 0 {
				c.begunAt = response.Header.Get(headerStamp)
			}
			c.data = append(c.data, text)
		}
	}
	c.done = lines.Err() == nil
	c.world.log("client attempt %s ends after event %d, complete: %v", id, c.last, c.done)
}

// softwareSeen returns the software versions that made the events of the stream.
func (c *streamClient) softwareSeen() (list []string) {
	for _, data := range c.data {
		parts := strings.Split(data, ":")
		if v := parts[len(parts)-1]; !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

// playMixedSoftware restarts a worker with the next version of its software while it is cut off from
// the store.
func playMixedSoftware(w *world, trouble bool) (violations []string, err error) {
	const streams, engines = 40, 5
	workers, err := w.addWorkers(engines, 1, "v1", "v2")
	if err != nil {
		return nil, err
	}
	for _, each := range workers[:engines] {
		each.setLength(60, 50*time.Millisecond)
	}
	x := workers[0]
	w.publish(1, plainRoute("r-score", "/pufi791/", 4, plainTimeout)+","+streamRoute("r-chat", "/lohu930/"), services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	var clients []*streamClient
	var tasks sync.WaitGroup
	for n := range streams {
		c := &streamClient{world: w, id: fmt.Sprintf("stream%d", n)}
		clients = append(clients, c)
		tasks.Go(func() {
			for number := 0; number < 8 && !c.done; number++ {
				c.attempt(w.hosts[(n+number)%2], number)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for x.sinceHeartbeat() > heartbeat/4 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(heartbeat / 4)
	if trouble {
		x.setCut(true)
	}
	x.crash()
	time.Sleep(restartTime)
	if err := x.start("v2"); err != nil {
		return nil, err
	}
	tasks.Wait()
	mixed, begun := 0, 0
	for _, c := range clients {
		seen := c.softwareSeen()
		if strings.HasPrefix(c.begunAt, "stamp-"+x.id) {
			begun++
		}
		w.log("client %s: %d events, of software %v, complete: %v", c.id, len(c.data), seen, c.done)
		if len(seen) > 1 {
			mixed++
		}
	}
	w.log("%d of %d streams began at %s", begun, streams, x.id)
	if begun <= 2 {
		return nil, fmt.Errorf("%w: too few streams began at %s", errCannotRun, x.id)
	}
	if mixed > 2 {
		violations = append(violations, fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions", mixed, streams))
	}
	return violations, nil
}

// restartTime is how long a worker takes to start again.
const restartTime = time.Second

// playLateScorer makes all plain workers slow while an item's reward call is due.
func playLateScorer(w *world, trouble bool) (violations []string, err error) {
	const slowness, slowTime = 3.8, 8 * time.Second
	const longWork = 150 * time.Millisecond
	workers, err := w.addWorkers(4, 3, "v1")
	if err != nil {
		return nil, err
	}
	w.publish(1, plainRoute("r-score", "/pufi791/", 4, 500)+","+rolloutRoute("r-first", "/pule252/"), services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	slowUntil := time.Now()
	if trouble {
		slowUntil = time.Now().Add(slowTime)
		w.log("the plain workers are %.1f times slower for %v", slowness, slowTime)
	}
	for _, each := range workers[4:] {
		each.mutex.Lock()
		each.work = func(string) time.Duration {
			if time.Now().Before(slowUntil) {
				return time.Duration(float64(longWork) * slowness)
			}
			return longWork
		}
		each.mutex.Unlock()
	}
	a := w.hosts[0]
	items := itemsOf("first", 40)
	if !w.submit(a, "first", jobBody(0, model, "/pule252/", "/pufi791/", items), "/pule252/") {
		return nil, fmt.Errorf("%w: a batch job isn't accepted", errCannotRun)
	}
	list := w.collect(a, "first", len(items), 30*time.Second)
	for _, r := range list {
		n := slices.IndexFunc(items, func(i item) bool { return i.id == r.ID })
		failed := w.answersTo(items[n].scorer, http.StatusInternalServerError)
		if r.State == "errored" && failed == 0 {
			violations = append(violations, fmt.Sprintf("MIXED: item %s is errored; its reward call got %d answers of 500 and %d of 504", r.ID, failed, w.answersTo(items[n].scorer, http.StatusGatewayTimeout)))
		}
	}
	if len(list) < len(items) {
		w.log("only %d of %d items are listed", len(list), len(items))
	}
	return violations, nil
}

// shortStatusSeconds is status_s in the case of open jobs: with the 120 of the small sites it would
// take too long.
const shortStatusSeconds = 50

// playOpenJob hands in batch jobs whose clients leave without ending them, and reads them later.
func playOpenJob(w *world, trouble bool) (violations []string, err error) {
	const jobs, leaving, items = 5, 2, 4
	if _, err := w.addWorkers(4, 2, "v1"); err != nil {
		return nil, err
	}
	w.publish(1, plainRoute("r-score", "/pufi791/", 4, plainTimeout)+","+rolloutRoute("r-first", "/pule252/"), services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(shortStatusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	a, b := w.hosts[0], w.hosts[1]
	var open []string
	for n := range jobs {
		job := fmt.Sprintf("job%d", n)
		if !w.submit(a, job, jobBody(n, model, "/pule252/", "/pufi791/", itemsOf(job, items)), "/pule252/") {
			return nil, fmt.Errorf("%w: a batch job isn't accepted", errCannotRun)
		}
		if trouble && n < leaving {
			w.log("the client of batch job %s leaves", job)
			open = append(open, job)
			continue
		}
		if len(w.collect(a, job, items, 20*time.Second)) < items {
			return nil, fmt.Errorf("%w: a batch job isn't done", errCannotRun)
		}
		w.end(a, job)
	}
	submitted := time.Now()
	for _, after := range []time.Duration{5, shortStatusSeconds + 5, shortStatusSeconds + 50} {
		time.Sleep(time.Until(submitted.Add(after * time.Second)))
		for _, job := range open {
			for _, h := range w.hosts {
				status, p := w.readResults(h, job, 0)
				w.log("another client reads the open batch job %s at %s: %d, %d of %d items", job, h.name, status, len(p.Results), p.Total)
			}
			if status, p := w.readResults(b, job, 0); status == http.StatusNotFound {
				violations = append(violations, fmt.Sprintf("LOST: batch job %s is open; %d s after it was accepted its results are gone: %d, %d items", job, after, status, p.Total))
			}
		}
	}
	return violations, nil
}

// playTornJob hands in batch jobs of 2,048 items, each of them twice. The second client leaves before
// its answer. Then the hosts are stopped and started again, one after the other.
func playTornJob(w *world, trouble bool) (violations []string, err error) {
	const items = 2048
	w.store.onAppend = func(c storeCall, records []record) {
		if strings.HasPrefix(records[0].key, "piece/") {
			w.log("the store appends %d records of host %s, %s to %s, %d bytes", len(records), c.host, records[0].key, records[len(records)-1].key, len(c.body))
		}
	}
	workers, err := w.addWorkers(4, 3, "v1")
	if err != nil {
		return nil, err
	}
	for _, each := range workers {
		each.setLength(20, 100*time.Millisecond)
	}
	w.publish(1, plainRoute("r-score", "/pufi791/", 2, plainTimeout)+","+rolloutRoute("r-first", "/pule252/"), services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	a, b := w.hosts[0], w.hosts[1]
	var accepted []string
	for n, size := range promptSizes {
		job := fmt.Sprintf("7c41e09b52d6a3%02x", n)
		list := itemsOf(job, items)
		for i := range list {
			list[i].prefix, list[i].bodyBytes = promptPrefix(i), size
		}
		body := jobBody(n, model, "/pule252/", "/pufi791/", list)
		if !w.submit(a, job, body, "/pule252/") {
			continue
		}
		accepted = append(accepted, job)
		patience := 5 * time.Second
		if trouble {
			patience = firstPatience + time.Duration(n)*patienceStep
		}
		w.resend(b, job, body, "/pule252/", patience)
		status, p := w.readResults(b, job, 0)
		w.log("client reads batch job %s at b: %d, %d items", job, status, p.Total)
	}
	if len(accepted) == 0 {
		return nil, fmt.Errorf("%w: no batch job is accepted", errCannotRun)
	}
	for _, h := range w.hosts {
		h.terminate()
		if err := h.run(); err != nil {
			return nil, err
		}
		if err := h.waitUntilReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime + time.Second)
	for _, job := range accepted {
		if w.isGone(job) {
			violations = append(violations, fmt.Sprintf("LOST: batch job %s was accepted, both hosts answer 404 for it", job))
		}
	}
	return violations, nil
}

const (
	// firstPatience and patienceStep say when the second clients leave: at most half of goal_ms,
	// 500, after they have begun.
	firstPatience, patienceStep = 75 * time.Millisecond, 15 * time.Millisecond
)

// promptSizes are the sizes of the prompts of the batch jobs, in bytes. With one size in seven the
// end of an append falls within the headers of an item; these are some of them.
var promptSizes = []int{600, 616, 636, 645, 700, 712, 726, 737, 758, 780, 801, 802}

// promptPrefix returns the parts of a prompt: a conversation of some turns.
func promptPrefix(n int) string {
	var parts []string
	for turn := range 12 {
		parts = append(parts, fmt.Sprintf("%06x:%d", 0x9c2e41+1000*turn+n/8, 100+turn))
	}
	return strings.Join(parts, ",")
}

// resend hands in a batch job once more, and leaves after some time.
func (w *world) resend(h *host, job string, body []byte, path string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+path+job, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Host = routeHost
	r.Header.Set(headerID, job)
	response, err := w.client.Do(r)
	if err != nil {
		w.log("another client hands in batch job %s again at %s and leaves after %v", job, h.name, patience)
		return
	}
	defer response.Body.Close()
	w.log("another client hands in batch job %s again at %s: %d", job, h.name, response.StatusCode)
}

// playLateOrigin begins streams while the store leaves writes unanswered and does them late. Some
// seconds later all hosts are killed and started again, and the clients take their streams up.
func playLateOrigin(w *world, trouble bool) (violations []string, err error) {
	const streams, engines = 24, 5
	workers, err := w.addWorkers(engines, 1, "v2", "v2", "v1")
	if err != nil {
		return nil, err
	}
	for _, each := range workers[:engines] {
		each.setLength(60, 100*time.Millisecond)
	}
	w.publish(1, plainRoute("r-score", "/pufi791/", 4, plainTimeout)+","+streamRoute("r-chat", "/lohu930/"), services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	postponed := make(map[string]bool)
	writes := 0
	begin := time.Now()
	w.store.onAppend = func(c storeCall, records []record) {
		if c.topic == "keyed.origins" {
			var keys []string
			for _, r := range records {
				keys = append(keys, fmt.Sprintf("%s=%q", r.key, r.value))
			}
			w.log("the store appends to %s/%d for host %s: %v", c.topic, c.part, c.host, keys)
		}
	}
	if trouble {
		w.store.setPostpone(func(c storeCall) bool {
			mutex.Lock()
			defer mutex.Unlock()
			if time.Since(begin) > lossTime {
				return false
			}
			writes++
			key := c.host + "/" + strconv.Itoa(c.part)
			if c.topic != "keyed.origins" || postponed[key] {
				return false
			}
			postponed[key] = true
			w.log("an append of host %s to %s/%d isn't answered", c.host, c.topic, c.part)
			return true
		})
	}
	var clients []*streamClient
	var tasks sync.WaitGroup
	for n := range streams {
		c := &streamClient{world: w, id: fmt.Sprintf("stream%d", n)}
		clients = append(clients, c)
		tasks.Go(func() {
			for number := 0; number < 12 && !c.done; number++ {
				c.attempt(w.hosts[(n+number)%2], number)
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	time.Sleep(lateTime + 800*time.Millisecond)
	for _, h := range w.hosts {
		h.kill()
	}
	time.Sleep(time.Second)
	for _, h := range w.hosts {
		if err := h.run(); err != nil {
			return nil, err
		}
	}
	tasks.Wait()
	mutex.Lock()
	w.log("%d of %d appends were not answered", len(postponed), writes)
	mutex.Unlock()
	mixed, finished := 0, 0
	for _, c := range clients {
		seen := c.softwareSeen()
		w.log("client %s: %d events, of software %v, complete: %v", c.id, len(c.data), seen, c.done)
		if len(seen) > 1 {
			mixed++
		}
		if c.done {
			finished++
		}
	}
	if finished == 0 {
		return nil, fmt.Errorf("%w: no stream is finished", errCannotRun)
	}
	if mixed > 2 {
		violations = append(violations, fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions", mixed, streams))
	}
	return violations, nil
}

// lossTime is for how long the store leaves writes unanswered.
const lossTime = 4500 * time.Millisecond

// playSmuggledItem hands in a batch job with an item whose path holds a second request.
func playSmuggledItem(w *world, trouble bool) (violations []string, err error) {
	if _, err := w.addWorkers(4, 2, "v1"); err != nil {
		return nil, err
	}
	w.publish(1, plainRoute("r-score", "/pufi791/", 4, plainTimeout)+","+rolloutRoute("r-first", "/pule252/"), services)
	w.store.put(wire("operators"), "version/"+model, []byte(`{"model":"`+model+`","version":1}`))
	if err := w.addHosts(statusSeconds, "a", "b"); err != nil {
		return nil, err
	}
	a := w.hosts[0]
	path := "/pule252/"
	if trouble {
		path += "x HTTP/1.1\r\nHost: other.example\r\n" + headerID + ": nobody-sent-this\r\nContent-Length: 0\r\n\r\nPOST /pule252/"
	}
	if !w.submit(a, "first", jobBody(0, model, path, "/pufi791/", itemsOf("first", 4)), "/pule252/") {
		return nil, nil
	}
	w.collect(a, "first", 4, 10*time.Second)
	for _, id := range w.ranIDs() {
		if !strings.HasPrefix(id, "first-") {
			violations = append(violations, fmt.Sprintf("UNASKED: a worker runs request %s, which no client sent", id))
		}
	}
	return violations, nil
}

// playExtraRefusal sends requests that may run once to two workers that are often full, while one
// of them sends some answers twice.
func playExtraRefusal(w *world, trouble bool) (violations []string, err error) {
	const windows, windowTime, gapTime = 5, 5 * time.Second, 3 * time.Second
	const extra, slots, queue, clients = 0.03, 6, 4, 5
	workers, err := w.addWorkers(1, 2, "v1")
	if err != nil {
		return nil, err
	}
	for _, each := range workers[1:] {
		each.running, each.maxAdmitted = make(chan struct{}, slots), slots+queue
		each.work = func(string) time.Duration { return 10*time.Millisecond + rand.N(30*time.Millisecond) }
	}
	route := fmt.Sprintf(template("route-once.json"), routeHost)
	w.publish(1, route+","+rolloutRoute("r-first", "/pule252/"), services)
	if err := w.addHosts(statusSeconds, "a", "b", "c", "d", "e", "f", "g"); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var mutex sync.Mutex
	statuses := make(map[string]int)
	var tasks sync.WaitGroup
	for n, h := range w.hosts {
		for c := range clients {
			tasks.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprintf("book-%d-%d-%d", n, c, k)
					status, _, _ := w.call(http.MethodPost, h.front, "/lohu930/"+id, []byte("one seat"), map[string]string{headerID: id, headerDeadline: "2000"})
					w.log("client gets %d for %s at %s", status, id, h.name)
					mutex.Lock()
					statuses[id] = status
					mutex.Unlock()
				}
			})
		}
	}
	for range windows {
		if trouble {
			workers[1].setExtra(extra)
		}
		time.Sleep(windowTime)
		workers[1].setExtra(0)
		time.Sleep(gapTime)
	}
	close(stop)
	tasks.Wait()
	time.Sleep(time.Second)
	for id, count := range w.runCounts() {
		status := statuses[id]
		if count > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: request %s ran %d times, its client got %d", id, count, status))
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			w.log("also REFUSED: request %s ran %d times, its client got %d", id, count, status)
		}
	}
	w.log("%d requests were sent", len(statuses))
	return violations, nil
}
