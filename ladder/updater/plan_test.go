package updater

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Guards against placing the newest versions of two models on one target while another
// target has none: eight trainers announce versions one after the other and request
// their steps at once.
func TestWishes_NewestVersionsOfModelsAreSpreadOverTheTargets(t *testing.T) {
	const perModel = 3
	var models []identifier.ModelName
	for n := range 8 {
		models = append(models, identifier.ModelName(fmt.Sprintf("m%d", n)))
	}
	var targets []cataloger.Target
	for n := range perModel * len(models) {
		weights := make(map[identifier.ModelName]identifier.WeightVersion)
		for _, m := range models {
			weights[m] = 1
		}
		targets = append(targets, cataloger.Target{Name: identifier.TargetName(fmt.Sprintf("t%02d", n)), Weights: weights})
	}
	u := &Updater{newest: make(map[identifier.ModelName]observedVersion), loads: make(map[identifier.TargetName]pendingLoad)}
	quotas := make(map[identifier.ModelName]int)
	for _, m := range models {
		quotas[m] = perModel
	}
	for version := identifier.WeightVersion(3); version < 9; version++ {
		for _, m := range models {
			u.newest[m] = observedVersion{version: version}
			for {
				p, target, ok := nextLoad(u.loadPlans(targets, models, quotas), u.loads)
				if !ok {
					break
				}
				target.Weights[p.model] = p.version
			}
		}
		served := make(map[int]int)
		for _, target := range targets {
			count := 0
			for _, m := range models {
				if target.Weights[m] == version {
					count++
				}
			}
			served[count]++
		}
		if diff := cmp.Diff(map[int]int{1: len(targets)}, served); diff != "" {
			t.Errorf("version %d, targets by the number of models that they serve: %s", version, diff)
		}
	}
}
