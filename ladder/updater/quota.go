package updater

import (
	"cmp"
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// evenShare is the part of the targets that is dealt out evenly, whatever the
// models' demand is, so that a model that had no work for a while can begin.
const evenShare = 0.3

// TargetQuotas deals n targets out among models: evenShare of them evenly, the others
// by demand.
func TargetQuotas(n int, models []identifier.ModelName, demand map[identifier.ModelName]identifier.TokenCount) map[identifier.ModelName]int {
	total := 0.0
	for _, m := range models {
		total += float64(demand[m])
	}
	quotas := make(map[identifier.ModelName]int, len(models))
	exact := make(map[identifier.ModelName]float64, len(models))
	left := n
	for _, m := range models {
		share := 1 / float64(len(models))
		if total > 0 {
			share = evenShare*share + (1-evenShare)*float64(demand[m])/total
		}
		exact[m] = share * float64(n)
		quotas[m] = int(exact[m])
		left -= quotas[m]
	}
	byRest := slices.SortedStableFunc(slices.Values(models), func(a, b identifier.ModelName) int {
		return cmp.Compare(exact[b]-float64(quotas[b]), exact[a]-float64(quotas[a]))
	})
	for _, m := range byRest[:min(left, len(byRest))] {
		quotas[m]++
	}
	return quotas
}
