package tracer

import (
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Every host logs a line for each record of the store that it follows, within
// about 10 ms of the other hosts. The differences between these times show how
// far the clocks are apart.

// minReportedSkew is the smallest clock difference that is reported. It
// exceeds the time that a slow host takes to read a record.
const minReportedSkew = 500 * time.Millisecond

// clockSamples maps each record to the time at which each host logged it.
type clockSamples map[string]map[identifier.EntryName]time.Time

func (c clockSamples) add(l Line) {
	_, numbered := l.fields["offset"]
	if !numbered || (l.scope != explainer.ScopeHost && l.scope != explainer.ScopeTarget) {
		return
	}
	record := l.Event + " " + l.Text
	if c[record] == nil {
		c[record] = make(map[identifier.EntryName]time.Time)
	}
	if _, recorded := c[record][l.Host]; !recorded {
		c[record][l.Host] = l.At
	}
}

// skews returns the median difference of each host from the median of all
// hosts.
func (c clockSamples) skews() map[identifier.EntryName]time.Duration {
	differences := make(map[identifier.EntryName][]time.Duration)
	for _, timesByHost := range c {
		if len(timesByHost) < 3 {
			continue
		}
		var times []time.Time
		for _, at := range timesByHost {
			times = append(times, at)
		}
		slices.SortFunc(times, time.Time.Compare)
		for host, at := range timesByHost {
			differences[host] = append(differences[host], at.Sub(times[len(times)/2]))
		}
	}
	skews := make(map[identifier.EntryName]time.Duration)
	for host, list := range differences {
		slices.Sort(list)
		if d := list[len(list)/2]; d.Abs() >= minReportedSkew {
			skews[host] = d
		}
	}
	return skews
}
