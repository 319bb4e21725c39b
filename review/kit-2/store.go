package main

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings of the small deployments name them.
const (
	storePartitions = 12
	maxRecordBytes  = 262144
	maxCallBytes    = 2097152
	maxPartBytes    = 200 << 20
	maxTotalBytes   = 400 << 20
	maxReadBytes    = 1 << 20
	maxPageKeys     = 500
	maxPageBytes    = 1 << 20
	appendTime      = 2 * time.Millisecond
)

// fault is what the store does with a call of one host. The zero value serves the call.
type fault struct {
	// delay is the time for which the answer is held back.
	delay time.Duration
	// drop makes the call have its effect, at once or after late, and get no answer.
	drop bool
	late time.Duration
	// status is returned without any effect if it is not 0.
	status int
}

// store is a stand-in of the platform's store. Each host reaches it at an address of its own, so
// that it can be cut off from one host only.
type store struct {
	mutex   sync.Mutex
	parts   map[partKey]*part
	groups  map[string]*group
	changed chan struct{}
	total   int
	// faultOf returns the fault of a call; nil means none.
	faultOf func(host string, r *http.Request, body []byte) fault
}

type partKey struct {
	topic  string
	number int
}

// part is one partition. Offsets number its records from 0.
type part struct {
	first   int
	records [][]byte
	bytes   int
	newest  map[string]keyed
}

type keyed struct {
	value  []byte
	offset int
}

func newStore() *store {
	return &store{parts: make(map[partKey]*part), groups: make(map[string]*group), changed: make(chan struct{})}
}

// listen serves the calls of one host and returns the address for it.
func (s *store) listen(host string) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(host, w, r) })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) setFaults(f func(host string, r *http.Request, body []byte) fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faultOf = f
}

func (s *store) handle(host string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	var f fault
	if s.faultOf != nil {
		f = s.faultOf(host, r, body)
	}
	s.mutex.Unlock()
	if f.status != 0 {
		w.WriteHeader(f.status)
		return
	}
	if f.drop {
		time.AfterFunc(f.late, func() { s.serve(discard{}, r.Clone(context.Background()), body) })
		<-r.Context().Done()
		return
	}
	if f.delay > 0 {
		select {
		case <-time.After(f.delay):
		case <-r.Context().Done():
			return
		}
	}
	s.serve(w, r, body)
}

