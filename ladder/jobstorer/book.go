package jobstorer

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Every key but those of texts is written once and then only dropped, so that the newest record of
// each key tells the same as the whole history:
//
//	piece/JOB/N   part N of the encoded submission
//	job/JOB       the number of its pieces; the job exists from here on
//	text/JOB/ITEM part of an item's text, until its result; may be written again
//	result/JOB/N  the result at position N
//	end/JOB       the job is ended
//
// The position of a result is chosen by whoever writes it, from a complete copy.
const (
	prefixPiece    = "piece/"
	prefixJob      = "job/"
	prefixProgress = "text/"
	prefixResult   = "result/"
	prefixEnd      = "end/"
)

// entry is one job in a book.
type entry struct {
	submission Submission
	// received is when the job was accepted, by the own clock.
	received time.Time
	// results are dense: position N is known before N+1.
	results []Result
	// listed has the position of each item with a result.
	listed map[identifier.ItemID]int
	// progress has the parts of texts of items without a result.
	progress map[identifier.ItemID]Progress
	ended    bool
	// changed is closed at the next result or the end.
	changed chan struct{}
}

// book is the copy of one partition's jobs.
type book struct {
	clock clockwork.Clock
	// notify is called after each change.
	notify func()

	mutex sync.Mutex
	// pieces has the parts of submissions whose job record is still to come.
	pieces map[string][]byte
	jobs   map[identifier.JobID]*entry
}

func newBook(clock clockwork.Clock, notify func()) *book {
	return &book{
		clock: clock, notify: notify,
		pieces: make(map[string][]byte), jobs: make(map[identifier.JobID]*entry),
	}
}

// Reset implements storer.Sink.
func (b *book) Reset(records []storer.Record) {
	slices.SortFunc(records, byMeaning)
	defer b.notify()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.jobs
	b.pieces, b.jobs = make(map[string][]byte), make(map[identifier.JobID]*entry)
	for _, r := range records {
		b.take(r, true)
	}
	for id, e := range before {
		if now, ok := b.jobs[id]; ok {
			now.received = e.received
		}
		close(e.changed)
	}
}

// ranks is the order in which records of a job give each other their meaning. A
// job that was handed in twice has its newest records after its results.
var ranks = map[string]int{prefixPiece: 0, prefixJob: 1, prefixProgress: 2, prefixResult: 3, prefixEnd: 4}

func byMeaning(a, b storer.Record) int {
	return cmp.Or(cmp.Compare(rankOf(a.Key), rankOf(b.Key)), cmp.Compare(a.Offset, b.Offset))
}

func rankOf(key string) int {
	kind, _, _ := strings.Cut(key, "/")
	return ranks[kind+"/"]
}

// Apply implements storer.Sink.
func (b *book) Apply(records []storer.Record) {
	defer b.notify()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, r := range records {
		b.take(r, false)
	}
}

// take folds one record; one that can't be folded hurts no other. The caller
// holds the mutex.
func (b *book) take(r storer.Record, old bool) {
	storer.TryApply(r, func() { b.fold(r, old) })
}

func (b *book) fold(r storer.Record, old bool) {
	kind, rest, _ := strings.Cut(r.Key, "/")
	switch kind + "/" {
	case prefixPiece:
		if len(r.Value) == 0 {
			delete(b.pieces, rest)
			return
		}
		b.pieces[rest] = r.Value
	case prefixJob:
		b.takeJob(identifier.JobID(rest), r, old)
	case prefixProgress:
		job, item, _ := strings.Cut(rest, "/")
		b.takeProgress(identifier.JobID(job), identifier.ItemID(item), r)
	case prefixResult:
		b.takeResult(rest, r)
	case prefixEnd:
		if e, ok := b.jobs[identifier.JobID(rest)]; ok && len(r.Value) > 0 && !e.ended {
			e.ended = true
			e.signal()
		}
	}
}

func (b *book) takeJob(id identifier.JobID, r storer.Record, old bool) {
	if len(r.Value) == 0 {
		if e, ok := b.jobs[id]; ok {
			e.signal()
			delete(b.jobs, id)
		}
		return
	}
	if _, known := b.jobs[id]; known {
		b.dropPieces(id, r.Value)
		return
	}
	s, err := b.assemble(id, r.Value)
	if err != nil {
		klog.ErrorS(err, "unreadable batch job left out", "job", id, "offset", r.Offset)
		return
	}
	now := b.clock.Now()
	e := &entry{submission: s, received: now, listed: make(map[identifier.ItemID]int), progress: make(map[identifier.ItemID]Progress), changed: make(chan struct{})}
	if old {
		e.received = now.Add(-max(0, now.Sub(time.UnixMilli(s.AcceptedAt))))
	}
	b.jobs[id] = e
	klog.InfoS("batch job known", "job", id, "items", len(s.Items), "model", s.Model, "oldest-version", s.MinVersion, "offset", r.Offset)
}

// dropPieces forgets the pieces of a job that was handed in again.
func (b *book) dropPieces(id identifier.JobID, count []byte) {
	pieces, err := strconv.Atoi(string(count))
	if err != nil {
		return
	}
	for n := range min(pieces, len(b.pieces)) {
		delete(b.pieces, pieceName(id, n))
	}
}

