package jobstorer

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Reads are answered from the local copy, and fail if it may be out of date.

// findJob returns the job. It refreshes the copy before it reports the job as
// unknown, and returns ErrStaleCopy if the copy was dropped meanwhile. It returns ErrUnreadable
// for a job whose records can't be read.
func (s *JobStorer) findJob(ctx context.Context, id identifier.JobID) (*jobState, error) {
	p, err := s.awaitCopy(ctx, id)
	if err != nil {
		return nil, err
	}
	if state, ok := p.table.job(id); ok {
		return state, nil
	}
	if err := p.replicator.Refresh(ctx); err != nil {
		return nil, ErrStaleCopy
	}
	state, ok := p.table.job(id)
	switch {
	case ok:
		return state, nil
	case !p.replicator.Known():
		return nil, ErrStaleCopy
	case p.table.isUnreadable(id):
		return nil, ErrUnreadable
	}
	return nil, ErrUnknownJob
}

func (t *jobTable) job(id identifier.JobID) (state *jobState, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, ok = t.jobs[id]
	return state, ok
}

func (t *jobTable) isUnreadable(id identifier.JobID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, unreadable := t.unreadable[id]
	return unreadable
}

// ResultPage is a part of a job's results.
type ResultPage struct {
	// Total is the number of items of the job.
	Total int `cbor:"1,keyasint"`
	// Results are the results from the requested position on.
	Results []Result `cbor:"2,keyasint"`
}

// Results returns the results from position after on, up to maxBytes of text but at
// least one if there is one. It waits up to wait for the first result.
func (s *JobStorer) Results(ctx context.Context, id identifier.JobID, after int, wait time.Duration, maxBytes int) (page ResultPage, err error) {
	if _, err := s.findJob(ctx, id); err != nil {
		return ResultPage{}, err
	}
	p := s.partitionFor(id)
	timer := s.clock.After(wait)
	for {
		p.table.mutex.Lock()
		state, ok := p.table.jobs[id]
		if !ok {
			p.table.mutex.Unlock()
			if _, err := s.findJob(ctx, id); err != nil {
				return ResultPage{}, err
			}
			continue
		}
		page = state.page(after, maxBytes)
		complete, changed, unreadable := len(state.results) == page.Total, state.changed, state.resultUnreadable
		p.table.mutex.Unlock()
		if unreadable && len(page.Results) == 0 {
			return ResultPage{}, ErrUnreadable
		}
		if len(page.Results) > 0 || complete || wait <= 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer:
		case <-ctx.Done():
		}
		wait = 0
	}
	if len(page.Results) == 0 && p.replicator.Age() > maxResultsAge {
		return ResultPage{}, ErrStaleCopy
	}
	return page, nil
}

func (state *jobState) page(after, maxBytes int) ResultPage {
	page := ResultPage{Total: len(state.submission.Items)}
	size := 0
	for n := after; n < len(state.results); n++ {
		size += len(state.results[n].Text) + recordOverhead
		if size > maxBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, state.results[n])
	}
	return page
}

// Body returns the body of an item. It returns ErrUnknownJob if the job does not
// contain the item.
func (s *JobStorer) Body(ctx context.Context, id identifier.JobID, item identifier.ItemID) ([]byte, error) {
	state, err := s.findJob(ctx, id)
	if err != nil {
		return nil, err
	}
	if i := state.submission.item(item); i != nil {
		return i.Body, nil
	}
	return nil, ErrUnknownJob
}

// OpenJobs returns the jobs of a partition that still need results. It returns none
// for a partition number that the store's group assigned but that is not configured.
func (s *JobStorer) OpenJobs(n identifier.PartitionNumber) []Job {
	if !s.hasPartition(n) {
		return nil
	}
	return s.partitions[n].table.openJobs()
}

func (s *JobStorer) hasPartition(n identifier.PartitionNumber) bool {
	return n >= 0 && int(n) < len(s.partitions)
}

// AwaitsResult reports whether an item still needs a result.
func (s *JobStorer) AwaitsResult(job identifier.JobID, item identifier.ItemID) bool {
	return s.partitionFor(job).table.awaitsResult(job, item)
}

// CompletedItem is an item with its complete text.
type CompletedItem struct {
	// Account is that of the item's job.
	Account identifier.AccountName
	Item    *Item
	Result  Result
}

// LeftOver returns the completed items of groups that were incomplete when their job
// ended. It covers the jobs of a model that were accepted at most the duration within
// ago, as far as they are in local copies.
func (s *JobStorer) LeftOver(m identifier.ModelName, within time.Duration) (list []CompletedItem) {
	s.forEachEnded(m, within, func(state *jobState) { list = append(list, state.reusableItems()...) })
	return list
}

// forEachEnded calls visit, with the mutex of the job's table held, for each ended
// job of a model that was accepted at most the duration within ago.
func (s *JobStorer) forEachEnded(m identifier.ModelName, within time.Duration, visit func(state *jobState)) {
	for _, p := range s.partitions {
		p.table.forEachEnded(m, within, visit)
	}
}

func (t *jobTable) forEachEnded(m identifier.ModelName, within time.Duration, visit func(state *jobState)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, state := range t.jobs {
		if state.ended && state.submission.Model == m && t.clock.Since(state.acceptedAt) <= within {
			visit(state)
		}
	}
}

// reusableItems returns the completed items of incomplete groups. The caller must
// hold the table's mutex.
func (state *jobState) reusableItems() (list []CompletedItem) {
	incomplete := make(map[identifier.GroupID]bool)
	for n := range state.submission.Items {
		if i := &state.submission.Items[n]; !state.isCompleted(i.ID) {
			incomplete[i.Group] = true
		}
	}
	for n := range state.submission.Items {
		if i := &state.submission.Items[n]; incomplete[i.Group] && state.isCompleted(i.ID) {
			list = append(list, CompletedItem{Account: state.submission.Account, Item: i, Result: state.results[state.positions[i.ID]]})
		}
	}
	return list
}

// isCompleted reports whether the text of the item is complete. The caller must hold
// the table's mutex.
func (state *jobState) isCompleted(id identifier.ItemID) bool {
	position, recorded := state.positions[id]
	return recorded && state.results[position].State == ResultCompleted
}
