package jobstorer

import (
	"context"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Reads are answered from a copy. One that is too old to be sure says so.

// find returns the job, and reads the store anew before it says that there is
// none.
func (k *JobStorer) find(ctx context.Context, id identifier.JobID) (*entry, error) {
	p, err := k.ready(ctx, id)
	if err != nil {
		return nil, err
	}
	for range 2 {
		p.book.mutex.Lock()
		e, ok := p.book.jobs[id]
		p.book.mutex.Unlock()
		if ok {
			return e, nil
		}
		if err := p.tracker.Refresh(ctx); err != nil {
			return nil, ErrStaleCopy
		}
	}
	return nil, ErrUnknownJob
}

// ResultPage is a part of a job's results.
type ResultPage struct {
	// Total is the number of the job's items.
	Total int `cbor:"1,keyasint"`
	// Results stand at the positions from the one asked for on.
	Results []Result `cbor:"2,keyasint"`
}

// Results returns the results from position after on, at most maxBytes of text,
// but one if there is one. It waits up to wait for a first one.
func (k *JobStorer) Results(ctx context.Context, id identifier.JobID, after int, wait time.Duration, maxBytes int) (v ResultPage, err error) {
	if _, err := k.find(ctx, id); err != nil {
		return ResultPage{}, err
	}
	p := k.partOf(id)
	timer := k.clock.After(wait)
	for {
		p.book.mutex.Lock()
		e, ok := p.book.jobs[id]
		if !ok {
			p.book.mutex.Unlock()
			return ResultPage{}, ErrUnknownJob
		}
		v = e.view(after, maxBytes)
		complete, changed := len(e.results) == v.Total, e.changed
		p.book.mutex.Unlock()
		if len(v.Results) > 0 || complete || wait <= 0 {
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
	if len(v.Results) == 0 && p.tracker.Age() > staleAfter {
		return ResultPage{}, ErrStaleCopy
	}
	return v, nil
}

func (e *entry) view(after, maxBytes int) ResultPage {
	v := ResultPage{Total: len(e.submission.Items)}
	size := 0
	for n := after; n < len(e.results); n++ {
		size += len(e.results[n].Text) + recordOverhead
		if size > maxBytes && len(v.Results) > 0 {
			break
		}
		v.Results = append(v.Results, e.results[n])
	}
	return v
}

// Body returns the body of an item. It returns ErrUnknownJob where the job
// doesn't have the item.
func (k *JobStorer) Body(ctx context.Context, id identifier.JobID, item identifier.ItemID) ([]byte, error) {
	e, err := k.find(ctx, id)
	if err != nil {
		return nil, err
	}
	if i := e.submission.item(item); i != nil {
		return i.Body, nil
	}
	return nil, ErrUnknownJob
}

// OpenJobs returns the jobs of a partition that wait for results; none of one that the
// store names and nobody has set up.
func (k *JobStorer) OpenJobs(n identifier.PartitionNumber) []Job {
	if !k.has(n) {
		return nil
	}
	return k.parts[n].book.open()
}

func (k *JobStorer) has(n identifier.PartitionNumber) bool { return n >= 0 && int(n) < len(k.parts) }

// AwaitsResult says whether an item still waits for a result.
func (k *JobStorer) AwaitsResult(job identifier.JobID, item identifier.ItemID) bool {
	return k.partOf(job).book.wanted(job, item)
}

// CompletedItem is an item with its whole text.
type CompletedItem struct {
	Item   *Item
	Result Result
}

// LeftOver returns the completed items of groups that weren't complete when their
// job ended. The jobs are those of a model that were accepted within the time
// before now, from the copies that there are.
func (k *JobStorer) LeftOver(m identifier.ModelName, within time.Duration) (list []CompletedItem) {
	k.eachEnded(m, within, func(e *entry) { list = append(list, e.leftOver()...) })
	return list
}

// eachEnded calls visit, under the mutex of its book, for each ended job of a model that
// was accepted within the time before now.
func (k *JobStorer) eachEnded(m identifier.ModelName, within time.Duration, visit func(e *entry)) {
	for _, p := range k.parts {
		p.book.eachEnded(m, within, visit)
	}
}

func (b *book) eachEnded(m identifier.ModelName, within time.Duration, visit func(e *entry)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.jobs {
		if e.ended && e.submission.Model == m && b.clock.Since(e.received) <= within {
			visit(e)
		}
	}
}

// leftOver returns the completed items of incomplete groups. The caller holds the book's
// mutex.
func (e *entry) leftOver() (list []CompletedItem) {
	incomplete := make(map[identifier.GroupID]bool)
	for n := range e.submission.Items {
		if i := &e.submission.Items[n]; !e.completed(i.ID) {
			incomplete[i.Group] = true
		}
	}
	for n := range e.submission.Items {
		if i := &e.submission.Items[n]; incomplete[i.Group] && e.completed(i.ID) {
			list = append(list, CompletedItem{Item: i, Result: e.results[e.listed[i.ID]]})
		}
	}
	return list
}

// completed says whether the item has a whole text. The caller holds the book's
// mutex.
func (e *entry) completed(id identifier.ItemID) bool {
	position, listed := e.listed[id]
	return listed && e.results[position].State == ResultCompleted
}
