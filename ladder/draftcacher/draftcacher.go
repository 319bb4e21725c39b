// Package draftcacher caches the text of items whose run was cancelled here, because
// their job ended and its trainer submits them again, or because another entry owns
// the job now. They resume after their last event instead of starting over.
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
	// retention is how long a text is kept: two of the users' training steps, which
	// take at most 12 s each.
	retention = 24 * time.Second
	// maxBytes bounds the size of all texts; the oldest are evicted. A step of 2,048
	// samples leaves a tenth of them unfinished, with up to 20 KB each.
	maxBytes = 4 << 20
	// maxAnswerBytes bounds one answer, below the 4 MiB of a frame.
	maxAnswerBytes = 1 << 20
)

// EndedJobs provides the text of items of ended jobs; implemented by
// *jobstorer.JobStorer.
type EndedJobs interface {
	LeftOver(m identifier.ModelName, within time.Duration) []jobstorer.CompletedItem
	Unfinished(m identifier.ModelName, within time.Duration) []jobstorer.PartialItem
}

// DraftCacher holds texts in memory only, as lost ones can be generated again.
type DraftCacher struct {
	clock     clockwork.Clock
	endedJobs EndedJobs

	mutex  sync.Mutex
	drafts map[identifier.ItemID]cachedDraft
	// order lists the items of drafts, oldest first.
	order []identifier.ItemID
	// bytes is the size of all texts in drafts.
	bytes int
}

type cachedDraft struct {
	model identifier.ModelName
	draft messenger.Draft
	at    time.Time
}

// New returns an empty DraftCacher. Texts of ended jobs are read from j.
func New(clock clockwork.Clock, j EndedJobs) *DraftCacher {
	return &DraftCacher{clock: clock, endedJobs: j, drafts: make(map[identifier.ItemID]cachedDraft)}
}

// PromptFingerprint returns the fingerprint of an item's prompt.
func PromptFingerprint(i *jobstorer.Item) identifier.Fingerprint {
	return identifier.NewFingerprint("", identifier.CallName(i.Path), i.Body)
}

// Keep stores a draft, replacing an earlier one of the same item.
func (c *DraftCacher) Keep(m identifier.ModelName, draft messenger.Draft) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.remove(draft.Item)
	c.drafts[draft.Item] = cachedDraft{model: m, draft: draft, at: c.clock.Now()}
	c.order = append(c.order, draft.Item)
	c.bytes += len(draft.Text)
	for len(c.order) > 0 && (c.bytes > maxBytes || c.clock.Since(c.drafts[c.order[0]].at) > retention) {
		c.remove(c.order[0])
	}
}

// remove removes the draft of an item, if there is one. The caller must hold the
// mutex.
func (c *DraftCacher) remove(id identifier.ItemID) {
	cached, ok := c.drafts[id]
	if !ok {
		return
	}
	c.bytes -= len(cached.draft.Text)
	delete(c.drafts, id)
	c.order = slices.DeleteFunc(c.order, func(other identifier.ItemID) bool { return other == id })
}

// Drafts returns the known texts of items of a model that may be submitted again, up
// to maxAnswerBytes.
func (c *DraftCacher) Drafts(m identifier.ModelName) (list []messenger.Draft) {
	found := c.cachedDrafts(m)
	for _, completed := range c.endedJobs.LeftOver(m, retention) {
		found = append(found, messenger.Draft{
			Account: completed.Account, Item: completed.Item.ID, Prompt: PromptFingerprint(completed.Item), Text: completed.Result.Text, Complete: true, Versions: completed.Result.Versions,
		})
	}
	for _, partial := range c.endedJobs.Unfinished(m, retention) {
		found = append(found, FromProgress(partial.Account, partial.Item, partial.Progress))
	}
	size := 0
	for _, draft := range found {
		if size += len(draft.Text); size > maxAnswerBytes {
			break
		}
		list = append(list, draft)
	}
	return list
}

// FromProgress returns the draft of a stored partial text of an account's job.
func FromProgress(a identifier.AccountName, i *jobstorer.Item, p jobstorer.Progress) messenger.Draft {
	return messenger.Draft{
		Account: a, Item: i.ID, Prompt: PromptFingerprint(i), Text: p.Text, LastEvent: p.LastEvent, Versions: p.Versions,
		Software: p.Software, UnlistedTarget: p.UnlistedTarget, UnlistedStartID: p.UnlistedStartID,
	}
}

func (c *DraftCacher) cachedDrafts(m identifier.ModelName) (list []messenger.Draft) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, id := range c.order {
		if cached := c.drafts[id]; cached.model == m && c.clock.Since(cached.at) <= retention {
			list = append(list, cached.draft)
		}
	}
	return list
}
