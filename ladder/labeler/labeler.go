// Package labeler finds out which weight versions made an answer.
package labeler

import (
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A label is never taken from what was ordered. Where the engine stamps each
// piece, the stamps count, confirmed by the engine's state before the first
// token and after the last. Without stamps a label stands only if that state
// shows the same process, version and switch count at both ends: then no
// switch can have happened between them.

// Labeler builds the spans of one answer.
type Labeler struct {
	before caller.State
	spans  []messenger.Span
	// tokens is the end of the last span.
	tokens identifier.TokenCount
	// unstamped is set once a piece came without a version.
	unstamped bool
}

// New returns a Labeler; before is the engine's state read before the work
// was handed to it.
func New(before caller.State) *Labeler {
	return &Labeler{before: before}
}

// Add takes the next piece's stamp.
func (l *Labeler) Add(p caller.Chunk) {
	if p.Tokens == 0 {
		return
	}
	if p.Version == 0 {
		l.unstamped = true
	}
	from := l.tokens
	l.tokens += p.Tokens
	if n := len(l.spans); n > 0 && l.spans[n-1].Version == p.Version {
		l.spans[n-1].To = l.tokens
		return
	}
	l.spans = append(l.spans, messenger.Span{Version: p.Version, From: from, To: l.tokens})
}

// Finish returns the spans, or false if the versions can't be known. after is
// the engine's state read after the last token.
func (l *Labeler) Finish(after caller.State) ([]messenger.Span, bool) {
	if l.before.BootID == "" || l.before.BootID != after.BootID || l.tokens == 0 {
		return nil, false
	}
	unchanged := l.before.SwitchCount == after.SwitchCount && l.before.Version == after.Version
	if l.unstamped {
		if !unchanged || after.Version == 0 {
			return nil, false
		}
		return []messenger.Span{{Version: after.Version, From: 0, To: l.tokens}}, true
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
