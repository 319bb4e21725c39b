package updater

import (
	"cmp"
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The model that lacks the most targets for its next step is served first, so that no
// trainer waits while targets of other models are merely refreshed.

// loadPlan lists the loads that a model still needs.
type loadPlan struct {
	model   identifier.ModelName
	version identifier.WeightVersion
	// remaining is how many targets still have to load the version.
	remaining int
	// shortfall is the number of targets, out of the quota, that can't serve the next
	// step.
	shortfall int
	// outdated lists the targets without the version. If remaining is positive, they
	// are in the order in which they should load it: targets that can't serve the next
	// step first, then those that serve the fewest other models, then the most
	// outdated.
	outdated []cataloger.Target
}

// maxUsableLag is how many versions behind the newest a target may be for the next step
// of a trainer that requests a step as soon as its version is announced.
const maxUsableLag = 1

// servedModels counts the models that a target serves: those of which it has or is loading
// the newest version, and those of which it has an older usable version.
type servedModels struct{ newest, usable int }

func (c *servedModels) add(s servingLevel) {
	switch s {
	case servingNewest:
		c.newest++
	case servingUsable:
		c.usable++
	case notServing:
	}
}

// servedModelCounts returns the model counts of each target. Steps of several trainers come at
// the same moment and owners of different jobs don't see each other's items, so a
// target with two models would get the items of both at once while other targets are
// idle.
func (u *Updater) servedModelCounts(targets []cataloger.Target, models []identifier.ModelName) map[identifier.TargetName]servedModels {
	all := make(map[identifier.TargetName]servedModels, len(targets))
	for _, t := range targets {
		var c servedModels
		for _, m := range models {
			if u.newest[m].version > 0 {
				c.add(u.levelOf(t, m))
			}
		}
		all[t.Name] = c
	}
	return all
}

// servingLevel says how well a target serves a model.
type servingLevel int

const (
	notServing servingLevel = iota
	servingUsable
	servingNewest
)

func (u *Updater) levelOf(t cataloger.Target, m identifier.ModelName) servingLevel {
	version := u.newest[m].version
	l, loading := u.loads[t.Name]
	switch {
	case t.Weights[m] >= version, loading && !l.failed && l.model == m && l.version == version:
		return servingNewest
	case t.Weights[m]+maxUsableLag >= version:
		return servingUsable
	default:
		return notServing
	}
}

// loadPlans returns the load plan of each model.
func (u *Updater) loadPlans(targets []cataloger.Target, models []identifier.ModelName, quotas map[identifier.ModelName]int) (list []*loadPlan) {
	var served map[identifier.TargetName]servedModels
	for _, m := range models {
		p := &loadPlan{model: m, version: u.newest[m].version, remaining: quotas[m], shortfall: quotas[m]}
		for _, t := range targets {
			level := u.levelOf(t, m)
			if level != notServing {
				p.shortfall--
			}
			if level == servingNewest {
				p.remaining--
				continue
			}
			p.outdated = append(p.outdated, t)
		}
		if p.remaining > 0 {
			if served == nil {
				served = u.servedModelCounts(targets, models)
			}
			u.sortOutdated(p, served)
		}
		list = append(list, p)
	}
	return list
}

// sortOutdated sorts the outdated targets into load order. The model itself does not
// distort the counts: none of these targets has its newest version, and targets with
// the same serving level count it alike as usable.
func (u *Updater) sortOutdated(p *loadPlan, served map[identifier.TargetName]servedModels) {
	slices.SortStableFunc(p.outdated, func(a, b cataloger.Target) int {
		return cmp.Or(
			cmp.Compare(u.levelOf(a, p.model), u.levelOf(b, p.model)),
			cmp.Compare(served[a.Name].newest, served[b.Name].newest),
			cmp.Compare(served[a.Name].usable, served[b.Name].usable),
			cmp.Compare(a.Weights[p.model], b.Weights[p.model]),
		)
	})
}

// nextLoad returns the plan with the greatest shortfall and its first target that is not
// loading already.
func nextLoad(plans []*loadPlan, loads map[identifier.TargetName]pendingLoad) (p *loadPlan, t cataloger.Target, ok bool) {
	for _, candidate := range plans {
		candidate.outdated = slices.DeleteFunc(candidate.outdated, func(t cataloger.Target) bool {
			_, loading := loads[t.Name]
			return loading
		})
		if candidate.remaining <= 0 || len(candidate.outdated) == 0 {
			continue
		}
		if p == nil || cmp.Or(cmp.Compare(candidate.shortfall, p.shortfall), cmp.Compare(candidate.remaining, p.remaining)) > 0 {
			p = candidate
		}
	}
	if p == nil {
		return nil, t, false
	}
	t = p.outdated[0]
	p.remaining--
	return p, t, true
}
