package updater

import (
	"cmp"
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The model that lacks most targets for its next step is served first, so that no
// trainer waits while another's targets are merely refreshed.

// wish is what a model still wants.
type wish struct {
	model   identifier.ModelName
	version identifier.WeightVersion
	// missing is how many targets still have to load the version.
	missing int
	// lacking is the part of the quota, in targets, that can't serve the next
	// step.
	lacking int
	// behind are the targets without the version. If any is missing they are in the
	// order in which they are to load it: those that can't serve the next step, those
	// with the fewest other models, the most outdated.
	behind []cataloger.Target
}

// usableLag is how many versions behind the newest a target may be for the next
// step of a trainer that asks for a step once its version is named.
const usableLag = 1

// crowd counts the models that a target serves: those whose newest version it has or
// loads, and those whose version is just usable.
type crowd struct{ newest, usable int }

func (c *crowd) add(s serving) {
	switch s {
	case servingNewest:
		c.newest++
	case servingUsable:
		c.usable++
	case servingNot:
	}
}

// crowds returns, for each target, how many models it serves. Steps of several trainers
// come at the same moment, and owners of different jobs don't see each other's items, so
// that a target with two models gets the items of both at once while others have room.
func (u *Updater) crowds(targets []cataloger.Target, models []identifier.ModelName) map[identifier.TargetName]crowd {
	all := make(map[identifier.TargetName]crowd, len(targets))
	for _, t := range targets {
		var c crowd
		for _, m := range models {
			if u.newest[m].version > 0 {
				c.add(u.servesBy(t, m))
			}
		}
		all[t.Name] = c
	}
	return all
}

// serving says how well a target serves a model.
type serving int

const (
	servingNot serving = iota
	servingUsable
	servingNewest
)

func (u *Updater) servesBy(t cataloger.Target, m identifier.ModelName) serving {
	version := u.newest[m].version
	l, loading := u.loads[t.Name]
	switch {
	case t.Weights[m] >= version, loading && !l.failed && l.model == m && l.version == version:
		return servingNewest
	case t.Weights[m]+usableLag >= version:
		return servingUsable
	default:
		return servingNot
	}
}

// wishes returns what the models want.
func (u *Updater) wishes(targets []cataloger.Target, models []identifier.ModelName, quotas map[identifier.ModelName]int) (list []*wish) {
	var crowds map[identifier.TargetName]crowd
	for _, m := range models {
		w := &wish{model: m, version: u.newest[m].version, missing: quotas[m], lacking: quotas[m]}
		for _, t := range targets {
			served := u.servesBy(t, m)
			if served != servingNot {
				w.lacking--
			}
			if served == servingNewest {
				w.missing--
				continue
			}
			w.behind = append(w.behind, t)
		}
		if w.missing > 0 {
			if crowds == nil {
				crowds = u.crowds(targets, models)
			}
			u.sortBehind(w, crowds)
		}
		list = append(list, w)
	}
	return list
}

// sortBehind puts the targets that are behind into the order in which they are to load. None
// of them counts for the newest version of the model itself, and those that are equal by
// the first comparison count alike for its usable one.
func (u *Updater) sortBehind(w *wish, crowds map[identifier.TargetName]crowd) {
	slices.SortStableFunc(w.behind, func(a, b cataloger.Target) int {
		return cmp.Or(
			cmp.Compare(u.servesBy(a, w.model), u.servesBy(b, w.model)),
			cmp.Compare(crowds[a.Name].newest, crowds[b.Name].newest),
			cmp.Compare(crowds[a.Name].usable, crowds[b.Name].usable),
			cmp.Compare(a.Weights[w.model], b.Weights[w.model]),
		)
	})
}

// next takes the first target of the model that lacks most.
func next(wishes []*wish, loads map[identifier.TargetName]load) (w *wish, t cataloger.Target, ok bool) {
	for _, candidate := range wishes {
		candidate.behind = slices.DeleteFunc(candidate.behind, func(t cataloger.Target) bool {
			_, loading := loads[t.Name]
			return loading
		})
		if candidate.missing <= 0 || len(candidate.behind) == 0 {
			continue
		}
		if w == nil || cmp.Or(cmp.Compare(candidate.lacking, w.lacking), cmp.Compare(candidate.missing, w.missing)) > 0 {
			w = candidate
		}
	}
	if w == nil {
		return nil, t, false
	}
	t = w.behind[0]
	w.missing--
	return w, t, true
}
