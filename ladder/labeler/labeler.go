// Package labeler determines which weight versions generated a response.
package labeler

import (
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Labels never come from the version that was ordered. If the engine stamps
// each chunk with a version, the stamps are used and checked against the
// engine's state before the first token and after the last. Without stamps the
// label is known only if process, version and switch count are equal in both
// states: then no switch can have happened between them.

// Labeler builds the spans of one response.
type Labeler struct {
	initialState caller.State
	spans        []messenger.Span
	// tokenCount is the end of the last span.
	tokenCount identifier.TokenCount
	// unstamped is set once a chunk has arrived without a version.
	unstamped bool
}

// New returns a Labeler for a response of an engine whose state was before when
// the request was sent to it.
func New(before caller.State) *Labeler {
	return &Labeler{initialState: before}
}

// Add adds the next chunk's token count and version.
func (l *Labeler) Add(p caller.Chunk) {
	if p.Tokens == 0 {
		return
	}
	if p.Version == 0 {
		l.unstamped = true
	}
	from := l.tokenCount
	l.tokenCount += p.Tokens
	if n := len(l.spans); n > 0 && l.spans[n-1].Version == p.Version {
		l.spans[n-1].To = l.tokenCount
		return
	}
	l.spans = append(l.spans, messenger.Span{Version: p.Version, From: from, To: l.tokenCount})
}

// Finish returns the spans, or false if the versions are unknown. after is the
// engine's state read after the last token.
func (l *Labeler) Finish(after caller.State) ([]messenger.Span, bool) {
	if l.initialState.BootID == "" || l.initialState.BootID != after.BootID || l.tokenCount == 0 {
		return nil, false
	}
	unchanged := l.initialState.SwitchCount == after.SwitchCount && l.initialState.Version == after.Version
	if l.unstamped {
		if !unchanged || after.Version == 0 {
			return nil, false
		}
		return []messenger.Span{{Version: after.Version, From: 0, To: l.tokenCount}}, true
	}
	if unchanged && (len(l.spans) != 1 || l.spans[0].Version != after.Version) {
		return nil, false
	}
	return l.spans, true
}

// OldestVersion returns the oldest version in spans, 0 if there are none.
func OldestVersion(spans []messenger.Span) identifier.WeightVersion {
	var oldest identifier.WeightVersion
	for i, s := range spans {
		if i == 0 || s.Version < oldest {
			oldest = s.Version
		}
	}
	return oldest
}
