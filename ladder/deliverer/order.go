package deliverer

import (
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A step is whole when its last sample is: what takes longest has to begin
// first. The order is by what the trainer expects, and where it expects nothing
// as submitted. `measurer training` compares with the order of submission.

// SortLongestFirst orders work that is still to be started, by its expected tokens.
func SortLongestFirst[W any](wanted []W, expected func(W) identifier.TokenCount) {
	slices.SortStableFunc(wanted, func(a, b W) int {
		switch ea, eb := expected(a), expected(b); {
		case ea > eb:
			return -1
		case ea < eb:
			return 1
		}
		return 0
	})
}
