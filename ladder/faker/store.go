package faker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// AppendFault is a fault that is injected into one append.
//
//sumtype:decl
type AppendFault interface{ appendFault() }

// LoseAnswer performs the append but does not answer.
type LoseAnswer struct{}

// DelayAppend does not answer. It performs the append after the delay if its
// condition still holds then.
type DelayAppend struct{ By time.Duration }

// RefuseAppend rejects the append without effect.
type RefuseAppend struct{}

func (LoseAnswer) appendFault()   {}
func (DelayAppend) appendFault()  {}
func (RefuseAppend) appendFault() {}

// Store is an in-memory implementation of storer.Log, the platform's store of keyed
// partitions.
type Store struct {
	clock clockwork.Clock

	mutex      sync.Mutex
	partitions map[storer.Partition]*keyedPartition
	down       bool
	// faults are injected into the next appends, one each.
	faults  []AppendFault
	changed chan struct{}
}

type keyedPartition struct {
	// first is the offset of the oldest retained record.
	first   identifier.LogOffset
	records []storer.Record
	// newest has the newest record of each key that has a value.
	newest map[string]storer.Record
}

// NewStore returns an empty Store.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{clock: clock, partitions: make(map[storer.Partition]*keyedPartition), changed: make(chan struct{})}
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.notify()
}

// Fail injects the faults into the next appends, one each.
func (s *Store) Fail(faults ...AppendFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, faults...)
}

// Forget drops the history but keeps the newest record of each key.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.partitions {
		p.first += identifier.LogOffset(len(p.records))
		p.records = nil
	}
}

// Put appends records without a condition, as a writer outside the system does.
func (s *Store) Put(p storer.Partition, records ...storer.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.partition(p).add(records)
	s.notify()
}

// All returns every retained record of a partition.
func (s *Store) All(p storer.Partition) []storer.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.partition(p).records)
}

func (s *Store) partition(p storer.Partition) *keyedPartition {
	k, ok := s.partitions[p]
	if !ok {
		k = &keyedPartition{newest: make(map[string]storer.Record)}
		s.partitions[p] = k
	}
	return k
}

func (p *keyedPartition) end() identifier.LogOffset {
	return p.first + identifier.LogOffset(len(p.records))
}

func (p *keyedPartition) add(records []storer.Record) {
	for _, r := range records {
		r.Offset = p.end()
		r.Value = slices.Clone(r.Value)
		p.records = append(p.records, r)
		p.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		}
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// pageRecords bounds one page of newest records, pageBytes any page, as on the users' platform. A
// page has one record at least.
const pageRecords, pageBytes = 100, 1 << 20

// Newest implements storer.Log.
func (s *Store) Newest(ctx context.Context, p storer.Partition, after string) (storer.SnapshotPage, error) {
	if ctx.Err() != nil {
		return storer.SnapshotPage{}, appender.ErrOutcomeUnknown
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return storer.SnapshotPage{}, appender.ErrUnavailable
	}
	k := s.partition(p)
	page := storer.SnapshotPage{End: k.end()}
	for _, r := range k.newest {
		if r.Key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b storer.Record) int { return cmp.Compare(a.Key, b.Key) })
	count := min(countWithinPage(page.Records), pageRecords)
	page.Records, page.More = page.Records[:count], count < len(page.Records)
	return page, nil
}

// countWithinPage returns how many of the first records fit into a page.
func countWithinPage(records []storer.Record) (count int) {
	size := 0
	for ; count < len(records); count++ {
		if size += len(records[count].Value); size > pageBytes && count > 0 {
			break
		}
	}
	return count
}

// Read implements storer.Log.
func (s *Store) Read(ctx context.Context, p storer.Partition, from identifier.LogOffset, wait time.Duration) (storer.Page, error) {
	timer := s.clock.After(wait)
	for {
		s.mutex.Lock()
		k, down, changed := s.partition(p), s.down, s.changed
		page := storer.Page{End: k.end()}
		expired := from < k.first
		if !expired && from < page.End {
			records := k.records[from-k.first:]
			page.Records = slices.Clone(records[:countWithinPage(records)])
		}
		s.mutex.Unlock()
		switch {
		case down:
			return storer.Page{}, appender.ErrUnavailable
		case expired:
			return storer.Page{}, storer.ErrExpired
		case len(page.Records) > 0 || wait <= 0:
			return page, nil
		}
		select {
		case <-changed:
		case <-timer:
			return page, nil
		case <-ctx.Done():
			return storer.Page{}, appender.ErrOutcomeUnknown
		}
	}
}

// Append implements storer.Log.
func (s *Store) Append(ctx context.Context, p storer.Partition, at identifier.LogOffset, records []storer.Record) (identifier.LogOffset, error) {
	s.mutex.Lock()
	if s.down {
		s.mutex.Unlock()
		return 0, appender.ErrUnavailable
	}
	var fault AppendFault
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	defer s.mutex.Unlock()
	switch f := fault.(type) {
	case RefuseAppend:
		return 0, appender.ErrUnavailable
	case DelayAppend:
		delayed := slices.Clone(records)
		s.clock.AfterFunc(f.By, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			_, _ = s.appendIfEnd(p, at, delayed) // the caller has given up
		})
		return 0, s.loseAnswer(ctx)
	case LoseAnswer:
		_, _ = s.appendIfEnd(p, at, records) // the answer is lost
		return 0, s.loseAnswer(ctx)
	}
	return s.appendIfEnd(p, at, records)
}

// loseAnswer waits until ctx ends, with the mutex unlocked meanwhile. The caller
// holds the mutex.
func (s *Store) loseAnswer(ctx context.Context) error {
	s.mutex.Unlock()
	defer s.mutex.Lock()
	<-ctx.Done()
	return appender.ErrOutcomeUnknown
}

// appendIfEnd appends the records if at is the end of the partition or
// storer.AnyOffset. The caller holds the mutex.
func (s *Store) appendIfEnd(p storer.Partition, at identifier.LogOffset, records []storer.Record) (identifier.LogOffset, error) {
	k := s.partition(p)
	if at != storer.AnyOffset && k.end() != at {
		return 0, &storer.EndMismatchError{End: k.end()}
	}
	k.add(records)
	s.notify()
	return k.end(), nil
}
