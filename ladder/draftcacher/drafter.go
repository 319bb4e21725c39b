// Package draftcacher keeps the texts of items that were broken off here: their job
// has ended, and its trainer hands them in again, or another entry works on it
// now. They go on after their last event instead of from the start.
package draftcacher

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

const (
	// keepFor is how long a text is kept: two of the users' steps, of which
	// each is over after 12 s at most.
	keepFor = 24 * time.Second
	// mostBytes bounds all texts; the oldest yield. A step of 2,048 samples
	// leaves a tenth of them over, of up to 20 KB each.
	mostBytes = 4 << 20
	// mostAnswerBytes bounds one answer, below the 4 MiB of a frame.
	mostAnswerBytes = 1 << 20
)

// EndedJobs has the results of ended jobs; *jobstorer.Bookkeeper does.
type EndedJobs interface {
	LeftOver(m identifier.ModelName, within time.Duration) []jobstorer.CompletedItem
	Unfinished(m identifier.ModelName, within time.Duration) []jobstorer.PartialItem
}

// DraftCacher keeps texts in memory only: one that is lost is made again.
type DraftCacher struct {
	clock clockwork.Clock
	books EndedJobs

	mutex sync.Mutex
	kept  map[identifier.ItemID]kept
	// order has the items of kept, oldest first.
	order []identifier.ItemID
	// bytes is the size of all texts in kept.
	bytes int
}

type kept struct {
	model identifier.ModelName
	draft messenger.Draft
	at    time.Time
}

// New returns a Drafter without drafts. What is complete is found in b.
func New(clock clockwork.Clock, b EndedJobs) *DraftCacher {
	return &DraftCacher{clock: clock, books: b, kept: make(map[identifier.ItemID]kept)}
}

// PromptFingerprint returns that of an item's prompt.
func PromptFingerprint(i *jobstorer.Item) identifier.Fingerprint {
	return identifier.NewFingerprint("", identifier.CallName(i.Path), i.Body)
}

// Keep keeps a draft. One that was kept of the same item is replaced.
func (d *DraftCacher) Keep(m identifier.ModelName, draft messenger.Draft) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.drop(draft.Item)
	d.kept[draft.Item] = kept{model: m, draft: draft, at: d.clock.Now()}
	d.order = append(d.order, draft.Item)
	d.bytes += len(draft.Text)
	for len(d.order) > 0 && (d.bytes > mostBytes || d.clock.Since(d.kept[d.order[0]].at) > keepFor) {
		d.drop(d.order[0])
	}
}

// drop forgets an item's draft, if there is one. The caller holds the mutex.
func (d *DraftCacher) drop(id identifier.ItemID) {
	k, ok := d.kept[id]
	if !ok {
		return
	}
	d.bytes -= len(k.draft.Text)
	delete(d.kept, id)
	d.order = slices.DeleteFunc(d.order, func(other identifier.ItemID) bool { return other == id })
}

// Drafts returns what there is of texts of a model's items that may come again, up
// to a bound in bytes.
func (d *DraftCacher) Drafts(m identifier.ModelName) (list []messenger.Draft) {
	found := d.findKept(m)
	for _, c := range d.books.LeftOver(m, keepFor) {
		found = append(found, messenger.Draft{
			Item: c.Item.ID, Prompt: PromptFingerprint(c.Item), Text: c.Result.Text, Complete: true, Versions: c.Result.Versions,
		})
	}
	for _, u := range d.books.Unfinished(m, keepFor) {
		found = append(found, FromProgress(u.Item, u.Progress))
	}
	size := 0
	for _, draft := range found {
		if size += len(draft.Text); size > mostAnswerBytes {
			break
		}
		list = append(list, draft)
	}
	return list
}

// FromProgress returns the draft of what the books have of an item's text.
func FromProgress(i *jobstorer.Item, g jobstorer.Progress) messenger.Draft {
	return messenger.Draft{Item: i.ID, Prompt: PromptFingerprint(i), Text: g.Text, LastEvent: g.LastEvent, Versions: g.Versions}
}

func (d *DraftCacher) findKept(m identifier.ModelName) (list []messenger.Draft) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, id := range d.order {
		if k := d.kept[id]; k.model == m && d.clock.Since(k.at) <= keepFor {
			list = append(list, k.draft)
		}
	}
	return list
}
