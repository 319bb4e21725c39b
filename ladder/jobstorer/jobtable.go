package jobstorer

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/batch/roomkeeper"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Records are only written once and later deleted, except for those of partial texts, so
// that the latest record of each key is equivalent to the whole history:
//
//	piece/JOB/DIGEST/N  piece N of the encoded submission, see pieces.go
//	job/JOB             a jobRecord; the job exists from this record on
//	text/JOB/ITEM       partial text of an item without a result; may be overwritten
//	result/JOB/N        the result at position N
//	end/JOB             the job has ended; may be written before the job, see end.go
//
// The writer of a result chooses its position from a complete copy.
const (
	prefixPiece    = "piece/"
	prefixJob      = "job/"
	prefixProgress = "text/"
	prefixResult   = "result/"
	prefixEnd      = "end/"
)

// jobState is what is known of one job.
type jobState struct {
	submission Submission
	// acceptedAt is the time of acceptance on the local clock.
	acceptedAt time.Time
	// pieceKeys are the keys of its pieces, after prefixPiece.
	pieceKeys map[string]bool
	// results has no gaps: position N is known before N+1.
	results []Result
	// positions maps each item with a result to the position of that result.
	positions map[identifier.ItemID]int
	// progress holds the partial text of items without a result.
	progress map[identifier.ItemID]Progress
	ended    bool
	// held is the memory of the submission and the results.
	held *budgeter.Reservation
	// changed is closed at the next result or when the job ends.
	changed chan struct{}
	// resultUnreadable is set once the record of the position after results can't be read. Later
	// positions are unknown then, and none is assigned.
	resultUnreadable bool
}

// unreadableJob is a job whose record or pieces can't be decoded.
type unreadableJob struct {
	// pieceKeys are the keys that its pieces may have, after prefixPiece.
	pieceKeys map[string]bool
	readAt    time.Time
	ended     bool
}

// jobTable is the local copy of the jobs of one partition.
type jobTable struct {
	clock clockwork.Clock
	// notify is called after each change.
	notify func()
	// memory is nil if jobs are not accounted for.
	memory *budgeter.Budgeter
	rooms  *roomkeeper.Keeper

	mutex sync.Mutex
	// pieces holds parts of submissions whose job record has not been read yet, by their
	// keys after prefixPiece.
	pieces map[string]piece
	jobs   map[identifier.JobID]*jobState
	// unreadable and jobs have no job in common.
	unreadable map[identifier.JobID]*unreadableJob
	// earlyEnds has the ends of jobs that are not known yet. A submission whose response was lost
	// may be stored after its client has ended the job.
	earlyEnds map[identifier.JobID]earlyEnd
}

func newJobTable(clock clockwork.Clock, notify func()) *jobTable {
	return &jobTable{
		clock: clock, notify: notify, rooms: roomkeeper.New(clock, 0),
		pieces: make(map[string]piece), jobs: make(map[identifier.JobID]*jobState), unreadable: make(map[identifier.JobID]*unreadableJob),
		earlyEnds: make(map[identifier.JobID]earlyEnd),
	}
}

// Reset implements storer.Sink.
func (t *jobTable) Reset(records []storer.Record) {
	slices.SortFunc(records, compareByKind)
	defer t.notify()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	previous := t.jobs
	t.pieces, t.jobs, t.unreadable = make(map[string]piece), make(map[identifier.JobID]*jobState), make(map[identifier.JobID]*unreadableJob)
	t.earlyEnds = make(map[identifier.JobID]earlyEnd)
	for _, r := range records {
		t.applyRecord(r, true)
	}
	for id, state := range previous {
		if current, ok := t.jobs[id]; ok {
			current.acceptedAt = state.acceptedAt
		} else {
			t.rooms.Release(id)
		}
		state.held.Release()
		close(state.changed)
	}
}

// kindOrder is the order in which the records of a job depend on each other. A job
// that was submitted again has newer job records than results.
var kindOrder = map[string]int{prefixPiece: 0, prefixJob: 1, prefixProgress: 2, prefixResult: 3, prefixEnd: 4}

func compareByKind(a, b storer.Record) int {
	return cmp.Or(cmp.Compare(kindOrderOf(a.Key), kindOrderOf(b.Key)), cmp.Compare(a.Offset, b.Offset))
}

