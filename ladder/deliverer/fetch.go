package deliverer

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/labeler"
)

// maxBatch bounds the samples of one answer, whatever the trainer asks for.
const maxBatch = 1024

// fetch waits for at least one sample. Samples handed over before and not yet
// acknowledged come again, under the same numbers.
func (s *session) fetch(ctx context.Context, f FetchRequest) (b Batch, err error) {
	began := s.clock.Now()
	s.begin(f)
	for {
		s.mutex.Lock()
		again := s.handOver(f)
		samples := append([]Sample(nil), s.handed...)
		changed := s.changed
		s.mutex.Unlock()
		s.remake(again)
		if len(samples) > 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-s.ctx.Done():
			return b, ErrSuperseded
		case <-ctx.Done():
		}
		break
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.idle += s.clock.Since(began)
	s.lastFetch = s.clock.Now()
	b.StalenessBound = s.plan.StalenessBound
	b.Samples = append(b.Samples, s.handed[:min(len(s.handed), limitOf(f))]...)
	return b, nil
}

func limitOf(f FetchRequest) int {
	if f.Limit <= 0 {
		return maxBatch
	}
	return min(f.Limit, maxBatch)
}

// begin takes the trainer's word on what it has.
func (s *session) begin(f FetchRequest) {
	s.mutex.Lock()
	s.lastFetch = s.clock.Now()
	s.version = max(s.version, f.Version)
	rejected := make(map[identifier.SampleID]bool, len(f.Rejected))
	for _, id := range f.Rejected {
		rejected[id] = true
	}
	var again []Sample
	for len(s.handed) > 0 && s.handed[0].Sequence <= f.After {
		taken := s.handed[0]
		s.handed = s.handed[1:]
		s.acknowledged = taken.Sequence
		if rejected[taken.ID] {
			again = append(again, taken)
			continue
		}
		s.take(taken)
	}
	s.mutex.Unlock()
	s.remake(again)
}

// handOver numbers ready samples up to the limit and returns those that are
// too stale, to be made again. The caller holds the mutex.
func (s *session) handOver(f FetchRequest) (again []Sample) {
	for len(s.ready) > 0 && len(s.handed) < limitOf(f) {
		sample := s.ready[0]
		s.ready = s.ready[1:]
		if Stale(s.version, labeler.OldestVersion(sample.Spans), s.plan.StalenessBound) {
			again = append(again, sample)
			continue
		}
		sample.Sequence = s.acknowledged + identifier.SequenceNumber(len(s.handed)) + 1
		s.handed = append(s.handed, sample)
	}
	return again
}

// remake starts stale samples anew.
func (s *session) remake(again []Sample) {
	if len(again) == 0 {
		return
	}
	var wanted []work
	s.mutex.Lock()
	for _, sample := range again {
		if g, ok := s.groups[sample.Group]; ok {
			wanted = append(wanted, work{group: g.Group, sample: sample.ID})
		}
	}
	s.stale += len(wanted)
	s.pending += len(wanted)
	s.mutex.Unlock()
	go s.startAll(wanted)
}
