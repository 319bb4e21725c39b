// Package recorder counts and times what a program does, by team and class,
// and publishes it through expvar.
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

// Measure is what a histogram holds.
type Measure string

// The measures.
const (
	// MeasureWait is the wait at the sidecar before the target was asked.
	MeasureWait Measure = "wait"
	// MeasureFirstByte is from acceptance to the first byte of the answer.
	MeasureFirstByte Measure = "first-byte"
	// MeasureTotal is from acceptance to the end.
	MeasureTotal Measure = "total"
)

const (
	// lowest and highest bound a histogram, in microseconds; beyond counts as
	// the bound.
	lowest, highest = 1, int64(24 * time.Hour / time.Microsecond)
	// digits is the number of significant digits kept.
	digits = 2
	// maxSeries bounds the histograms; later teams share one series.
	maxSeries = 300
)

// Series names a histogram.
type Series struct {
	Team    identifier.TeamName
	Class   identifier.PriorityClass
	Measure Measure
}

// Summary is a histogram's short form. Times are in milliseconds.
type Summary struct {
	Team    identifier.TeamName      `json:"team"`
	Class   identifier.PriorityClass `json:"class"`
	Measure Measure                  `json:"measure"`
	Count   int64                    `json:"count"`
	Median  float64                  `json:"median-ms"`
	P99     float64                  `json:"p99-ms"`
	Most    float64                  `json:"most-ms"`
	// Buckets has the counts up to 1, 2, 4, … ms; the last has the rest.
	Buckets []int64 `json:"buckets"`
}

// bucketCount is the number of buckets of a Summary.
const bucketCount = 20

// Recorder holds a program's counters and histograms.
type Recorder struct {
	mutex      sync.Mutex
	counters   map[string]int64
	histograms map[Series]*hdrhistogram.Histogram
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{counters: make(map[string]int64), histograms: make(map[Series]*hdrhistogram.Histogram)}
}

// PublishExpvar makes the recorder visible in expvar under name, once a process.
func (r *Recorder) PublishExpvar(name string) {
	expvar.Publish(name, expvar.Func(func() any {
		return struct {
			Counters   map[string]int64 `json:"counters"`
			Histograms []Summary        `json:"histograms"`
		}{r.Counters(), r.Summaries()}
	}))
}

// Count adds one to a counter. Names are kebab-case.
func (r *Recorder) Count(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counters[name]++
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
		h = hdrhistogram.New(lowest, highest, digits)
		r.histograms[s] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
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

// Summaries returns every histogram's short form, ordered by team, class and
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
	for _, bar := range h.Distribution() {
		n := 0
		for bound := int64(1000); bar.To > bound && n < bucketCount-1; bound *= 2 {
			n++
		}
		buckets[n] += bar.Count
	}
	return Summary{
		Team: s.Team, Class: s.Class, Measure: s.Measure, Count: h.TotalCount(),
		Median: milliseconds(h.ValueAtQuantile(50)), P99: milliseconds(h.ValueAtQuantile(99)),
		Most: milliseconds(h.Max()), Buckets: buckets,
	}
}

// ExpvarJSON returns every expvar as one object.
func ExpvarJSON() []byte {
	all := make(map[string]json.RawMessage)
	expvar.Do(func(v expvar.KeyValue) { all[v.Key] = json.RawMessage(v.Value.String()) })
	data, err := json.Marshal(all)
	if err != nil {
		return []byte("{}")
	}
	return data
}
