package quarantiner

import (
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// judge says how a request may run. The caller holds the mutex.
func (q *Quarantiner) judge(f identifier.Fingerprint) Verdict {
	if q.suspects[f] == 0 {
		return Free{}
	}
	if last, convicted := q.convicted(f); convicted {
		return Refused{RetryAfter: q.period - q.clock.Since(last)}
	}
	for _, c := range q.crashes {
		if q.counts(c) && c.suspects(f) && !q.explained(c) {
			return Alone{}
		}
	}
	return Free{}
}

// convicted says whether the request crashes targets, and when it did so last.
func (q *Quarantiner) convicted(f identifier.Fingerprint) (last time.Time, convicted bool) {
	if q.suspects[f] < crashesToConvict {
		return last, false
	}
	crashes, sole := 0, false
	for _, c := range q.crashes {
		if !q.counts(c) || !c.suspects(f) {
			continue
		}
		crashes++
		sole = sole || len(c.present)-len(c.cleared) == 1
		if c.at.After(last) {
			last = c.at
		}
	}
	return last, sole && crashes >= crashesToConvict
}

// explained says whether a convicted request was at the crash.
func (q *Quarantiner) explained(c *crash) bool {
	return slices.ContainsFunc(c.present, func(f identifier.Fingerprint) bool {
		_, convicted := q.convicted(f)
		return convicted && c.suspects(f)
	})
}

func (q *Quarantiner) counts(c *crash) bool { return q.clock.Since(c.at) <= q.period }

// suspects says whether f was at the crash and isn't cleared of it.
func (c *crash) suspects(f identifier.Fingerprint) bool {
	return contains(c.present, f) && !contains(c.cleared, f)
}

func contains(sorted []identifier.Fingerprint, f identifier.Fingerprint) bool {
	_, found := slices.BinarySearch(sorted, f)
	return found
}

// union returns a new sorted list, maxFingerprints long at most.
func union(a, b []identifier.Fingerprint) []identifier.Fingerprint {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxFingerprints)]
}
