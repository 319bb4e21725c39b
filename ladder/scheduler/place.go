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
	"github.com/lycheeladder/lycheeladder/ladder/routing/splitter"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// readyTasks returns the tasks that wait for a target, in the order in which they
// should start. The caller must hold the mutex.
func (s *Scheduler) readyTasks() (list []*task) {
	now := s.clock.Now()
	for _, t := range s.tasks {
		if t.wanted && !t.running && !t.textComplete && !t.notBefore.After(now) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(b.lastEvent, a.lastEvent),
			a.job.acceptedAt.Compare(b.job.acceptedAt),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(b.expectedTokens(), a.expectedTokens()),
			cmp.Compare(a.position, b.position),
		)
	})
	return list
}

// expectedTokens estimates how many tokens the item will generate.
func (t *task) expectedTokens() identifier.TokenCount { return expectedTokensOf(t.item) }

func expectedTokensOf(i *jobstorer.Item) identifier.TokenCount {
	if i.ExpectedTokens > 0 {
		return i.ExpectedTokens
	}
	return i.MaxTokens
}

// place starts the task on a target with a free slot, if there is one. The caller
// must hold the mutex.
func (s *Scheduler) place(ctx context.Context, t *task, c *cataloger.Configuration, tasks *conc.WaitGroup) {
	route, ok := s.routeOf(t)
	if !ok {
		return
	}
	t.resolveSoftware(s.catalog)
	t.restartIfVersionGone(s.catalog, route)
	candidates := s.candidates(&t.placement, route, c, sender.Required)
	if len(candidates) == 0 && s.shouldRestart(t, route, c) {
		klog.InfoS("item starts anew, the targets of its software version have no room", "job", t.key.job, "item", t.key.item, "software", t.software,
			"after", t.lastEvent, "waited", s.clock.Since(t.waitingSince))
		t.discardText()
		candidates = s.candidates(&t.placement, route, c, sender.Required)
	}
	if len(candidates) == 0 && s.clock.Since(t.waitingSince) >= overflowWait {
		candidates = s.candidatesOf(splitter.Services(route), &t.placement, c, sender.Required)
	}
	name, ok := s.router.Choose(candidates, router.Monitored)
	if !ok {
		return
	}
	target, ok := s.catalog.Target(name)
	if !ok || !t.canRunOn(target) { // the list may have changed since candidates was made
		s.router.Done(name, router.Monitored)
		return
	}
	if s.sender.Allowance(target).Limited {
		s.placedWithLimit[name]++
	}
	klog.InfoS("item placed", "job", t.key.job, "item", t.key.item, "target", name, "service", target.Service, "software", target.Software, "after", t.lastEvent, "waited", s.clock.Since(t.waitingSince),
		"candidates", len(candidates), "in-flight", s.router.InFlight(name), "slowness", s.router.Slowness(name))
	runCtx := t.begin(ctx, route)
	tasks.Go(func() { t.catchPanic(func() { t.run(runCtx, target) }) })
}

// maxPendingPermits is how many items may wait for a permit of one target. More would be
// denied and could have gone elsewhere meanwhile.
const maxPendingPermits = 2

// mayReceive reports whether a target accepts an item now. The caller must hold the mutex.
func (s *Scheduler) mayReceive(target cataloger.Target, n sender.Need) bool {
	a := s.sender.Allowance(target)
	return a.Admits(n) && (!a.Limited || a.Pending+s.placedWithLimit[target.Name] < maxPendingPermits)
}

// overflowWait is how long an item waits for the service to which its route assigns it before it
// may run on the route's other services.
const overflowWait = time.Second

// candidates returns the targets where an item may run now. Moves are optional.
func (s *Scheduler) candidates(p *placement, route cataloger.Route, c *cataloger.Configuration, n sender.Need) []router.Candidate {
	return s.candidatesOf(s.servicesFor(p, route), p, c, n)
}

// servicesFor returns the service to which the route assigns an item or, if none of its ready
// targets can run the item, all services of the route.
func (s *Scheduler) servicesFor(p *placement, route cataloger.Route) []identifier.ServiceName {
	assigned := splitter.Assign(route, string(p.item))
	if slices.ContainsFunc(s.catalog.ReadyTargets(assigned), p.canRunOn) {
		return []identifier.ServiceName{assigned}
	}
	return splitter.Services(route)
}

// candidatesOf is candidates among the targets of some services.
func (s *Scheduler) candidatesOf(services []identifier.ServiceName, p *placement, c *cataloger.Configuration, n sender.Need) (list []router.Candidate) {
	now := s.clock.Now()
	for _, service := range services {
		for _, target := range s.catalog.ReadyTargets(service) {
			switch {
			case !p.canRunOn(target), s.avoidedUntil[target.Name].After(now):
			case p.leftTarget == target.Name && p.leftUntil.After(now):
			case s.router.InFlight(target.Name) >= slotsOf(target, c):
			case !s.mayReceive(target, n):
			default:
				list = append(list, router.Candidate{
					Target: target.Name, Service: target.Service, Zone: target.Zone, Slots: slotsOf(target, c), Warm: s.sender.Warm(target),
				})
			}
		}
	}
	return list
}

