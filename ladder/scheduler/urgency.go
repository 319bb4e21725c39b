package scheduler

import (
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Steps of several trainers start at the same time, and the owners of their jobs do
// not see each other's calls, so engines receive more items than they have slots. The
// order in which an engine takes them determines when the steps end: the longest
// items of a step must not wait behind short ones, and an item resumed from another
// engine must not wait behind items of similar length. An engine may pause a running
// request in favour of a more urgent one, so there are only a few urgency levels.

const (
	urgencyLong   sender.Urgency = 2
	urgencyMedium sender.Urgency = 4
	urgencyShort  sender.Urgency = 6
	// resumedBoost is how much more urgent an item is that was started on another
	// engine.
	resumedBoost sender.Urgency = 1
	// One in longShare of a job's items is long, and one in shortShare is short.
	longShare, shortShare = 6, 2
)

// lengthBounds separates the long, medium and short items of a job.
type lengthBounds struct{ long, short identifier.TokenCount }

// lengthBoundsOf uses the expected lengths of the items, which are estimates.
func lengthBoundsOf(j *job) lengthBounds {
	all := make([]identifier.TokenCount, 0, len(j.Items))
	for n := range j.Items {
		all = append(all, expectedTokensOf(&j.Items[n]))
	}
	if len(all) == 0 {
		return lengthBounds{}
	}
	slices.Sort(all)
	return lengthBounds{long: all[len(all)-1-(len(all)-1)/longShare], short: all[(len(all)-1)/shortShare]}
}

func (t *task) urgency() sender.Urgency {
	rank := urgencyShort
	switch expected := t.expectedTokens(); {
	case expected >= t.lengthBounds.long:
		rank = urgencyLong
	case expected > t.lengthBounds.short:
		rank = urgencyMedium
	}
	if t.lastEvent > 0 {
		rank -= resumedBoost
	}
	return rank
}
