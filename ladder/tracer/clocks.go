package tracer

import (
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Every host writes a line for each record of the store that it follows, within
// some ten ms of the others. The times of one record tell the clocks apart.

// skewTold is from which difference a clock is told: above what a slow host takes
// to read a record.
const skewTold = 500 * time.Millisecond

// clocks has, by record, when each host has noted it.
type clocks map[string]map[identifier.EntryName]time.Time

func (c clocks) add(l Line) {
	_, numbered := l.value["offset"]
	if !numbered || (l.scope != explainer.ScopeHost && l.scope != explainer.ScopeTarget) {
		return
	}
	record := l.Event + " " + l.Text
	if c[record] == nil {
		c[record] = make(map[identifier.EntryName]time.Time)
	}
	if _, noted := c[record][l.Host]; !noted {
		c[record][l.Host] = l.At
	}
}

// skews returns the median difference of each host from the median host.
func (c clocks) skews() map[identifier.EntryName]time.Duration {
	differences := make(map[identifier.EntryName][]time.Duration)
	for _, noted := range c {
		if len(noted) < 3 {
			continue
		}
		var times []time.Time
		for _, at := range noted {
			times = append(times, at)
		}
		slices.SortFunc(times, time.Time.Compare)
		for host, at := range noted {
			differences[host] = append(differences[host], at.Sub(times[len(times)/2]))
		}
	}
	skews := make(map[identifier.EntryName]time.Duration)
	for host, list := range differences {
		slices.Sort(list)
		if d := list[len(list)/2]; d.Abs() >= skewTold {
			skews[host] = d
		}
	}
	return skews
}