// discard is the writer of an answer that is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	number, _ := strconv.Atoi(q.Get("part")) // partition 0 if it is missing
	key := partKey{q.Get("topic"), number}
	switch r.URL.Path {
	case wire("append"):
		s.append(w, key, q.Get("at"), body)
	case wire("read"):
		s.read(w, r, key)
	case wire("newest"):
		s.page(w, key, q.Get("after"))
	case wire("join"):
		s.join(w, body)
	case "/api/log-leave":
		s.leave(w, body)
	case "/api/log-owners":
		s.owners(w, q.Get("group"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

// partition returns a partition, which is created on first use. The caller holds the mutex.
func (s *store) partition(k partKey) *part {
	p, ok := s.parts[k]
	if !ok {
		p = &part{newest: make(map[string]keyed)}
		s.parts[k] = p
	}
	return p
}

func (p *part) end() int { return p.first + len(p.records) }

// put writes a record as the operator or a worker does.
func (s *store) put(topic, key string, value []byte) {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.add(s.partition(partKey{topic, 0}), [][]byte{record})
}

// add appends records and wakes up the reads that wait. The caller holds the mutex.
func (s *store) add(p *part, records [][]byte) {
	for _, r := range records {
		key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = keyed{value, p.end()}
		}
		p.records = append(p.records, r)
		p.bytes += len(r)
		s.total += len(r)
	}
	for p.bytes > maxPartBytes {
		p.bytes -= len(p.records[0])
		s.total -= len(p.records[0])
		p.first++
		p.records = p.records[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, k partKey, at string, body []byte) {
	var records [][]byte
	size := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 5 || len(rest)-4 < int(binary.BigEndian.Uint32(rest)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > maxRecordBytes || n < 1+int(rest[4]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, slices.Clone(rest[4:4+n]))
		size += n
		rest = rest[4+n:]
	}
	if size > maxCallBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if k.topic == wire("operators") || k.topic == wire("targets") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(appendTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.partition(k)
	switch {
	case at != "" && at != strconv.Itoa(p.end()):
		reply(w, http.StatusPreconditionFailed, map[string]int{"end_offset": p.end()})
	case s.total+size > maxTotalBytes:
		w.WriteHeader(http.StatusInsufficientStorage)
	default:
		offset := p.end()
		s.add(p, records)
		reply(w, http.StatusOK, map[string]int{"offset": offset, "end_offset": p.end()})
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, k partKey) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	most := maxReadBytes
	if n, err := strconv.Atoi(q.Get("max_read_kb")); err == nil {
		most = n << 10
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // no wait if it is missing
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		p, changed := s.partition(k), s.changed
		first, end := p.first, p.end()
		var page [][]byte
		for n, size := from-first, 0; n >= 0 && n < len(p.records); n++ {
			if size += len(p.records[n]) + 4; size > most && len(page) > 0 {
				break
			}
			page = append(page, p.records[n])
		}
		s.mutex.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]int{"first": first})
			return
		}
		if len(page) > 0 || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, uint64(first))
			for _, record := range page {
				body = append(binary.BigEndian.AppendUint32(body, uint32(len(record))), record...)
			}
			_, _ = w.Write(body) // the caller may have left
			return
		}
		select {
		case <-changed:
		case <-timer:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) page(w http.ResponseWriter, k partKey, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mutex.Lock()
	p := s.partition(k)
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, cmp.Compare[string])
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		v := p.newest[key]
		size += base64.StdEncoding.EncodedLen(len(v.value)) + len(key)
		if len(items) > 0 && (len(items) == maxPageKeys || size > maxPageBytes) {
			more = true
			break
		}
		items = append(items, item{key, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	end := p.end()
	s.mutex.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}

// group deals the partitions of a topic to its members.
type group struct {
	generation int
	// expires has the members and when they count as gone.
	expires map[string]time.Time
	// assigned is whom a partition is meant for, held who has it.
	assigned, held map[int]string
}

func (s *store) groupOf(name string) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{expires: make(map[string]time.Time), assigned: make(map[int]string), held: make(map[int]string)}
		s.groups[name] = g
	}
	now := time.Now()
	for m, at := range g.expires {
		if at.Before(now) {
			g.remove(m)
		}
	}
	return g
}

func (g *group) remove(member string) {
	delete(g.expires, member)
	for n, m := range g.held {
		if m == member {
			delete(g.held, n)
		}
	}
	g.deal()
}

// deal assigns the partitions evenly and moves as few as possible.
func (g *group) deal() {
	g.generation++
	var members []string
	for m := range g.expires {
		members = append(members, m)
	}
	slices.Sort(members)
	if len(members) == 0 {
		clear(g.assigned)
		return
	}
	most := (storePartitions + len(members) - 1) / len(members)
	counts := make(map[string]int)
	for n := range storePartitions {
		m := g.assigned[n]
		if _, ok := g.expires[m]; !ok || counts[m] == most {
			delete(g.assigned, n)
			continue
		}
		counts[m]++
	}
	for n := range storePartitions {
		if _, ok := g.assigned[n]; ok {
			continue
		}
		m := slices.MinFunc(members, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
		g.assigned[n] = m
		counts[m]++
	}
}

type membership struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int      `json:"ttl_ms"`
	Generation int      `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, body []byte) {
	var c membership
	if json.Unmarshal(body, &c) != nil || len(c.Topics) != 1 || c.TTLMS < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.groupOf(c.Group)
	_, known := g.expires[c.Member]
	g.expires[c.Member] = time.Now().Add(time.Duration(c.TTLMS) * time.Millisecond)
	if !known {
		g.deal()
	}
	rows := [][]any{}
	for n := range storePartitions {
		holder, taken := g.held[n]
		switch {
		case g.assigned[n] == c.Member && (!taken || holder == c.Member):
			g.held[n] = c.Member
			rows = append(rows, []any{c.Topics[0], n, 0})
		case holder == c.Member && g.assigned[n] != c.Member && c.Generation >= g.generation:
			delete(g.held, n) // the member was told before that it loses the partition
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var c membership
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.groupOf(c.Group).remove(c.Member)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := [][]any{}
	for n, m := range s.groupOf(name).held {
		rows = append(rows, []any{"keyed.jobs", n, m, 0})
	}
	reply(w, http.StatusOK, rows)
}
