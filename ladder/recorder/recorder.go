// Package recorder collects counters and latency histograms by team and class,
// and publishes them through expvar.
package recorder

import (
	"encoding/json"
	"expvar"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Measure is the latency that a histogram records.
type Measure string

// The measures.
const (
	// MeasureWait is the time in the queue of the sidecar before the request
	// is sent to the target.
	MeasureWait Measure = "wait"
	// MeasureAdmission is the time that a request waits at its host until the targets
	// have room for it.
	MeasureAdmission Measure = "admission"
	// MeasureFirstByte is the time from acceptance to the first byte of the
	// response.
	MeasureFirstByte Measure = "first-byte"
	// MeasureTotal is the time from acceptance to the end of the response.
	MeasureTotal Measure = "total"
)

const (
	// minMicroseconds and maxMicroseconds are the range of a histogram. Values
	// outside it are recorded as the nearest limit.
	minMicroseconds, maxMicroseconds = 1, int64(24 * time.Hour / time.Microsecond)
	// significantDigits is the precision of recorded values.
	significantDigits = 2
	// maxSeries limits the number of histograms. Further teams share the
	// series of the team "other".
	maxSeries = 300
)

// Series identifies a histogram.
type Series struct {
	Team    identifier.TeamName
	Class   identifier.PriorityClass
	Measure Measure
}

// Summary summarizes a histogram. Times are in milliseconds.
type Summary struct {
	Team    identifier.TeamName      `json:"team"`
	Class   identifier.PriorityClass `json:"class"`
	Measure Measure                  `json:"measure"`
	Count   int64                    `json:"count"`
	Median  float64                  `json:"median-ms"`
	P99     float64                  `json:"p99-ms"`
	Most    float64                  `json:"most-ms"`
	// Buckets counts the values up to 1, 2, 4, … ms. The last bucket counts
	// all larger values.
	Buckets []int64 `json:"buckets"`
}

// bucketCount is the number of buckets of a Summary.
const bucketCount = 20

// Recorder holds the counters and histograms of a process.
type Recorder struct {
	mutex      sync.Mutex
	counters   map[string]int64
	gauges     map[string]func() int64
	histograms map[Series]*hdrhistogram.Histogram
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{counters: make(map[string]int64), gauges: make(map[string]func() int64), histograms: make(map[Series]*hdrhistogram.Histogram)}
}

// PublishExpvar publishes the recorder as the expvar name. It must be called
// at most once per process and name.
func (r *Recorder) PublishExpvar(name string) {
	expvar.Publish(name, expvar.Func(func() any {
		return struct {
			Counters   map[string]int64 `json:"counters"`
			Gauges     map[string]int64 `json:"gauges,omitempty"`
			Histograms []Summary        `json:"histograms"`
		}{r.Counters(), r.Gauges(), r.Summaries()}
	}))
}

// Count increments a counter. Names are in kebab-case.
func (r *Recorder) Count(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counters[name]++
}

// Set replaces the value of a counter that shows a state, such as the length of a queue.
func (r *Recorder) Set(name string, value int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counters[name] = value
}

// ObserveDuration adds a duration to a histogram.
func (r *Recorder) ObserveDuration(s Series, d time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	h, ok := r.histograms[s]
	if !ok && len(r.histograms) >= maxSeries {
		s.Team = "other"
		h, ok = r.histograms[s]
	}
	if !ok {
		h = hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
		r.histograms[s] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

// Counters returns a copy of the counters.
func (r *Recorder) Counters() map[string]int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counters := make(map[string]int64, len(r.counters))
	for name, n := range r.counters {
		counters[name] = n
	}
	return counters
}

// Summaries returns a summary of each histogram, sorted by team, class and
// measure.
func (r *Recorder) Summaries() []Summary {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := make([]Summary, 0, len(r.histograms))
	for s, h := range r.histograms {
		list = append(list, summarize(s, h))
	}
	slices.SortFunc(list, func(a, b Summary) int {
		return strings.Compare(string(a.Team)+" "+string(a.Class)+" "+string(a.Measure), string(b.Team)+" "+string(b.Class)+" "+string(b.Measure))
	})
	return list
}

func summarize(s Series, h *hdrhistogram.Histogram) Summary {
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	buckets := make([]int64, bucketCount)
	for _, bracket := range h.Distribution() {
		n := 0
		for bound := int64(1000); bracket.To > bound && n < bucketCount-1; bound *= 2 {
			n++
		}
		buckets[n] += bracket.Count
	}
	return Summary{
		Team: s.Team, Class: s.Class, Measure: s.Measure, Count: h.TotalCount(),
		Median: milliseconds(h.ValueAtQuantile(50)), P99: milliseconds(h.ValueAtQuantile(99)),
		Most: milliseconds(h.Max()), Buckets: buckets,
	}
}

// ExpvarJSON returns all expvars as one JSON object.
func ExpvarJSON() []byte {
	all := make(map[string]json.RawMessage)
	expvar.Do(func(v expvar.KeyValue) { all[v.Key] = json.RawMessage(v.Value.String()) })
	data, err := json.Marshal(all)
	if err != nil {
		return []byte("{}")
	}
	return data
}
