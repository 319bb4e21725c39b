package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The platform's store, as PROTOCOL.md describes it under "The platform's metadata store".

const (
	// appendTime and bytesPerSecond are append_ms and part_mb_s of the small sites.
	appendTime, bytesPerSecond = 2 * time.Millisecond, 20 << 20
	// maxPageRecords and maxPageBytes bound a page of newest records.
	maxPageRecords, maxPageBytes = 500, 1 << 20
	// defaultReadKB is the default of max_read_kb.
	defaultReadKB = 1024
)

type record struct {
	key   string
	value []byte
}

// partition is one partition of a topic. It is guarded by the store's mutex.
type partition struct {
	records []record
	// newest maps each key to the offset of its newest record.
	newest map[string]int
	// changed is closed at the next append.
	changed chan struct{}
	// appending is held by an append that is under way: a partition takes one at a time.
	appending sync.Mutex
}

type partitionKey struct {
	topic  string
	number int
}

// storeCall is a call of a host to the store.
type storeCall struct {
	host string
	path string
	// topic, part and body are empty or 0 where the call has none.
	topic string
	part  int
	body  []byte
}

// store is the stand-in of the platform's store. Each host has a listener of its own.
type store struct {
	partitions int

	mutex  sync.Mutex
	logs   map[partitionKey]*partition
	groups map[string]*group
	// withhold, if set, reports whether the connection of a call has gone silent: nothing more
	// arrives on it.
	withhold func(storeCall) bool
	// postpone, if set, reports whether an append isn't answered and done only lateTime later.
	postpone func(storeCall) bool
	// onAppend, if set, is called for each append that is done. It must not call the store.
	onAppend func(c storeCall, records []record)
}

func newStore(partitions int) *store {
	return &store{partitions: partitions, logs: make(map[partitionKey]*partition), groups: make(map[string]*group)}
}

// lateTime is how late an append is done that isn't answered.
const lateTime = 3 * time.Second

// discard is the http.ResponseWriter of an answer that nobody gets.
type discard struct{}

func (discard) Header() http.Header            { return make(http.Header) }
func (discard) Write(text []byte) (int, error) { return len(text), nil }
func (discard) WriteHeader(int)                {}

// setPostpone sets the fault for the appends that arrive from now on.
func (s *store) setPostpone(f func(storeCall) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.postpone = f
}

// setWithhold sets the fault for the calls that arrive from now on.
func (s *store) setWithhold(f func(storeCall) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.withhold = f
}

// listen starts a listener for a host and returns its address.
func (s *store) listen(host string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(host, w, r) })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) partition(topic string, number int) *partition {
	k := partitionKey{topic, number}
	p, ok := s.logs[k]
	if !ok {
		p = &partition{newest: make(map[string]int), changed: make(chan struct{})}
		s.logs[k] = p
	}
	return p
}