func kindOrderOf(key string) int {
	kind, _, _ := strings.Cut(key, "/")
	return kindOrder[kind+"/"]
}

// Apply implements storer.Sink.
func (t *jobTable) Apply(records []storer.Record) {
	defer t.notify()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, r := range records {
		t.applyRecord(r, false)
	}
}

// applyRecord applies one record; a record that causes a panic does not affect the
// others. The caller must hold the mutex.
func (t *jobTable) applyRecord(r storer.Record, replayed bool) {
	storer.TryApply(r, func() { t.applyByKind(r, replayed) })
}

func (t *jobTable) applyByKind(r storer.Record, replayed bool) {
	kind, rest, _ := strings.Cut(r.Key, "/")
	switch kind + "/" {
	case prefixPiece:
		t.applyPiece(rest, r.Value)
	case prefixJob:
		t.applyJob(identifier.JobID(rest), r, replayed)
	case prefixProgress:
		job, item, _ := strings.Cut(rest, "/")
		t.applyProgress(identifier.JobID(job), identifier.ItemID(item), r)
	case prefixResult:
		t.applyResult(rest, r)
	case prefixEnd:
		t.applyEnd(identifier.JobID(rest), r)
	}
}

func (t *jobTable) applyEnd(id identifier.JobID, r storer.Record) {
	if len(r.Value) == 0 {
		delete(t.earlyEnds, id)
		return
	}
	by := endedBy(r.Value)
	state, known := t.jobs[id]
	job, unreadable := t.unreadable[id]
	switch {
	case known && !state.ended && by.mayEnd(state.submission.Account):
		state.ended = true
		state.signal()
	case unreadable:
		job.ended = true
	case !known:
		t.earlyEnds[id] = earlyEnd{by: by, readAt: t.clock.Now()}
	}
}

func (t *jobTable) applyJob(id identifier.JobID, r storer.Record, replayed bool) {
	if len(r.Value) == 0 {
		delete(t.unreadable, id)
		if state, ok := t.jobs[id]; ok {
			state.signal()
			state.held.Release()
			t.rooms.Release(id)
			delete(t.jobs, id)
		}
		return
	}
	if state, known := t.jobs[id]; known {
		t.logOtherAccount(id, state, r)
		t.dropPieces(id, state, r.Value)
		return
	}
	s, keys, size, err := t.assemble(id, r.Value)
	if err != nil {
		klog.ErrorS(err, "batch job can't be read, its records are kept", "job", id, "offset", r.Offset)
		t.addUnreadable(id)
		return
	}
	delete(t.unreadable, id)
	now := t.clock.Now()
	state := &jobState{submission: s, acceptedAt: now, pieceKeys: keys, positions: make(map[identifier.ItemID]int), progress: make(map[identifier.ItemID]Progress), changed: make(chan struct{})}
	state.held = t.memory.Hold(s.size())
	t.rooms.Hold(id, size)
	if replayed {
		state.acceptedAt = now.Add(-max(0, now.Sub(time.UnixMilli(s.AcceptedAt))))
	}
	t.jobs[id] = state
	if end, ok := t.earlyEnds[id]; ok {
		delete(t.earlyEnds, id)
		state.ended = end.by.mayEnd(s.Account)
	}
	klog.InfoS("batch job known", "job", id, "items", len(s.Items), "model", s.Model, "oldest-version", s.MinVersion, "offset", r.Offset)
}

func (t *jobTable) applyResult(rest string, r storer.Record) {
	at := strings.LastIndexByte(rest, '/')
	if at < 0 || len(r.Value) == 0 {
		return
	}
	state, ok := t.jobs[identifier.JobID(rest[:at])]
	position, err := strconv.Atoi(rest[at+1:])
	if !ok || err != nil || position != len(state.results) || state.resultUnreadable {
		return
	}
	var result Result
	if err := serializer.Decode(r.Value, &result); err != nil {
		klog.ErrorS(err, "result can't be read, the job has no further ones here", "key", r.Key, "offset", r.Offset)
		state.resultUnreadable = true
		return
	}
	state.positions[result.Item] = position
	delete(state.progress, result.Item)
	state.results = append(state.results, result)
	state.held.Hold(int64(len(result.Text)))
	state.signal()
}

