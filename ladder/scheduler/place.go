package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// queue returns the tasks that wait for a target, in the order in which they
// are to start. The caller holds the mutex.
func (s *Scheduler) queue() (list []*task) {
	now := s.clock.Now()
	for _, t := range s.tasks {
		if t.wanted && !t.busy && !t.texted && !t.notBefore.After(now) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(b.last, a.last),
			a.job.accepted.Compare(b.job.accepted),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(b.expected(), a.expected()),
			cmp.Compare(a.order, b.order),
		)
	})
	return list
}

// expected is how many tokens the item is likely to generate.
func (t *task) expected() identifier.TokenCount { return expectedOf(t.item) }

func expectedOf(i *jobstorer.Item) identifier.TokenCount {
	if i.ExpectedTokens > 0 {
		return i.ExpectedTokens
	}
	return i.MaxTokens
}

// place starts the task at a target with a free slot, if there is one. The
// caller holds the mutex.
func (s *Scheduler) place(ctx context.Context, t *task, c *cataloger.Configuration, tasks *conc.WaitGroup) {
	route, ok := s.routeOf(t)
	if !ok {
		return
	}
	t.startAnew(s.catalog, route)
	candidates := s.candidates(t, route, c)
	name, ok := s.router.Choose(candidates, router.Monitored)
	if !ok {
		return
	}
	target, ok := s.catalog.Target(name)
	if !ok {
		s.router.Done(name, router.Monitored)
		return
	}
	klog.InfoS("item placed", "job", t.key.job, "item", t.key.item, "target", name, "after", t.last, "waited", s.clock.Since(t.waiting),
		"candidates", len(candidates), "in-flight", s.router.InFlight(name), "slowness", s.router.Slowness(name))
	bounded := t.begin(ctx, route)
	tasks.Go(func() { t.guard(func() { t.run(bounded, target) }) })
}

// candidates returns the targets that may run the task now.
func (s *Scheduler) candidates(t *task, route cataloger.Route, c *cataloger.Configuration) (list []router.Candidate) {
	now := s.clock.Now()
	for _, share := range route.Shares {
		for _, target := range s.catalog.ReadyTargets(share.Service) {
			switch {
			case !t.fits(target), s.avoided[target.Name].After(now):
			case t.left == target.Name && t.leftUntil.After(now):
			case s.router.InFlight(target.Name) >= slotsOf(target, c):
			default:
				list = append(list, router.Candidate{
					Target: target.Name, Service: target.Service, Zone: target.Zone, Slots: slotsOf(target, c), Warm: s.sender.Warm(target),
				})
			}
		}
	}
	return list
}

// fasterTarget says whether a target with a free slot is likely to be worth the
// move of a long item. The fast engines are often free again while the longest
// items of a step still run.
func (s *Scheduler) fasterTarget(t *task, here cataloger.Target) bool {
	c := s.catalog.Configuration()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.router.HasFasterCandidate(here.Name, s.candidates(t, t.route, c), moveGain)
}

// slotsOf is how many requests a target runs at once.
func slotsOf(t cataloger.Target, c *cataloger.Configuration) int {
	if t.Slots > 0 {
		return t.Slots
	}
	if s, ok := c.Services[t.Service]; ok && s.Engine != nil && s.Engine.Slots > 0 {
		return s.Engine.Slots
	}
	return 1
}

// fits says whether the target has weights that may go on with the text.
func (t *task) fits(target cataloger.Target) bool {
	if t.job.Model == "" {
		return true
	}
	version := target.Weights[t.job.Model]
	if version < t.job.MinVersion {
		return false
	}
	return !t.route.SingleVersion || len(t.versions) == 0 || t.versions[0] == version
}

// startAnew drops the text of an item that needs a single version if no target
// has that version any more.
func (t *task) startAnew(c *cataloger.Cataloger, route cataloger.Route) {
	if !route.SingleVersion || len(t.versions) == 0 {
		return
	}
	for _, share := range route.Shares {
		for _, target := range c.ReadyTargets(share.Service) {
			if target.Weights[t.job.Model] == t.versions[0] {
				return
			}
		}
	}
	klog.InfoS("item starts anew, its version is gone", "job", t.key.job, "item", t.key.item, "version", t.versions[0], "after", t.last)
	t.dropText()
}

// avoid keeps items from a target for a while.
func (s *Scheduler) avoid(name identifier.TargetName, d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.avoided[name] = s.clock.Now().Add(d)
}
