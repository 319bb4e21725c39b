package permitter

import (
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// Hosts read the list of members from the platform's store every few seconds, so two
// hosts may disagree for a while about which one ranks first for a target. The host that
// has come to rank first grants little until the others must have noticed.

const (
	// maxListAge is the age of the list of members above which a host no longer counts
	// as settled. Hosts read the list every 3 s, and one read may fail after 0.7 s.
	maxListAge = 7 * time.Second
	// settleTime is how long a host must have ranked first before it grants the whole
	// limit. It exceeds maxListAge, so that a host whose list is older than this one's
	// first list no longer counts as settled.
	settleTime = 7500 * time.Millisecond
	// granterCount is how many hosts are asked in turn for a permit.
	granterCount = 2
)

// Roster knows which hosts grant permits.
type Roster struct {
	self string
	// views has the lists that were in force within settleTime, the current one last.
	// It is never empty.
	views []view
	// readAt is when the current list was last confirmed.
	readAt time.Time
}

// view is one list of members.
type view struct {
	// members is sorted.
	members []string
	// replacedAt is zero for the current list.
	replacedAt time.Time
}

// NewRoster returns the Roster of the host self. It knows no members.
func NewRoster(self string) *Roster { return &Roster{self: self, views: make([]view, 1)} }

// Update records the list of members that was read at readAt. An empty list says nothing
// about who is there and is ignored.
func (r *Roster) Update(now time.Time, members []string, readAt time.Time) {
	if len(members) == 0 {
		return
	}
	r.readAt = readAt
	members = slices.Clone(members)
	slices.Sort(members)
	current := &r.views[len(r.views)-1]
	if !slices.Equal(current.members, members) {
		current.replacedAt = now
		r.views = append(r.views, view{members: members})
	}
	for len(r.views) > 1 && now.Sub(r.views[0].replacedAt) > settleTime {
		r.views = r.views[1:]
	}
}

// Granters returns the hosts to ask for a permit, in order.
func (r *Roster) Granters(t identifier.TargetName) []string {
	return rank(t, r.views[len(r.views)-1].members)
}

// Standing returns the standing of this host for a target.
func (r *Roster) Standing(now time.Time, t identifier.TargetName) Standing {
	for n := len(r.views) - 1; n >= 0; n-- {
		granters := rank(t, r.views[n].members)
		if len(granters) > 0 && granters[0] == r.self {
			continue
		}
		if n == len(r.views)-1 {
			return StandIn
		}
		if now.Sub(r.views[n].replacedAt) <= settleTime {
			return Unsettled
		}
	}
	if now.Sub(r.readAt) > maxListAge {
		return Unsettled
	}
	return Settled
}

// rank returns the first granterCount members in the target's order, which is the same
// on all hosts.
func rank(t identifier.TargetName, members []string) []string {
	ranked := subsetter.Rank(string(t), members)
	return ranked[:min(granterCount, len(ranked))]
}