func (b *book) assemble(id identifier.JobID, count []byte) (s Submission, err error) {
	pieces, err := strconv.Atoi(string(count))
	if err != nil {
		return s, errors.Wrap(err, "number of pieces")
	}
	if pieces < 1 || pieces > len(b.pieces) {
		return s, errors.Errorf("%d pieces, of which there are at most %d", pieces, len(b.pieces))
	}
	var data []byte
	for n := range pieces {
		key := pieceName(id, n)
		data = append(data, b.pieces[key]...)
		delete(b.pieces, key)
	}
	return s, errors.Wrap(cbor.Unmarshal(data, &s), "submission")
}

func (b *book) takeResult(rest string, r storer.Record) {
	at := strings.LastIndexByte(rest, '/')
	if at < 0 || len(r.Value) == 0 {
		return
	}
	e, ok := b.jobs[identifier.JobID(rest[:at])]
	position, err := strconv.Atoi(rest[at+1:])
	if !ok || err != nil || position != len(e.results) {
		return
	}
	var result Result
	if err := cbor.Unmarshal(r.Value, &result); err != nil {
		klog.ErrorS(err, "unreadable result left out", "key", r.Key, "offset", r.Offset)
		return
	}
	e.listed[result.Item] = position
	delete(e.progress, result.Item)
	e.results = append(e.results, result)
	e.signal()
}

// signal wakes those who wait for a change. The caller holds the book's mutex.
func (e *entry) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func pieceName(id identifier.JobID, n int) string { return string(id) + "/" + strconv.Itoa(n) }

func submissionRecords(id identifier.JobID, data []byte, pieceBytes int) (records []storer.Record) {
	count := 0
	for ; len(data) > 0; count++ {
		size := min(pieceBytes, len(data))
		records = append(records, storer.Record{Key: prefixPiece + pieceName(id, count), Value: data[:size]})
		data = data[size:]
	}
	return append(records, storer.Record{Key: prefixJob + string(id), Value: []byte(strconv.Itoa(count))})
}

// resultRecords gives those results a position that have none yet, up to
// maxBytes.
func (b *book) resultRecords(outcomes []JobResult, maxBytes int) (records []storer.Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	next := make(map[identifier.JobID]int)
	taken := make(map[string]bool)
	size := 0
	for _, o := range outcomes {
		e, ok := b.jobs[o.Job]
		if !ok || taken[string(o.Job)+"/"+string(o.Result.Item)] {
			continue
		}
		if _, listed := e.listed[o.Result.Item]; listed {
			continue
		}
		value, err := cbor.Marshal(o.Result)
		if err != nil {
			klog.ErrorS(err, "result can't be encoded", "job", o.Job, "item", o.Result.Item)
			continue
		}
		if size += len(value) + recordOverhead; size > maxBytes && len(records) > 0 {
			break
		}
		position := len(e.results) + next[o.Job]
		next[o.Job]++
		taken[string(o.Job)+"/"+string(o.Result.Item)] = true
		records = append(records, storer.Record{Key: prefixResult + pieceName(o.Job, position), Value: value})
		if _, ok := e.progress[o.Result.Item]; ok {
			records = append(records, storer.Record{Key: progressName(o.Job, o.Result.Item)})
		}
	}
	return records
}

// dropRecords drops jobs that have been settled for longer than keep.
func (b *book) dropRecords(keep time.Duration) (records []storer.Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, e := range b.jobs {
		settled := e.ended || len(e.results) == len(e.submission.Items)
		if !settled || b.clock.Since(e.received) < keep {
			continue
		}
		for n := range e.results {
			records = append(records, storer.Record{Key: prefixResult + pieceName(id, n)})
		}
		for item := range e.progress {
			records = append(records, storer.Record{Key: progressName(id, item)})
		}
		data, err := cbor.Marshal(e.submission)
		if err != nil {
			klog.ErrorS(err, "batch job can't be encoded", "job", id)
			continue
		}
		for n := 0; n*leastPieceBytes <= len(data); n++ {
			records = append(records, storer.Record{Key: prefixPiece + pieceName(id, n)})
		}
		records = append(records, storer.Record{Key: prefixEnd + string(id)}, storer.Record{Key: prefixJob + string(id)})
		if len(records) > dropRecordsAtOnce {
			break
		}
	}
	return records
}

// unlisted returns the outcomes that still wait for a position.
func (b *book) unlisted(outcomes []JobResult) (rest []JobResult) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, o := range outcomes {
		if e, ok := b.jobs[o.Job]; ok {
			if _, listed := e.listed[o.Result.Item]; !listed {
				rest = append(rest, o)
			}
		}
	}
	return rest
}

func (b *book) open() (list []Job) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.jobs {
		if e.ended || len(e.results) == len(e.submission.Items) {
			continue
		}
		j := Job{Submission: e.submission, Age: b.clock.Since(e.received), Recorded: make(map[identifier.ItemID]bool, len(e.listed))}
		for id := range e.listed {
			j.Recorded[id] = true
		}
		list = append(list, j)
	}
	return list
}

// wanted says whether the item still waits for a result.
func (b *book) wanted(job identifier.JobID, item identifier.ItemID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e, ok := b.jobs[job]
	if !ok || e.ended {
		return false
	}
	_, listed := e.listed[item]
	return !listed
}

func (b *book) addDemand(demand map[identifier.ModelName]identifier.TokenCount) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.jobs {
		if e.submission.Model == "" || b.clock.Since(e.received) > demandAge {
			continue
		}
		for n := range e.submission.Items {
			demand[e.submission.Model] += e.submission.Items[n].MaxTokens
		}
	}
}