// signal wakes up the callers that wait for a change. The caller must hold the
// table's mutex.
func (state *jobState) signal() {
	close(state.changed)
	state.changed = make(chan struct{})
}

func indexedKey(id identifier.JobID, n int) string { return string(id) + "/" + strconv.Itoa(n) }

// resultRecords assigns positions to results that have none yet, and returns their
// records, up to maxBytes.
func (t *jobTable) resultRecords(results []JobResult, maxBytes int) (records []storer.Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := make(map[identifier.JobID]int)
	assigned := make(map[string]bool)
	size := 0
	for _, r := range results {
		state, ok := t.jobs[r.Job]
		if !ok || state.resultUnreadable || assigned[string(r.Job)+"/"+string(r.Result.Item)] {
			continue
		}
		if _, recorded := state.positions[r.Result.Item]; recorded {
			continue
		}
		value, err := serializer.Encode(r.Result)
		if err != nil {
			klog.ErrorS(err, "result can't be encoded", "job", r.Job, "item", r.Result.Item)
			continue
		}
		if size += len(value) + recordOverhead; size > maxBytes && len(records) > 0 {
			break
		}
		position := len(state.results) + next[r.Job]
		next[r.Job]++
		assigned[string(r.Job)+"/"+string(r.Result.Item)] = true
		records = append(records, storer.Record{Key: prefixResult + indexedKey(r.Job, position), Value: value})
		if _, ok := state.progress[r.Result.Item]; ok {
			records = append(records, storer.Record{Key: progressKey(r.Job, r.Result.Item)})
		}
	}
	return records
}

// deletionRecords returns the records that delete jobs that have ended and whose retention
// has passed, and pieces that were left behind. A job is kept while it is open, also if it
// has all results.
func (t *jobTable) deletionRecords(retention time.Duration) (records []storer.Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, state := range t.jobs {
		if !state.ended || t.clock.Since(state.acceptedAt) < retention {
			continue
		}
		for n := range state.results {
			records = append(records, storer.Record{Key: prefixResult + indexedKey(id, n)})
		}
		for item := range state.progress {
			records = append(records, storer.Record{Key: progressKey(id, item)})
		}
		for key := range state.pieceKeys {
			records = append(records, storer.Record{Key: prefixPiece + key})
		}
		records = append(records, storer.Record{Key: prefixEnd + string(id)}, storer.Record{Key: prefixJob + string(id)})
		if len(records) > maxDeletionRecords {
			return records
		}
	}
	records = append(records, t.unreadableDeletions(retention)...)
	records = append(records, t.earlyEndDeletions(retention)...)
	return append(records, t.orphanDeletions(retention)...)
}

// unrecorded returns the results that have no position yet.
func (t *jobTable) unrecorded(results []JobResult) (rest []JobResult) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, r := range results {
		if state, ok := t.jobs[r.Job]; ok && !state.resultUnreadable {
			if _, recorded := state.positions[r.Result.Item]; !recorded {
				rest = append(rest, r)
			}
		}
	}
	return rest
}

func (t *jobTable) openJobs() (list []Job) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, state := range t.jobs {
		if state.ended || state.resultUnreadable || len(state.results) == len(state.submission.Items) {
			continue
		}
		j := Job{Submission: state.submission, Age: t.clock.Since(state.acceptedAt), Recorded: make(map[identifier.ItemID]bool, len(state.positions))}
		for id := range state.positions {
			j.Recorded[id] = true
		}
		list = append(list, j)
	}
	return list
}

// awaitsResult reports whether the item still needs a result.
func (t *jobTable) awaitsResult(job identifier.JobID, item identifier.ItemID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, ok := t.jobs[job]
	if !ok || state.ended || state.resultUnreadable {
		return false
	}
	_, recorded := state.positions[item]
	return !recorded
}

func (t *jobTable) addDemand(demand map[identifier.ModelName]identifier.TokenCount) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, state := range t.jobs {
		if state.submission.Model == "" || t.clock.Since(state.acceptedAt) > maxDemandAge {
			continue
		}
		for n := range state.submission.Items {
			demand[state.submission.Model] += state.submission.Items[n].MaxTokens
		}
	}
}
