package scheduler

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/draftcacher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// A trainer goes on without the longest items of a step, and hands their groups
// in again with the next one, for which it then waits. What was made of their
// texts is used if its versions are new enough: an item longer than a step is
// done over two steps instead of never. In the same way an item goes on that
// another entry has begun: whoever takes a partition over asks the former owner,
// which breaks its runs off and tells how far they have come.

const (
	// draftsWait is how long a new job's items wait for drafts before they
	// start without: answers within a region take some ms.
	draftsWait = 100 * time.Millisecond
	// handOverPoll is between two looks whether runs are broken off, which
	// takes no more than closing their connections.
	handOverPoll = 2 * time.Millisecond
)

// DraftStore has the texts of items of earlier jobs.
type DraftStore interface {
	// Keep keeps what an item has when it isn't wanted here any more.
	Keep(m identifier.ModelName, d messenger.Draft)
	// Collect hands drafts to take as they come, from several tasks, and
	// returns when there are no more.
	Collect(ctx context.Context, id identifier.JobID, m identifier.ModelName, take func([]messenger.Draft))
}

// collect looks for drafts of a new job's items. They wait for it.
func (s *Scheduler) collect(ctx context.Context, j *job, ids []identifier.ItemID, tasks *conc.WaitGroup) {
	tasks.Go(func() {
		_ = recoverer.CatchPanic("search for texts", func() { // it is logged there; items do without
			s.drafts.Collect(ctx, j.ID, j.Model, func(list []messenger.Draft) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				for n := range list {
					s.adopt(j.ID, &list[n])
				}
			})
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
	if !ok || !t.wanted || t.busy || t.texted || (!d.Complete && d.LastEvent <= t.last) {
		return
	}
	route, ok := s.routeOf(t)
	fits := ok && draftcacher.PromptFingerprint(t.item) == d.Prompt && s.versionsFit(d, t.job, route)
	klog.InfoS("text of another run found", "job", t.key.job, "item", t.key.item, "used", fits, "after", d.LastEvent, "whole", d.Complete,
		"versions", d.Versions, "oldest-version", t.job.MinVersion)
	if !fits {
		return
	}
	t.text, t.textBytes, t.last, t.texted = [][]byte{d.Text}, len(d.Text)+1, d.LastEvent, d.Complete
	t.versions, t.saved = slices.Clone(d.Versions), d.LastEvent
}

// versionsFit says whether a job may have the text. A part that must be gone on
// with under its own version is of use only while that is the newest: the others'
// targets grow fewer.
func (s *Scheduler) versionsFit(d *messenger.Draft, j *job, r cataloger.Route) bool {
	switch {
	case j.Model == "":
		return true
	case len(d.Versions) == 0 || slices.Min(d.Versions) < j.MinVersion:
		return false
	case !r.SingleVersion:
		return true
	}
	return len(d.Versions) == 1 && (d.Complete || d.Versions[0] >= s.catalog.Named()[j.Model])
}

// routeOf returns the route of the item. The scheduler takes up no items before
// there is a configuration.
func (s *Scheduler) routeOf(t *task) (r cataloger.Route, ok bool) {
	return s.catalog.Configuration().MatchRoute(t.job.Host, t.item.Path)
}

// keep keeps the text of an item that isn't wanted any more. The caller holds
// the mutex, and the task isn't busy.
func (s *Scheduler) keep(t *task) {
	if t.listed || (t.last == 0 && !t.texted) {
		return
	}
	s.drafts.Keep(t.job.Model, messenger.Draft{
		Item: t.key.item, Prompt: draftcacher.PromptFingerprint(t.item), Text: bytes.Join(t.text, []byte("\n")),
		LastEvent: t.last, Complete: t.texted, Versions: slices.Clone(t.versions),
	})
}

// HandOver breaks off the runs of a job's items if others work on the job now,
// and returns when their texts are kept. Whole texts are still scored here.
func (s *Scheduler) HandOver(ctx context.Context, id identifier.JobID) {
	if s.owner.Owns(s.books.PartitionOf(id)) {
		return
	}
	count := s.breakOff(id)
	if count == 0 {
		return
	}
	begun := s.clock.Now()
	s.Wake()
	left := count
	for left > 0 && s.clock.Since(begun) < draftsWait && ctx.Err() == nil {
		select {
		case <-s.clock.After(handOverPoll):
		case <-ctx.Done():
		}
		left = s.breakOff(id)
	}
	klog.InfoS("items handed over", "job", id, "count", count, "left", left, "took", s.clock.Since(begun))
}

// breakOff ends the runs of a job's items and returns how many aren't at rest yet.
func (s *Scheduler) breakOff(id identifier.JobID) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, t := range s.tasks {
		switch {
		case key.job != id || t.listed:
		case t.texted:
			s.keep(t)
		default:
			t.end()
			count++
		}
	}
	return count
}
