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

// At the end of a training step the trainer drops the longest items and resubmits
// their groups with the next step, which does wait for them. The text generated so
// far is reused if its weight versions are new enough, so that an item longer than
// one step finishes within two. Items started by another entry are resumed in the
// same way: the new owner of a partition asks the previous owner, which cancels its
// runs and returns their text.

const (
	// draftTimeout is how long the items of a new job wait for drafts before they
	// start without them. Peers in the same region answer within a few milliseconds.
	draftTimeout = 100 * time.Millisecond
	// handOverPollInterval is the interval at which HandOver checks whether the runs
	// have ended. Ending a run only closes its connection.
	handOverPollInterval = 2 * time.Millisecond
)

// DraftStore holds text that was generated for items of earlier jobs.
type DraftStore interface {
	// Keep stores the text of an item that is no longer run here.
	Keep(m identifier.ModelName, d messenger.Draft)
	// Collect passes drafts to take as they arrive, possibly concurrently, and
	// returns when no more will arrive.
	Collect(ctx context.Context, id identifier.JobID, m identifier.ModelName, take func([]messenger.Draft))
}

// collectDrafts requests drafts for the items of a new job, which start once it is
// done.
func (s *Scheduler) collectDrafts(ctx context.Context, j *job, ids []identifier.ItemID, tasks *conc.WaitGroup) {
	tasks.Go(func() {
		_ = recoverer.CatchPanic("collection of drafts", func() { // already logged; the items start without drafts
			s.drafts.Collect(ctx, j.ID, j.Model, func(list []messenger.Draft) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				for n := range list {
					s.useDraft(j.ID, &list[n])
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

// useDraft makes an item that has not started resume from a draft. The caller must
// hold the mutex.
func (s *Scheduler) useDraft(id identifier.JobID, d *messenger.Draft) {
	t, ok := s.tasks[taskKey{id, d.Item}]
	if !ok || !t.wanted || d.Account != t.job.Account || t.running || t.textComplete || (!d.Complete && d.LastEvent <= t.lastEvent) {
		return
	}
	route, ok := s.routeOf(t)
	fits := ok && draftcacher.PromptFingerprint(t.item) == d.Prompt && s.canUseVersions(d, t.job, route)
	klog.InfoS("text of another run found", "job", t.key.job, "item", t.key.item, "used", fits, "after", d.LastEvent, "whole", d.Complete,
		"versions", d.Versions, "oldest-version", t.job.MinVersion)
	if !fits {
		return
	}
	t.text, t.textBytes, t.lastEvent, t.textComplete = [][]byte{d.Text}, len(d.Text)+1, d.LastEvent, d.Complete
	t.versions, t.software, t.savedEvent = slices.Clone(d.Versions), d.Software, d.LastEvent
	t.unlisted = cataloger.Incarnation{Name: d.UnlistedTarget, StartID: d.UnlistedStartID}
}

// canUseVersions reports whether a job may use the versions of a draft. A partial
// text of a single-version route must continue on the same version, and is reused
// only while that version is the newest: an older one is left on fewer and fewer
// targets.
func (s *Scheduler) canUseVersions(d *messenger.Draft, j *job, r cataloger.Route) bool {
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

// routeOf returns the route of the item. Items exist only after a configuration has
// been read.
func (s *Scheduler) routeOf(t *task) (r cataloger.Route, ok bool) {
	return s.catalog.Configuration().MatchRoute(t.job.Host, t.item.Path)
}

// storeDraft stores the text of an item that is no longer run here. The caller must
// hold the mutex, and the task must not be running.
func (s *Scheduler) storeDraft(t *task) {
	if t.resultAdded || (t.lastEvent == 0 && !t.textComplete) {
		return
	}
	s.drafts.Keep(t.job.Model, messenger.Draft{
		Account: t.job.Account, Item: t.key.item, Prompt: draftcacher.PromptFingerprint(t.item), Text: bytes.Join(t.text, []byte("\n")),
		LastEvent: t.lastEvent, Complete: t.textComplete, Versions: slices.Clone(t.versions),
		Software: t.software, UnlistedTarget: t.unlisted.Name, UnlistedStartID: t.unlisted.StartID,
	})
}

// HandOver cancels the runs of a job's items if another process now owns the job, and
// returns once their text is stored as drafts. Items with complete text are still
// scored here.
func (s *Scheduler) HandOver(ctx context.Context, id identifier.JobID) {
	if s.owner.Owns(s.jobs.PartitionOf(id)) {
		return
	}
	count := s.cancelRuns(id)
	if count == 0 {
		return
	}
	start := s.clock.Now()
	s.Wake()
	remaining := count
	for remaining > 0 && s.clock.Since(start) < draftTimeout && ctx.Err() == nil {
		select {
		case <-s.clock.After(handOverPollInterval):
		case <-ctx.Done():
		}
		remaining = s.cancelRuns(id)
	}
	klog.InfoS("items handed over", "job", id, "count", count, "left", remaining, "took", s.clock.Since(start))
}

// cancelRuns cancels the runs of a job's items and returns how many have not ended
// yet.
func (s *Scheduler) cancelRuns(id identifier.JobID) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, t := range s.tasks {
		switch {
		case key.job != id || t.resultAdded:
		case t.textComplete:
			s.storeDraft(t)
		default:
			t.abandon()
			count++
		}
	}
	return count
}
