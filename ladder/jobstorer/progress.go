package jobstorer

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A long text takes as long as a training step. Partial text is stored next to the
// job, so that a new owner can resume from it if the previous one is killed. Saves
// are infrequent and may be late: they share the appends of results, and one that
// fails is superseded by the next.

// progressBatchDelay is how long partial texts wait to share the append of results.
const progressBatchDelay = 400 * time.Millisecond

// Progress is the text of an item generated so far.
type Progress struct {
	Item identifier.ItemID `cbor:"1,keyasint"`
	// LastEvent is the last event of the text; 0 means that there is none.
	LastEvent identifier.EventNumber `cbor:"2,keyasint"`
	Text      []byte                 `cbor:"3,keyasint"`
	// Versions are the weight versions that generated the text, in ascending order.
	Versions []identifier.WeightVersion `cbor:"4,keyasint"`
	// Software is the version of the software that generated the text.
	Software identifier.SoftwareVersion `cbor:"5,keyasint,omitempty"`
	// UnlistedTarget and UnlistedStartID are the start that generated the text, if it had not been
	// listed yet. Software is a name that no target has then.
	UnlistedTarget  identifier.TargetName `cbor:"6,keyasint,omitempty"`
	UnlistedStartID int64                 `cbor:"7,keyasint,omitempty"`
}

// SaveProgress stores the partial text of an item on a best-effort basis. A Progress
// without events deletes the stored one.
func (s *JobStorer) SaveProgress(job identifier.JobID, progress Progress) {
	if len(progressKey(job, progress.Item)) > storer.MaxKeyBytes {
		return
	}
	p := s.partitionFor(job)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.progress) == 0 {
		s.clock.AfterFunc(progressBatchDelay, func() { s.wakeWriter(p) })
	}
	p.progress[itemKey{job, progress.Item}] = progress
}

// Progress returns the stored partial text of an item.
func (s *JobStorer) Progress(job identifier.JobID, item identifier.ItemID) (progress Progress, ok bool) {
	t := s.partitionFor(job).table
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state, known := t.jobs[job]; known {
		progress, ok = state.progress[item]
	}
	return progress, ok
}

// PartialItem is an item with partial text.
type PartialItem struct {
	// Account is that of the item's job.
	Account  identifier.AccountName
	Item     *Item
	Progress Progress
}

// Unfinished returns the items that had partial text when their job ended. The jobs
// are the same as for LeftOver.
func (s *JobStorer) Unfinished(m identifier.ModelName, within time.Duration) (list []PartialItem) {
	s.forEachEnded(m, within, func(state *jobState) {
		for id, progress := range state.progress {
			if i := state.submission.item(id); i != nil {
				list = append(list, PartialItem{Account: state.submission.Account, Item: i, Progress: progress})
			}
		}
	})
	return list
}

func progressKey(job identifier.JobID, item identifier.ItemID) string {
	return prefixProgress + string(job) + "/" + string(item)
}

// progressRecords returns the records of partial texts that have changed, up to
// maxBytes.
func (t *jobTable) progressRecords(unsaved map[itemKey]Progress, maxBytes int) (records []storer.Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key, progress := range unsaved {
		state, ok := t.jobs[key.job]
		if !ok || state.ended {
			continue
		}
		_, recorded := state.positions[key.item]
		stored, known := state.progress[key.item]
		switch {
		case recorded || progress.LastEvent == stored.LastEvent:
			continue
		case progress.LastEvent == 0:
			records = append(records, storer.Record{Key: progressKey(key.job, key.item)})
			continue
		case known && progress.LastEvent < stored.LastEvent:
			continue
		}
		value, err := serializer.Encode(progress)
		if err != nil {
			klog.ErrorS(err, "part of a text can't be encoded", "job", key.job, "item", key.item)
			continue
		}
		if maxBytes -= len(value) + recordOverhead; maxBytes < 0 {
			break
		}
		records = append(records, storer.Record{Key: progressKey(key.job, key.item), Value: value})
	}
	return records
}

// applyProgress applies the record of a partial text. The caller must hold the
// table's mutex.
func (t *jobTable) applyProgress(job identifier.JobID, item identifier.ItemID, r storer.Record) {
	state, ok := t.jobs[job]
	if !ok {
		return
	}
	if _, recorded := state.positions[item]; recorded || len(r.Value) == 0 {
		delete(state.progress, item)
		return
	}
	var progress Progress
	if err := serializer.Decode(r.Value, &progress); err != nil {
		klog.InfoS("unreadable part of a text left out", "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	state.progress[item] = progress
}
