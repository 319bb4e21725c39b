package queuer

import "github.com/lycheeladder/lycheeladder/ladder/identifier"

// Order is a way to choose which waiting item goes first.
//
//sumtype:decl
type Order interface{ order() }

// FirstInFirstOut takes items in the order of arrival. It is a baseline.
type FirstInFirstOut struct{}

// PlainPriority takes live before rollout, within a class the more urgent
// first, then the one that has waited longest. It is a baseline.
type PlainPriority struct{}

func (FirstInFirstOut) order() {}
func (PlainPriority) order()   {}

// before says whether a, which came later than b, goes before it.
func (q *Queuer) before(a, b Item) bool {
	switch q.order.(type) {
	case FirstInFirstOut:
		return false
	case PlainPriority:
		if a.Class != b.Class {
			return a.Class == identifier.ClassLive
		}
		return a.Urgency > b.Urgency
	}
	return false
}