func (p *partition) append(records []record) {
	for _, r := range records {
		p.newest[r.key] = len(p.records)
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// put writes a record as the operator, a trainer or a worker does. It is acknowledged when put
// returns.
func (s *store) put(topic, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.partition(topic, 0).append([]record{{key, value}})
}

// partitionWithKey returns the partition of a topic that has a key, or -1.
func (s *store) partitionWithKey(topic, key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, p := range s.logs {
		if _, ok := p.newest[key]; ok && k.topic == topic {
			return k.number
		}
	}
	return -1
}

// ownerOf returns the member of a group that holds a partition.
func (s *store) ownerOf(name string, part int) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g, ok := s.groups[name]
	if !ok {
		return ""
	}
	g.expire()
	return g.holds[part]
}

func (s *store) serve(host string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	number, _ := strconv.Atoi(query.Get("part"))
	call := storeCall{host: host, path: r.URL.Path, topic: query.Get("topic"), part: number, body: body}
	s.mutex.Lock()
	withhold, postpone := s.withhold, s.postpone
	s.mutex.Unlock()
	if r.URL.Path == wire("append") && postpone != nil && postpone(call) {
		time.AfterFunc(lateTime, func() { s.serveAppend(discard{}, call, query.Get("at")) })
		<-r.Context().Done()
		return
	}
	if withhold != nil && withhold(call) {
		<-r.Context().Done()
		return
	}
	if number < 0 || number >= s.partitions {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case wire("append"):
		s.serveAppend(w, call, query.Get("at"))
	case wire("read"):
		s.serveRead(w, r, call)
	case wire("newest"):
		s.serveNewest(w, call, query.Get("after"))
	case wire("join"), wire("leave"):
		s.serveMember(w, call)
	case wire("owners"):
		s.serveOwners(w, query.Get("group"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func parseRecords(body []byte) (records []record, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size < 1 || len(body) < size || size < 1+int(body[0]) {
			return nil, false
		}
		end := 1 + int(body[0])
		records = append(records, record{key: string(body[1:end]), value: slices.Clone(body[end:size])})
		body = body[size:]
	}
	return records, true
}

func (s *store) serveAppend(w http.ResponseWriter, c storeCall, at string) {
	records, ok := parseRecords(c.body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.topic == wire("operators") || c.topic == wire("targets") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	p := s.partition(c.topic, c.part)
	s.mutex.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(c.body))/bytesPerSecond*float64(time.Second)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at != "" && at != strconv.Itoa(len(p.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": len(p.records)})
		return
	}
	offset := len(p.records)
	if s.onAppend != nil {
		s.onAppend(c, records)
	}
	if len(records) > 0 {
		p.append(records)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": len(p.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, c storeCall) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := defaultReadKB
	if n, err := strconv.Atoi(query.Get("max_read_kb")); err == nil {
		limit = n
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		s.mutex.Lock()
		p := s.partition(c.topic, c.part)
		count, changed := len(p.records), p.changed
		s.mutex.Unlock()
		if count > from {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.partition(c.topic, c.part)
	body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for n := from; n < len(p.records) && (n == from || len(body) < limit<<10); n++ {
		body = appendRecord(body, p.records[n])
	}
	_, _ = w.Write(body)
}

func appendRecord(body []byte, r record) []byte {
	body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
	return append(append(append(body, byte(len(r.key))), r.key...), r.value...)
}

func (s *store) serveNewest(w http.ResponseWriter, c storeCall, after string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.partition(c.topic, c.part)
	var keys []string
	for key, offset := range p.newest {
		if key > after && len(p.records[offset].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, more := 0, false
	for _, key := range keys {
		offset := p.newest[key]
		value := p.records[offset].value
		if size += len(value); len(items) > 0 && (len(items) >= maxPageRecords || size > maxPageBytes) {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": len(p.records)})
}

// group is a consumer group of one topic. It is guarded by the store's mutex.
type group struct {
	partitions int
	topic      string
	generation int
	// members maps each member to the time at which it expires.
	members map[string]time.Time
	// wanted and holds map partitions to members: as they should be, and as they are.
	wanted, holds map[int]string
	// listedIn is the generation of the last answer to each member.
	listedIn map[string]int
}

type memberCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int      `json:"ttl_ms"`
	Generation int      `json:"generation"`
}

// expire removes the members that have been silent for too long.
func (g *group) expire() {
	for name, until := range g.members {
		if time.Now().After(until) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if _, ok := g.members[name]; !ok {
		return
	}
	delete(g.members, name)
	for p, holder := range g.holds {
		if holder == name {
			delete(g.holds, p)
		}
	}
	g.deal()
}

// deal distributes the partitions evenly and moves as few as possible.
func (g *group) deal() {
	g.generation++
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) == 0 {
		g.wanted = make(map[int]string)
		return
	}
	count := make(map[string]int)
	most := (g.partitions + len(names) - 1) / len(names)
	for p := range g.partitions {
		name := g.wanted[p]
		if _, ok := g.members[name]; !ok || count[name] >= most {
			delete(g.wanted, p)
			continue
		}
		count[name]++
	}
	for p := range g.partitions {
		if _, ok := g.wanted[p]; ok {
			continue
		}
		least := names[0]
		for _, name := range names {
			if count[name] < count[least] {
				least = name
			}
		}
		g.wanted[p] = least
		count[least]++
	}
}

func (s *store) serveMember(w http.ResponseWriter, c storeCall) {
	var m memberCall
	if json.Unmarshal(c.body, &m) != nil || m.Group == "" || m.Member == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g, ok := s.groups[m.Group]
	if !ok {
		g = &group{
			partitions: s.partitions, members: make(map[string]time.Time), wanted: make(map[int]string), holds: make(map[int]string),
			listedIn: make(map[string]int),
		}
		s.groups[m.Group] = g
	}
	g.expire()
	if c.path == wire("leave") {
		g.remove(m.Member)
		w.WriteHeader(http.StatusOK)
		return
	}
	if len(m.Topics) > 0 {
		g.topic = m.Topics[0]
	}
	_, known := g.members[m.Member]
	g.members[m.Member] = time.Now().Add(time.Duration(m.TTLMS) * time.Millisecond)
	if !known {
		g.deal()
	}
	// The member has read a list without the partitions that are no longer its own.
	if known && m.Generation >= g.generation && g.listedIn[m.Member] >= g.generation {
		for p, holder := range g.holds {
			if holder == m.Member && g.wanted[p] != m.Member {
				delete(g.holds, p)
			}
		}
	}
	rows := [][]any{}
	for p := range g.partitions {
		holder, held := g.holds[p]
		if g.wanted[p] == m.Member && (!held || holder == m.Member) {
			g.holds[p] = m.Member
			rows = append(rows, []any{g.topic, p, 0})
		}
	}
	g.listedIn[m.Member] = g.generation
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) serveOwners(w http.ResponseWriter, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := [][]any{}
	if g, ok := s.groups[name]; ok {
		g.expire()
		for p := range g.partitions {
			if holder, held := g.holds[p]; held {
				rows = append(rows, []any{g.topic, p, holder, 0})
			}
		}
	}
	writeJSON(w, http.StatusOK, rows)
}