// hasFasterTarget reports whether moving a long item to a target with a free slot is
// likely to pay off. Fast engines often become idle while the longest items of a
// training step are still running elsewhere.
func (s *Scheduler) hasFasterTarget(t *task, current cataloger.Target) bool {
	c := s.catalog.Configuration()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	route, ok := c.MatchRoute(t.job.Host, t.item.Path)
	return ok && s.router.HasFasterCandidate(current.Name, s.candidates(&t.placement, route, c, sender.Optional), minMoveSpeedup)
}

// slotsOf returns how many requests a target runs concurrently.
func slotsOf(t cataloger.Target, c *cataloger.Configuration) int {
	if t.Slots > 0 {
		return t.Slots
	}
	if s, ok := c.Services[t.Service]; ok && s.Engine != nil && s.Engine.Slots > 0 {
		return s.Engine.Slots
	}
	return 1
}

// canRunOn reports whether the target may continue the text and has the weights that the
// job asks for.
func (p *placement) canRunOn(target cataloger.Target) bool {
	if p.job.Model != "" && target.Weights[p.job.Model] < p.job.MinVersion {
		return false
	}
	return p.continuesOn(target, p.route)
}

// continuesOn reports whether what the target generates fits the text.
func (p *placement) continuesOn(target cataloger.Target, route cataloger.Route) bool {
	if p.lastEvent > 0 && target.Software != p.software {
		return false
	}
	return p.job.Model == "" || !route.SingleVersion || len(p.versions) == 0 || p.versions[0] == target.Weights[p.job.Model]
}

// maxListWait is how long a text of an unlisted start waits for the start to be listed. Targets write
// their entries about each 1.2 s.
const maxListWait = 3 * time.Second

// resolveSoftware finds out which software version generated the text, if its start has been listed
// since.
func (t *task) resolveSoftware(c *cataloger.Cataloger) {
	if t.unlisted.Name == "" {
		return
	}
	software, ok := c.SoftwareOf(t.unlisted)
	if !ok {
		return
	}
	klog.InfoS("start of an item's target is listed", "job", t.key.job, "item", t.key.item, "target", t.unlisted.Name, "start", t.unlisted.StartID, "software", software, "after", t.lastEvent)
	t.software, t.unlisted = software, cataloger.Incarnation{}
}

// awaitsListing reports whether the text waits for its start to be listed.
func (t *task) awaitsListing() bool {
	return t.unlisted.Name != "" && t.scheduler.clock.Since(t.waitingSince) < maxListWait
}

// restartIfVersionGone discards the text of an item if no target is left that can
// continue it.
func (t *task) restartIfVersionGone(c *cataloger.Cataloger, route cataloger.Route) {
	if t.lastEvent == 0 || t.awaitsListing() {
		return
	}
	for _, service := range splitter.Services(route) {
		for _, target := range c.ReadyTargets(service) {
			if t.continuesOn(target, route) {
				return
			}
		}
	}
	klog.InfoS("item starts anew, its version is gone", "job", t.key.job, "item", t.key.item, "versions", t.versions, "software", t.software, "after", t.lastEvent)
	t.discardText()
}

// shouldRestart reports whether an item has waited for the targets of its software version
// for as long as its text took, while another version has room. Waiting longer would cost
// more than generating the text again.
func (s *Scheduler) shouldRestart(t *task, route cataloger.Route, c *cataloger.Configuration) bool {
	if t.lastEvent == 0 || t.awaitsListing() {
		return false
	}
	var usualGap time.Duration
	for _, service := range splitter.Services(route) {
		usualGap = max(usualGap, s.router.MeanChunkInterval(service))
	}
	if s.clock.Since(t.waitingSince) < max(minRestartWait, time.Duration(t.lastEvent)*usualGap) {
		return false
	}
	fresh := t.placement
	fresh.lastEvent, fresh.versions = 0, nil
	return slices.ContainsFunc(s.candidates(&fresh, route, c, sender.Required), func(candidate router.Candidate) bool {
		target, ok := s.catalog.Target(candidate.Target)
		return ok && target.Software != t.software
	})
}

// minRestartWait is the least time that an item waits for its software version. A target
// that refuses is left alone for as long.
const minRestartWait = refusalCooldown

// avoid keeps all items away from a target for d.
func (s *Scheduler) avoid(name identifier.TargetName, d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.avoidedUntil[name] = s.clock.Now().Add(d)
}
