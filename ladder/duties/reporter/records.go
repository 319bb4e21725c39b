package reporter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// retention is how long reports are kept in the store.
const retention = 10 * time.Minute

// storedReports is a copy of the stored reports. It implements storer.Sink.
type storedReports struct {
	mutex   sync.Mutex
	reports map[Window][]byte
}

// Reset implements storer.Sink.
func (s *storedReports) Reset(records []storer.Record) {
	s.mutex.Lock()
	s.reports = make(map[Window][]byte)
	s.mutex.Unlock()
	s.Apply(records)
}

// Apply implements storer.Sink. The first report of a window stands for ever.
func (s *storedReports) Apply(records []storer.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, r := range records {
		w, ok := parseKey(r.Key)
		switch {
		case !ok:
		case len(r.Value) == 0:
			delete(s.reports, w)
		case s.reports[w] == nil:
			s.reports[w] = r.Value
		}
	}
}

// get returns the stored report of a window, or nil.
func (s *storedReports) get(w Window) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reports[w]
}

// windows returns the windows of all stored reports in order.
func (s *storedReports) windows() []Window {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.reports))
}

// recordsFor returns the records that store those of the reports that aren't stored, and
// delete the ones of windows before oldest.
func (s *storedReports) recordsFor(reports []report, oldest Window) (records []storer.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, r := range reports {
		if s.reports[r.window] == nil {
			records = append(records, storer.Record{Key: r.window.key(), Value: r.body})
		}
	}
	if len(records) == 0 {
		return nil
	}
	for _, w := range slices.Sorted(maps.Keys(s.reports)) {
		if w < oldest {
			records = append(records, storer.Record{Key: w.key()})
		}
	}
	return records
}
