// Package subsetter selects the few entries that a sidecar links to.
package subsetter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Sidecars and entries are not fully meshed: 12,000 sidecars with 4 links each
// give 330 entries 146 links on average. Rendezvous hashing needs no
// coordination: the selection depends only on the sidecar's name and the list
// of entries, and an entry that is added or removed moves only the links that
// it gains or loses.
//
// Entries in the sidecar's own zone come first because they are closer. One
// link still goes to another zone, because an entry must be able to reach
// targets in other zones when those in its own zone fail.

// Entry is an entry that may be linked.
type Entry struct {
	// Address is the address of the peer listener, IP:port.
	Address string
	// Zone is empty if it is unknown.
	Zone identifier.ZoneName
}

// otherZoneLinks is the number of links to other zones if there is more than
// one link.
const otherZoneLinks = 1

// Pick returns the entries for target, at most links of them, or all if links
// is 0.
func Pick(target identifier.TargetName, zone identifier.ZoneName, entries []Entry, links int) []Entry {
	if links <= 0 || len(entries) <= links {
		return slices.Clone(entries)
	}
	ownZone, otherZones := splitByZone(rankByHash(string(target), entries), zone)
	otherZoneCount := min(otherZoneLinks, links-1, len(otherZones))
	ownZoneCount := min(links-otherZoneCount, len(ownZone))
	picked := append(ownZone[:ownZoneCount:ownZoneCount], otherZones[:links-ownZoneCount]...)
	return picked
}

// Rank sorts addresses by their rendezvous hash with key, highest first: in the same order
// on all hosts, where an address that is added or removed changes that of no others.
func Rank(key string, addresses []string) []string {
	entries := make([]Entry, 0, len(addresses))
	for _, a := range addresses {
		entries = append(entries, Entry{Address: a})
	}
	ranked := make([]string, 0, len(addresses))
	for _, e := range rankByHash(key, entries) {
		ranked = append(ranked, e.Address)
	}
	return ranked
}

// rankByHash sorts entries by their rendezvous hash with key, highest first.
func rankByHash(key string, entries []Entry) []Entry {
	type scored struct {
		entry Entry
		score uint64
	}
	ranking := make([]scored, 0, len(entries))
	for _, e := range entries {
		ranking = append(ranking, scored{e, xxhash.Sum64String(key + "\x00" + e.Address)})
	}
	slices.SortFunc(ranking, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry.Address, b.entry.Address))
	})
	ranked := make([]Entry, 0, len(ranking))
	for _, o := range ranking {
		ranked = append(ranked, o.entry)
	}
	return ranked
}

func splitByZone(entries []Entry, zone identifier.ZoneName) (ownZone, otherZones []Entry) {
	for _, e := range entries {
		if e.Zone == zone {
			ownZone = append(ownZone, e)
		} else {
			otherZones = append(otherZones, e)
		}
	}
	return ownZone, otherZones
}
