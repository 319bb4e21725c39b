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
	// behind are the targets without the version, in the order in which they are
	// to load it: those that can't serve the next step, those with the fewest other
	// models, the most outdated.
	behind []cataloger.Target
}

// usableLag is how many versions behind the newest a target may be for the next
// step of a trainer that asks for a step once its version is named.
const usableLag = 1

// crowd counts the models that a target serves: those whose newest version it has or
// loads, and those whose version is just usable.
type crowd struct{ newest, usable int }

// crowds returns, for each target, how many models it serves. Steps of several trainers
// come at the same moment, and owners of different jobs don't see each other's items, so
// that a target with two models gets the items of both at once while others have room.
func (u *Updater) crowds(targets []cataloger.Target, models []identifier.ModelName) map[identifier.TargetName]crowd {
	all := make(map[identifier.TargetName]crowd, len(targets))
	for _, t := range targets {
		var c crowd
		for _, m := range models {
			if u.newest[m].version > 0 {
				c.add(u.servesBy(t, m), 1)
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

func (c *crowd) add(s serving, n int) {
	switch s {
	case servingNewest:
		c.newest += n
	case servingUsable:
		c.usable += n
	case servingNot:
	}
}

// wishes returns what the models want.
func (u *Updater) wishes(targets []cataloger.Target, models []identifier.ModelName, quotas map[identifier.ModelName]int) (list []*wish) {
	crowds := u.crowds(targets, models)
	for _, m := range models {
		w := &wish{model: m, version: u.newest[m].version, missing: quotas[m], lacking: quotas[m]}
		others := make(map[identifier.TargetName]crowd, len(targets))
		serves := make(map[identifier.TargetName]serving, len(targets))
		for _, t := range targets {
			served := u.servesBy(t, m)
			if served == servingNewest {
				w.missing--
				w.lacking--
				continue
			}
			if served == servingUsable {
				w.lacking--
			}
			c := crowds[t.Name]
			c.add(served, -1)
			others[t.Name], serves[t.Name] = c, served
			w.behind = append(w.behind, t)
		}
		slices.SortStableFunc(w.behind, func(a, b cataloger.Target) int {
			return cmp.Or(
				cmp.Compare(serves[a.Name], serves[b.Name]),
				cmp.Compare(others[a.Name].newest, others[b.Name].newest),
				cmp.Compare(others[a.Name].usable, others[b.Name].usable),
				cmp.Compare(a.Weights[m], b.Weights[m]),
			)
		})
		list = append(list, w)
	}
	return list
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
