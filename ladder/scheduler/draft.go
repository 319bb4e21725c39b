package scheduler

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/drafter"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A trainer goes on without the longest items of a step, and hands their groups
// in again with the next one, for which it then waits. What was made of their
// texts is used if its versions are new enough: an item longer than a step is
// done over two steps instead of never.

// draftsWait is how long a new job's items wait for drafts before they start
// without: answers within a region take some ms.
const draftsWait = 100 * time.Millisecond

// Drafts has the texts of items of earlier jobs.
type Drafts interface {
	// Keep keeps what an item has when its job ends.
	Keep(d messenger.Draft)
	// Collect hands drafts to take as they come, from several tasks, and
	// returns when there are no more.
	Collect(ctx context.Context, ids []identifier.ItemID, take func([]messenger.Draft))
}

// collect looks for drafts of a new job's items. They wait for it.
func (s *Scheduler) collect(ctx context.Context, j *job, ids []identifier.ItemID, tasks *conc.WaitGroup) {
	tasks.Go(func() {
		s.drafts.Collect(ctx, ids, func(list []messenger.Draft) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			for n := range list {
				s.adopt(j.ID, &list[n])
			}
		})
		s.mutex.Lock()
		for _, id := range ids {
			if t, ok := s.tasks[taskKey{j.ID, id}]; ok && t.backoff == 0 {
				t.notBefore = time.Time{}
			}
		}
		s.mutex.Unlock()
		s.Wake()
	})
}

// adopt lets an item that hasn't begun go on from a draft. The caller holds the
// mutex.
func (s *Scheduler) adopt(id identifier.JobID, d *messenger.Draft) {
	t, ok := s.tasks[taskKey{id, d.Item}]
	if !ok || !t.wanted || t.busy || t.texted || (!d.Whole && d.Last <= t.last) {
		return
	}
	route, ok := s.routeOf(t)
	fits := ok && drafter.Fingerprint(t.item) == d.Prompt && len(d.Versions) > 0 &&
		slices.Min(d.Versions) >= t.job.OldestVersion && (!route.SingleVersion || len(d.Versions) == 1)
	klog.InfoS("text of an earlier job found", "job", t.key.job, "item", t.key.item, "used", fits, "after", d.Last, "whole", d.Whole,
		"versions", d.Versions, "oldest-version", t.job.OldestVersion)
	if !fits {
		return
	}
	t.text, t.last, t.texted = [][]byte{d.Text}, d.Last, d.Whole
	t.versions = slices.Clone(d.Versions)
}

func (s *Scheduler) routeOf(t *task) (r cataloger.Route, ok bool) {
	c := s.catalog.Configuration()
	if c == nil {
		return r, false
	}
	return c.Match(t.job.Host, t.item.Path)
}

// keep keeps the text of an item that isn't wanted any more. The caller holds
// the mutex, and the task isn't busy.
func (s *Scheduler) keep(t *task) {
	if t.listed || t.job.Model == "" || (t.last == 0 && !t.texted) {
		return
	}
	s.drafts.Keep(messenger.Draft{
		Item: t.key.item, Prompt: drafter.Fingerprint(t.item), Text: bytes.Join(t.text, []byte("\n")),
		Last: t.last, Whole: t.texted, Versions: slices.Clone(t.versions),
	})
}
