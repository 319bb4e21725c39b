// Package subsetter picks the few entries that a sidecar links to.
package subsetter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Nothing is all-to-all by design: 12,000 sidecars with 4 links each give 330
// entries 146 links on average. Rendezvous hashing needs no agreement: a
// sidecar's choice depends on its own name and on the list of entries alone,
// and an entry that comes or goes moves only the links that it gains or loses.
//
// The sidecar's own zone comes first, for the shorter way. One link goes
// outside all the same: an entry must be able to reach other zones' targets
// when those of its own zone fail.

// Entry is an entry that could be linked to.
type Entry struct {
	// Address is the peer listener, IP:port.
	Address string
	// Zone is empty if it is not known.
	Zone identifier.ZoneName
}

// outsideLinks is how many links go to other zones, if there are several links.
const outsideLinks = 1

// Pick returns the entries for target, at most links of them, or all if
// links is 0.
func Pick(target identifier.TargetName, zone identifier.ZoneName, entries []Entry, links int) []Entry {
	if links <= 0 || len(entries) <= links {
		return slices.Clone(entries)
	}
	own, others := split(ranked(target, entries), zone)
	outside := min(outsideLinks, links-1, len(others))
	inside := min(links-outside, len(own))
	picked := append(own[:inside:inside], others[:links-inside]...)
	return picked
}

// ranked orders entries by their hash with target, the highest first.
func ranked(target identifier.TargetName, entries []Entry) []Entry {
	type scored struct {
		entry Entry
		score uint64
	}
	order := make([]scored, 0, len(entries))
	for _, e := range entries {
		order = append(order, scored{e, xxhash.Sum64String(string(target) + "\x00" + e.Address)})
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry.Address, b.entry.Address))
	})
	ranked := make([]Entry, 0, len(order))
	for _, o := range order {
		ranked = append(ranked, o.entry)
	}
	return ranked
}

func split(entries []Entry, zone identifier.ZoneName) (own, others []Entry) {
	for _, e := range entries {
		if e.Zone == zone {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	return own, others
}
