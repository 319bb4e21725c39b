package updater

import (
	"cmp"
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// equalShare is the fraction of the targets that is divided equally among the models
// whatever their demand, so that a model that had no work for a while can start.
const equalShare = 0.3

// TargetQuotas divides n targets among models: a fraction of equalShare equally, the
// rest in proportion to demand.
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
			share = equalShare*share + (1-equalShare)*float64(demand[m])/total
		}
		exact[m] = share * float64(n)
		quotas[m] = int(exact[m])
		left -= quotas[m]
	}
	byRemainder := slices.SortedStableFunc(slices.Values(models), func(a, b identifier.ModelName) int {
		return cmp.Compare(exact[b]-float64(quotas[b]), exact[a]-float64(quotas[a]))
	})
	for _, m := range byRemainder[:min(left, len(byRemainder))] {
		quotas[m]++
	}
	return quotas
}
