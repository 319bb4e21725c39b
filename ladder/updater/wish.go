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
	// behind are the targets without the version, the most outdated first.
	behind []cataloger.Target
}

// usableLag is how many versions behind the newest a target may be for the next
// step of a trainer that asks for a step once its version is named.
const usableLag = 1

// wishes returns what the models want.
func (u *Updater) wishes(targets []cataloger.Target, models []identifier.ModelName, quotas map[identifier.ModelName]int) (list []*wish) {
	for _, m := range models {
		w := &wish{model: m, version: u.newest[m].version, missing: quotas[m], lacking: quotas[m]}
		for _, t := range targets {
			l, loading := u.loads[t.Name]
			if t.Weights[m] >= w.version || (loading && !l.failed && l.model == m && l.version == w.version) {
				w.missing--
				w.lacking--
				continue
			}
			if t.Weights[m]+usableLag >= w.version {
				w.lacking--
			}
			w.behind = append(w.behind, t)
		}
		slices.SortStableFunc(w.behind, func(a, b cataloger.Target) int { return cmp.Compare(a.Weights[m], b.Weights[m]) })
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
