package deliverer

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/labeler"
)

// maxBatch limits the samples in one response, whatever limit the trainer
// requests.
const maxBatch = 1024

// fetch waits for at least one sample. Samples returned before and not yet
// acknowledged are returned again, with the same sequence numbers.
func (s *session) fetch(ctx context.Context, f FetchRequest) (batch Batch, err error) {
	began := s.clock.Now()
	s.acknowledge(f)
	for {
		s.mutex.Lock()
		stale := s.numberReady(f)
		samples := append([]Sample(nil), s.unacknowledged...)
		readyChanged := s.readyChanged
		s.mutex.Unlock()
		s.regenerate(stale)
		if len(samples) > 0 {
			break
		}
		select {
		case <-readyChanged:
			continue
		case <-s.ctx.Done():
			return batch, ErrSuperseded
		case <-ctx.Done():
		}
		break
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fetchWait += s.clock.Since(began)
	s.lastFetch = s.clock.Now()
	batch.StalenessBound = s.config.StalenessBound
	batch.Samples = append(batch.Samples, s.unacknowledged[:min(len(s.unacknowledged), limitOf(f))]...)
	return batch, nil
}

func limitOf(f FetchRequest) int {
	if f.Limit <= 0 {
		return maxBatch
	}
	return min(f.Limit, maxBatch)
}

// acknowledge processes the samples that the trainer reports as received or
// rejected.
func (s *session) acknowledge(f FetchRequest) {
	s.mutex.Lock()
	s.lastFetch = s.clock.Now()
	s.version = max(s.version, f.Version)
	rejected := make(map[identifier.SampleID]bool, len(f.Rejected))
	for _, id := range f.Rejected {
		rejected[id] = true
	}
	var rejectedSamples []Sample
	for len(s.unacknowledged) > 0 && s.unacknowledged[0].Sequence <= f.After {
		sample := s.unacknowledged[0]
		s.unacknowledged = s.unacknowledged[1:]
		s.acknowledged = sample.Sequence
		if rejected[sample.ID] {
			rejectedSamples = append(rejectedSamples, sample)
			continue
		}
		s.markReceived(sample)
	}
	s.mutex.Unlock()
	s.regenerate(rejectedSamples)
}

// numberReady assigns sequence numbers to ready samples up to the limit, and
// returns the samples that are too stale and must be generated again. The
// caller holds the mutex.
func (s *session) numberReady(f FetchRequest) (stale []Sample) {
	for len(s.ready) > 0 && len(s.unacknowledged) < limitOf(f) {
		sample := s.ready[0]
		s.ready = s.ready[1:]
		if Stale(s.version, labeler.OldestVersion(sample.Spans), s.config.StalenessBound) {
			stale = append(stale, sample)
			continue
		}
		sample.Sequence = s.acknowledged + identifier.SequenceNumber(len(s.unacknowledged)) + 1
		s.unacknowledged = append(s.unacknowledged, sample)
	}
	return stale
}

// regenerate starts stale samples again.
func (s *session) regenerate(samples []Sample) {
	if len(samples) == 0 {
		return
	}
	var tasks []sampleTask
	s.mutex.Lock()
	for _, sample := range samples {
		if g, ok := s.groups[sample.Group]; ok {
			tasks = append(tasks, sampleTask{group: g.Group, sample: sample.ID})
		}
	}
	s.stale += len(tasks)
	s.pending += len(tasks)
	s.mutex.Unlock()
	go s.generateAll(tasks)
}
