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

// New returns a Labeler for a response of an engine. initialState is the
// engine's state read before the request was sent to it.
func New(initialState caller.State) *Labeler {
	return &Labeler{initialState: initialState}
}

// Add adds the next chunk's token count and version.
func (l *Labeler) Add(chunk caller.Chunk) {
	if chunk.Tokens == 0 {
		return
	}
	if chunk.Version == 0 {
		l.unstamped = true
	}
	from := l.tokenCount
	l.tokenCount += chunk.Tokens
	if n := len(l.spans); n > 0 && l.spans[n-1].Version == chunk.Version {
		l.spans[n-1].To = l.tokenCount
		return
	}
	l.spans = append(l.spans, messenger.Span{Version: chunk.Version, From: from, To: l.tokenCount})
}

// Finish returns the spans, or false if the versions are unknown. finalState is
// the engine's state read after the last token.
func (l *Labeler) Finish(finalState caller.State) ([]messenger.Span, bool) {
	if l.initialState.BootID == "" || l.initialState.BootID != finalState.BootID || l.tokenCount == 0 {
		return nil, false
	}
	unchanged := l.initialState.SwitchCount == finalState.SwitchCount && l.initialState.Version == finalState.Version
	if l.unstamped {
		if !unchanged || finalState.Version == 0 {
			return nil, false
		}
		return []messenger.Span{{Version: finalState.Version, From: 0, To: l.tokenCount}}, true
	}
	if unchanged && (len(l.spans) != 1 || l.spans[0].Version != finalState.Version) {
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
