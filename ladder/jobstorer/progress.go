package jobstorer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A long text takes as long as a step. Part of it is kept beside the job, so that
// whoever works on the job after its owner was killed goes on there. Parts are
// few and may be late: they share the appends of results, and one that doesn't get
// through is overtaken by the next.

// progressWait is how long parts wait for results to share their append.
const progressWait = 400 * time.Millisecond

// Progress is the text of an item as far as it was made.
type Progress struct {
	Item identifier.ItemID `cbor:"1,keyasint"`
	// LastEvent is the last event of the text; 0 says that there is none.
	LastEvent identifier.EventNumber `cbor:"2,keyasint"`
	Text      []byte                 `cbor:"3,keyasint"`
	// Versions are all that generated an event of the text, in rising order.
	Versions []identifier.WeightVersion `cbor:"4,keyasint"`
}

// SaveProgress keeps a part of an item's text, sooner or later or not at all. One without
// an event has the part dropped that was kept before.
func (k *JobStorer) SaveProgress(job identifier.JobID, g Progress) {
	p := k.partOf(job)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.progress) == 0 {
		k.clock.AfterFunc(progressWait, func() { k.wakeWriter(p) })
	}
	p.progress[itemKey{job, g.Item}] = g
}

// Progress returns what is kept of an item's text.
func (k *JobStorer) Progress(job identifier.JobID, item identifier.ItemID) (g Progress, ok bool) {
	b := k.partOf(job).book
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if e, known := b.jobs[job]; known {
		g, ok = e.progress[item]
	}
	return g, ok
}

// PartialItem is an item with a part of its text.
type PartialItem struct {
	Item     *Item
	Progress Progress
}

// Unfinished returns the items that were left unfinished when their job ended. The
// jobs are those of LeftOver.
func (k *JobStorer) Unfinished(m identifier.ModelName, within time.Duration) (list []PartialItem) {
	k.eachEnded(m, within, func(e *entry) {
		for id, g := range e.progress {
			if i := e.submission.item(id); i != nil {
				list = append(list, PartialItem{Item: i, Progress: g})
			}
		}
	})
	return list
}

func progressName(job identifier.JobID, item identifier.ItemID) string {
	return prefixProgress + string(job) + "/" + string(item)
}

// progressRecords are those of the parts that are news, up to maxBytes.
func (b *book) progressRecords(parts map[itemKey]Progress, maxBytes int) (records []storer.Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for key, g := range parts {
		e, ok := b.jobs[key.job]
		if !ok || e.ended {
			continue
		}
		_, listed := e.listed[key.item]
		kept, known := e.progress[key.item]
		switch {
		case listed || g.LastEvent == kept.LastEvent:
			continue
		case g.LastEvent == 0:
			records = append(records, storer.Record{Key: progressName(key.job, key.item)})
			continue
		case known && g.LastEvent < kept.LastEvent:
			continue
		}
		value, err := cbor.Marshal(g)
		if err != nil {
			klog.ErrorS(err, "part of a text can't be encoded", "job", key.job, "item", key.item)
			continue
		}
		if maxBytes -= len(value) + recordOverhead; maxBytes < 0 {
			break
		}
		records = append(records, storer.Record{Key: progressName(key.job, key.item), Value: value})
	}
	return records
}

// takeProgress folds a part of a text. The caller holds the book's mutex.
func (b *book) takeProgress(job identifier.JobID, item identifier.ItemID, r storer.Record) {
	e, ok := b.jobs[job]
	if !ok {
		return
	}
	if _, listed := e.listed[item]; listed || len(r.Value) == 0 {
		delete(e.progress, item)
		return
	}
	var g Progress
	if err := cbor.Unmarshal(r.Value, &g); err != nil {
		klog.InfoS("unreadable part of a text left out", "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	e.progress[item] = g
}
