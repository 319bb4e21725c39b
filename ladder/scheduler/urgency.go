package scheduler

import (
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Steps of several trainers come at the same moment, and the owners of their jobs
// don't see what the others send, so that engines get more items than they have
// slots. Which of these an engine takes first decides when the steps are done: the
// longest items of a step must not wait for the short ones, and an item that has
// left another engine not for its like. An engine may put what it runs aside for
// what is more urgent, so that there are few ranks.

const (
	urgencyLong   sender.Urgency = 2
	urgencyMiddle sender.Urgency = 4
	urgencyShort  sender.Urgency = 6
	// resumedLead is how much more urgent an item is that has begun elsewhere.
	resumedLead sender.Urgency = 1
	// longShare and shortShare are the parts of a job's items, one in so many,
	// that are long and short.
	longShare, shortShare = 6, 2
)

// lengths says which items of a job are long and which are short.
type lengths struct{ long, short identifier.TokenCount }

// lengthsOf expects items whose lengths are guesses.
func lengthsOf(j *job) lengths {
	all := make([]identifier.TokenCount, 0, len(j.Items))
	for n := range j.Items {
		all = append(all, expectedOf(&j.Items[n]))
	}
	if len(all) == 0 {
		return lengths{}
	}
	slices.Sort(all)
	return lengths{long: all[len(all)-1-(len(all)-1)/longShare], short: all[(len(all)-1)/shortShare]}
}

func (t *task) urgency() sender.Urgency {
	rank := urgencyShort
	switch expected := t.expected(); {
	case expected >= t.lengths.long:
		rank = urgencyLong
	case expected > t.lengths.short:
		rank = urgencyMiddle
	}
	if t.last > 0 {
		rank -= resumedLead
	}
	return rank
}
