package deliverer

import (
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A training step is complete when its last sample is, so the samples that take
// longest start first. They are sorted by the expected token count that the
// trainer gave; samples without one keep the order of submission. `measurer
// training` compares this with the order of submission.

// SortLongestFirst sorts tasks that are not started yet by their expected
// tokens, largest first.
func SortLongestFirst[W any](tasks []W, expected func(W) identifier.TokenCount) {
	slices.SortStableFunc(tasks, func(a, b W) int {
		switch ea, eb := expected(a), expected(b); {
		case ea > eb:
			return -1
		case ea < eb:
			return 1
		}
		return 0
	})
}
