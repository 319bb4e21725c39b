package quarantiner

import (
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// check says how a request may run. The caller holds the mutex.
func (q *Quarantiner) check(f identifier.Fingerprint) Verdict {
	if q.suspectCounts[f] == 0 {
		return Free{}
	}
	if last, isCause := q.isCause(f); isCause {
		return Refused{RetryAfter: q.retention - q.clock.Since(last)}
	}
	for _, c := range q.crashes {
		if q.isCurrent(c) && c.isSuspect(f) && !q.hasKnownCause(c) {
			return Alone{}
		}
	}
	return Free{}
}

// isCause reports whether the request crashes targets, and when it last did.
func (q *Quarantiner) isCause(f identifier.Fingerprint) (last time.Time, isCause bool) {
	if q.suspectCounts[f] < crashesToRefuse {
		return last, false
	}
	crashes, alone := 0, false
	for _, c := range q.crashes {
		if !q.isCurrent(c) || !c.isSuspect(f) {
			continue
		}
		crashes++
		alone = alone || len(c.present)-len(c.cleared) == 1
		if c.at.After(last) {
			last = c.at
		}
	}
	return last, alone && crashes >= crashesToRefuse
}

// hasKnownCause reports whether an identified cause was running at the crash.
func (q *Quarantiner) hasKnownCause(c *crash) bool {
	return slices.ContainsFunc(c.present, func(f identifier.Fingerprint) bool {
		_, isCause := q.isCause(f)
		return isCause && c.isSuspect(f)
	})
}

func (q *Quarantiner) isCurrent(c *crash) bool { return q.clock.Since(c.at) <= q.retention }

// isSuspect reports whether f was running at the crash and isn't cleared of it.
func (c *crash) isSuspect(f identifier.Fingerprint) bool {
	return contains(c.present, f) && !contains(c.cleared, f)
}

func contains(sorted []identifier.Fingerprint, f identifier.Fingerprint) bool {
	_, found := slices.BinarySearch(sorted, f)
	return found
}

// union returns a new sorted list of at most maxFingerprints entries.
func union(a, b []identifier.Fingerprint) []identifier.Fingerprint {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxFingerprints)]
}
